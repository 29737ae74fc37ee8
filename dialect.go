package egretflow

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"
)

// Terms is what a caller's request says of itself besides method, target and
// body.
type Terms struct {
	// ID is the caller's id of this attempt.
	ID string
	// Deadline is when the caller stops waiting; zero if it does not say.
	Deadline time.Time
	// PromptTokens and MaxTokens are exact, ExpectedTokens is the caller's
	// estimate of the output. All are 0 for a call of a plain service.
	PromptTokens   int
	MaxTokens      int
	ExpectedTokens int
	// Prefix identifies the prompt for the reuse of prompt caches, as in Work.
	Prefix []PrefixHash
	// ResumeAfter is the id of the last event that the caller has.
	ResumeAfter string
}

// Stage is the part of a request that one exchange with a server asks for.
type Stage string

// The stages.
const (
	// StageWhole runs the request from its start.
	StageWhole Stage = "Whole"
	// StagePrefill computes the prompt and keeps the result for another server.
	StagePrefill Stage = "Prefill"
	// StageDecode continues from the result of StagePrefill.
	StageDecode Stage = "Decode"
)

// KVHandle names the result of a prefill at the server that holds it.
type KVHandle string

// HoldID names engine memory that is held for one request.
type HoldID string

// ExchangeTerms is what one request to a backend server says besides what the
// caller sent.
type ExchangeTerms struct {
	Server *Server
	Stage  Stage
	// Deadline is when the server should stop.
	Deadline time.Time
	// Source and Handle name the result of a prefill; Handle is empty without
	// one.
	Source netip.AddrPort
	Handle KVHandle
	// Hold is the memory that was held for the request; empty without one.
	Hold HoldID
	// ResumeAfter is the id of the last event that the caller has.
	ResumeAfter string
	// Importance, if set, ranks the request at the engine.
	Importance Importance
}

// AnswerTerms is what the header of a server's answer states.
type AnswerTerms struct {
	// ID is the caller's id of the request that is answered; empty if the answer
	// names none.
	ID string
	// NotRun says that the server has not run the request and never will.
	NotRun bool
	// Gone says that the address belongs to another server.
	Gone bool
}

// Dialect is how HTTP headers carry what egretflow reads and sets.
type Dialect interface {
	// ReadRequest reads the terms of a caller's request at the given time.
	ReadRequest(r *http.Request, now time.Time) (Terms, error)
	// WriteExchange sets the headers of a request to a server. h holds those of
	// the caller and loses the ones that only egretflow may set.
	WriteExchange(h http.Header, t ExchangeTerms, now time.Time)
	ReadAnswer(resp *http.Response) AnswerTerms
	// WriteRefusal sets the headers of a rejection.
	WriteRefusal(h http.Header, r *Refusal, now time.Time)
}

// PrefillResult is the answer to StagePrefill.
type PrefillResult struct {
	Handle KVHandle
	// Tokens is the length of the prompt.
	Tokens int
}

// Engines are the calls to model engines beside requests. An error wraps
// ErrFull when the engine has no room, and ErrUnavailable when it was not
// reached.
type Engines interface {
	// TakeHold holds a place and memory for one request until a deadline.
	TakeHold(ctx context.Context, s *Server, tokens int, until time.Time) (HoldID, error)
	DropHold(ctx context.Context, s *Server, id HoldID) error
	// ReadPrefill decodes the answer to StagePrefill.
	ReadPrefill(body io.Reader) (PrefillResult, error)
	// FreePrefill drops the result of a prefill that is not used.
	FreePrefill(ctx context.Context, s *Server, h KVHandle) error
	Load(ctx context.Context, s *Server) (*LoadReport, error)
	// Progress returns what the engine has made of a request, as of some hundred
	// milliseconds ago.
	Progress(ctx context.Context, s *Server, request string) (Progress, error)
	// SetRole orders the engine to take a role. ErrConflict means that it obeys
	// another holder or has accepted an order meanwhile.
	SetRole(ctx context.Context, s *Server, role Role, by Holder) error
}

// Progress is how far an engine is with a request.
type Progress struct {
	// Running says that the engine runs the request, and Events counts the events
	// that it has made.
	Running bool
	Events  int
	// Waiting counts the requests that wait at the engine.
	Waiting int
}

// Holder is the instance that may order engines (8.1).
type Holder struct {
	Name    InstanceName
	Fencing uint64
}

// ServerEntry is a backend server that is registered with the platform.
type ServerEntry struct {
	Server Server
	Pool   PoolName
	// Leaving servers take no new work.
	Leaving bool
}

// ServerList is all backend servers that are registered.
type ServerList struct {
	Entries []ServerEntry
	// Revision of the platform's store as of which the list is complete. It never
	// falls, so that it orders the readings of all instances without clocks.
	Revision int64
}

// Configuration is what operators have written: routes, and pools without their
// servers.
type Configuration struct {
	// Version grows with each accepted configuration.
	Version uint64
	Routes  []Route
	Pools   []Pool
}

// Directory is where an instance reads configuration and backend servers. Errors
// wrap ErrUnavailable when the platform could not be reached, and ErrNotFound
// when there is no configuration yet.
type Directory interface {
	Configuration(ctx context.Context) (*Configuration, error)
	// AwaitChange returns after a change of the configuration that Configuration
	// has not returned yet, or with an error.
	AwaitChange(ctx context.Context) error
	Servers(ctx context.Context) (ServerList, error)
}
