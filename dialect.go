package egretflow

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"
)

// RequestMetadata holds what a caller's request states in its headers, besides
// method, target and body.
type RequestMetadata struct {
	// ID identifies the caller's attempt.
	ID string
	// Deadline is when the caller stops waiting; zero if it does not say.
	Deadline time.Time
	// PromptTokens and MaxTokens are exact counts; ExpectedTokens is the
	// caller's estimate of the output. All are 0 for a service call.
	PromptTokens   int
	MaxTokens      int
	ExpectedTokens int
	// Prefix and PrefixEnds hold the beginnings of the prompt, as in Work.
	Prefix     []PrefixHash
	PrefixEnds []int
	// Parts holds the parts of the prompt except the last, as in Work.
	Parts []PartHash
	// ResumeAfter is the id of the last event that the caller has received.
	ResumeAfter string
	// Key is the API key; empty without exactly one. It must not be recorded or sent on.
	Key string
}

// Stage is the part of a request that one exchange with a server runs.
type Stage string

// The stages.
const (
	// StageWhole runs the whole request.
	StageWhole Stage = "Whole"
	// StagePrefill computes the prompt and keeps the result for a decode
	// server.
	StagePrefill Stage = "Prefill"
	// StageDecode continues from the result of StagePrefill.
	StageDecode Stage = "Decode"
)

// KVHandle identifies the result of a prefill at the server that holds it.
type KVHandle string

// HoldID identifies engine memory that is held for one request.
type HoldID string

// ExchangeMetadata holds what the headers of one request to a backend server
// state, besides what the caller sent.
type ExchangeMetadata struct {
	Server *Server
	Stage  Stage
	// Deadline is when the server should stop running the request.
	Deadline time.Time
	// Source and Handle identify the result of a prefill: Source is the address
	// of the server that holds it. Handle is empty without a result.
	Source netip.AddrPort
	Handle KVHandle
	// Hold identifies the memory held for the request; empty if none is.
	Hold HoldID
	// ResumeAfter is the id of the last event that the caller has received.
	ResumeAfter string
	// Importance, if set, is the priority of the request at the engine.
	Importance Importance
	// Identified reports whether callers are identified by their keys: the key stops at
	// this instance, and the server learns the organisation instead, whatever the caller
	// sent. Organisation is empty for a request of a public route without a key.
	Identified   bool
	Organisation CallerName
}

// ResponseMetadata holds what the headers of a server's response state.
type ResponseMetadata struct {
	// ID is the caller's id of the request that the server answers; empty if
	// the response does not say.
	ID string
	// Signed reports whether the response has the signature that a server gives each
	// success; true where servers sign nothing.
	Signed bool
	// Contradictory reports whether the response states one thing twice or in two ways,
	// so that none of its statements can be believed.
	Contradictory bool
	// NotRun is true only if the server has not run the request and will not run it.
	NotRun bool
	// ReadAsNotRun reports whether callers take the status to mean that the
	// request has not run, whether or not the server states so.
	ReadAsNotRun bool
	// AddressReused reports whether the address now belongs to another server.
	AddressReused bool
	// Leaving reports whether the server states that it is leaving, so that it must
	// get no new work.
	Leaving bool
	// RetryAt is set if the server refused the request and wants no work of this
	// instance before then.
	RetryAt time.Time
}

// ServerGate decides which backend servers may get new work of this instance, and
// learns from what they state in their responses. It is safe for concurrent use.
type ServerGate interface {
	// AcceptsWork reports whether a server may get new work now.
	AcceptsWork(name ServerName) bool
	// MarkLeaving records that a server has stated that it is leaving.
	MarkLeaving(name ServerName)
	// PauseUntil records that a server has refused a request and wants no work of
	// this instance before until.
	PauseUntil(name ServerName, until time.Time)
	// Closed returns the servers of a pool that are closed by their own statements.
	Closed(pool PoolName) ClosedServers
}

// ClosedServers holds the servers of a pool that get no new work of this instance.
type ClosedServers struct {
	Names []ServerName
	// OpensAt is when the pool can be used again, if all of its servers for one of
	// its roles are closed until then; zero otherwise.
	OpensAt time.Time
}

// Dialect reads and writes the HTTP headers that egretflow uses.
type Dialect interface {
	// ReadRequest reads the metadata of a caller's request at the given time.
	ReadRequest(r *http.Request, now time.Time) (RequestMetadata, error)
	// WriteExchange sets the headers of a request to a server. h holds the
	// headers of the caller; those that only egretflow may set are removed.
	WriteExchange(h http.Header, t ExchangeMetadata, now time.Time)
	// ReadResponse reads the metadata of a server's response at the given time.
	ReadResponse(resp *http.Response, now time.Time) ResponseMetadata
	// WriteRefusal sets the headers of a response that refuses a request.
	WriteRefusal(h http.Header, r *Refusal, now time.Time)
}

// PrefillResult is the decoded response to StagePrefill.
type PrefillResult struct {
	Handle KVHandle
	// Tokens is the length of the prompt in tokens.
	Tokens int
}

// EngineClient holds the calls to model engines other than requests of callers.
// An error wraps ErrFull when the engine has no capacity, and ErrUnavailable
// when it could not be reached.
type EngineClient interface {
	// TakeHold holds a place and memory for the given number of tokens for one
	// request until a deadline.
	TakeHold(ctx context.Context, s *Server, tokens int, until time.Time) (HoldID, error)
	ReleaseHold(ctx context.Context, s *Server, id HoldID) error
	// ReadPrefill decodes the response to StagePrefill.
	ReadPrefill(body io.Reader) (PrefillResult, error)
	// FreePrefill discards the result of a prefill that is not used.
	FreePrefill(ctx context.Context, s *Server, h KVHandle) error
	Load(ctx context.Context, s *Server) (*LoadReport, error)
	// Progress returns the progress of a request at the engine. It lags some
	// hundred milliseconds behind.
	Progress(ctx context.Context, s *Server, request string) (Progress, error)
	// SetRole orders the engine to take a role. ErrConflict means that the
	// engine obeys another holder, or that it has accepted another order in the
	// meantime.
	SetRole(ctx context.Context, s *Server, role Role, by Holder) error
}

// Progress is the progress of a request at an engine.
type Progress struct {
	// Running reports whether the engine runs the request. Events counts the stream
	// events that it has produced.
	Running bool
	Events  int
	// Waiting counts the requests that wait at the engine.
	Waiting int
}

// Holder is the instance that may give orders to engines, and its fencing
// number (8.1).
type Holder struct {
	Name    InstanceName
	Fencing uint64
}

// ServerEntry is a backend server that is registered with the platform.
type ServerEntry struct {
	Server Server
	Pool   PoolName
	// Leaving is true if the server must get no new work.
	Leaving bool
}

// ServerList holds all backend servers that are registered.
type ServerList struct {
	Entries []ServerEntry
	// Invalid names the servers whose registration is there but names no server to
	// use.
	Invalid []ServerName
	// Version is the version of the platform's store at which the list is complete. It
	// orders the lists that instances read without comparing clocks.
	Version StoreVersion
	// ConfirmedAt is when the list was known to be current, if another instance has
	// read it; zero for a read of the platform itself.
	ConfirmedAt time.Time
}

// Configuration is what operators have written: routes, and pools without their
// servers.
type Configuration struct {
	// Version increases with each accepted configuration.
	Version       uint64
	Routes        []Route
	Pools         []Pool
	Organisations []Organisation `json:",omitempty"`
	// ConfirmedAt is when this was known to be the newest version, if another instance
	// has read it, and ConfirmedBy that instance; zero for a read of the platform itself.
	ConfirmedAt time.Time    `json:"-"`
	ConfirmedBy InstanceName `json:"-"`
}

// WatchResult is the end of a watch of the configuration.
type WatchResult struct {
	// Changed reports whether the configuration may have changed.
	Changed bool
	// ConfirmedAt is when the configuration was known to be unchanged; zero if it may
	// have changed.
	ConfirmedAt time.Time
}

// Directory reads the configuration and the backend servers from the platform.
// Errors wrap ErrUnavailable when the platform could not be reached, and
// ErrNotFound when there is no configuration yet.
type Directory interface {
	Configuration(ctx context.Context) (*Configuration, error)
	// AwaitChange waits a limited time for a change of the configuration that
	// Configuration has not returned yet.
	AwaitChange(ctx context.Context) (WatchResult, error)
	Servers(ctx context.Context) (ServerList, error)
}
