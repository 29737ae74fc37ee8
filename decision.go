package egretflow

import (
	"context"
	"strconv"
	"time"
)

// PrefixChunkBytes is the length in bytes of the chunks of prompt text that the
// elements of Work.Prefix cover. Each element covers one chunk more than the
// element before.
const PrefixChunkBytes = 1024

// PromptBytesPerToken converts prompt bytes to tokens before an engine has
// reported the exact count.
const PromptBytesPerToken = 4

const (
	// MaxTokens bounds the token counts of one request.
	MaxTokens = 1 << 30
	// MaxPrefixChunks bounds the hashes of a prompt, so that requests with long
	// prompts fit into the messages between instances.
	MaxPrefixChunks = 512
)

// PrefixHash identifies the beginning of a prompt up to some position: the
// xxhash64 of its text up to the end of a chunk of PrefixChunkBytes, or a hash of
// its parts up to the end of one.
type PrefixHash uint64

// MaxParts is the maximum number of parts of a prompt that Work.Parts lists. A header
// of 16 KB has no room for more.
const MaxParts = 4096

// PartHash identifies one part of a prompt, wherever it stands in the prompt.
type PartHash uint64

// String returns the hash in hexadecimal digits.
func (h PartHash) String() string { return strconv.FormatUint(uint64(h), 16) }

// Work describes a request to the packages that decide where and when it runs.
type Work struct {
	Request    RequestID
	Caller     CallerName
	Route      RouteName
	Pool       PoolName
	Importance Importance
	Idempotent bool
	// PromptTokens and MaxTokens are estimates of the prompt length and of the
	// largest output; both are 0 for a service call.
	PromptTokens int
	MaxTokens    int
	// ExpectedTokens is the expected output in tokens; 0 means MaxTokens.
	ExpectedTokens int
	// Prefix holds the beginnings of the prompt that a server may keep, shortest
	// first.
	Prefix []PrefixHash
	// PrefixEnds holds the number of prompt tokens that each element of Prefix
	// covers. It is empty if each element covers one chunk more than the element
	// before.
	PrefixEnds []int
	// Parts holds the parts of the prompt that other requests may share, in order.
	// Crash detection uses them (5.6).
	Parts []PartHash
	// Fingerprint identifies caller, path and body. Crash detection uses it
	// (5.6).
	Fingerprint uint64
	ArrivedAt   time.Time
	// FirstTokenBy is ArrivedAt plus the first-token target of the route, less
	// the time that a caller who was refused before has waited already.
	// For a retry it is GiveUpBy.
	FirstTokenBy time.Time
	// GiveUpBy is when the caller gives up if there is no first token. Until
	// then a response that misses its target is still useful; zero means that
	// no response is useful after the target.
	GiveUpBy time.Time
	// Deadline is the deadline of the caller; zero if there is none.
	Deadline time.Time
	// Avoid lists servers that already failed the request.
	Avoid []ServerName
	// Hedge marks a second attempt beside a running one (5.4).
	Hedge bool
	// Reacquired marks a repeated Acquire for a request that has not reached a
	// server under its earlier assignments.
	Reacquired bool
	// AfterRefusal reports whether the caller comes back after a refusal.
	AfterRefusal bool
	// Retry marks an attempt after a failed one. It counts against the retry
	// budget.
	Retry bool
	// Overlaps marks a retry that is reserved while the attempt before it still runs,
	// which ends once this one is assigned.
	Overlaps bool
}

// PrefixEnd returns the number of prompt tokens that element n of Prefix covers.
func (w *Work) PrefixEnd(n int) int {
	if n < len(w.PrefixEnds) {
		return w.PrefixEnds[n]
	}
	return (n + 1) * PrefixChunkBytes / PromptBytesPerToken
}

// LatestStart returns until when a first token is of use to the caller: GiveUpBy, or
// FirstTokenBy without it; zero if there is no limit.
func (w *Work) LatestStart() time.Time {
	if w.GiveUpBy.After(w.FirstTokenBy) {
		return w.GiveUpBy
	}
	return w.FirstTokenBy
}

// Output returns the expected output in tokens.
func (w *Work) Output() int {
	if w.ExpectedTokens > 0 {
		return w.ExpectedTokens
	}
	return w.MaxTokens
}

const (
	// expectedOutputShare is the share of the output still expected that counts
	// against the memory of an engine. Other requests end while one grows, so
	// less than the whole is needed.
	expectedOutputShare = 0.3
	// heldOutputShare is the share of the expected output that an engine holds
	// memory for. No other request can use held memory.
	heldOutputShare = 0.1
)

// MemoryTokens returns the tokens of engine memory that the request counts with
// after it has generated some of its output.
func (w *Work) MemoryTokens(generated int) int {
	remaining := max(0, w.Output()-generated)
	return w.PromptTokens + generated + int(expectedOutputShare*float64(remaining))
}

// HoldTokens returns the tokens of engine memory to hold for the request before
// it starts.
func (w *Work) HoldTokens() int { return w.PromptTokens + int(heldOutputShare*float64(w.Output())) }

// Assignment names the backend servers that may run an attempt. For a service
// pool only Decode is set, to the server of the service.
type Assignment struct {
	Decision DecisionID
	Attempt  AttemptID
	Work     *Work
	Prefill  *Server
	Decode   *Server
	// Slots is the number of decode slots that the request occupies, more than
	// one if a long prompt needs more blocks than one slot's share. Where
	// capacity is counted in blocks it is the number of blocks.
	Slots int
	// CachedTokens is the number of prompt tokens that the prefill server is
	// expected to reuse from its prefix cache.
	CachedTokens int
	// PrefillBy, TransferBy and FirstTokenAt are the expected times at which
	// the stages end, including the straggler estimates.
	PrefillBy    time.Time
	TransferBy   time.Time
	FirstTokenAt time.Time
	// GrantExpiresAt is the deadline before which the request must be sent to
	// the server (5.3).
	GrantExpiresAt time.Time
}

// ObservationKind says what was observed of an attempt or of a server.
type ObservationKind string

// The kinds of observations. All but ObservationLoad and ObservationCache are
// about an attempt.
const (
	// ObservationPrefillDone means that the prompt is computed.
	ObservationPrefillDone ObservationKind = "PrefillDone"
	// ObservationTransferDone means that the decode server has the KV cache.
	ObservationTransferDone ObservationKind = "TransferDone"
	// ObservationTokens means that output tokens were generated.
	ObservationTokens ObservationKind = "Tokens"
	// ObservationServed means that a service call has ended.
	ObservationServed ObservationKind = "Served"
	// ObservationErrored means that a service call has ended with a response that
	// states an error of the server, or that does not prove to be the server's.
	ObservationErrored ObservationKind = "Errored"
	// ObservationFailed means that the connection broke, or that the response
	// was malformed or did not match the request.
	ObservationFailed ObservationKind = "Failed"
	// ObservationCrashed means that the process of the server is gone.
	ObservationCrashed ObservationKind = "Crashed"
	// ObservationSilent means that nothing arrived from the server in time.
	ObservationSilent ObservationKind = "Silent"
	// ObservationReplaced means that another server answers at the address.
	ObservationReplaced ObservationKind = "Replaced"
	// ObservationRefused means that the server refused the request or that no
	// connection was made, so that it did not run.
	ObservationRefused ObservationKind = "Refused"
	// ObservationLoad carries a load report.
	ObservationLoad ObservationKind = "Load"
	// ObservationCache carries events of the prefix cache.
	ObservationCache ObservationKind = "Cache"
)

// Observation is an observation of a server by an attempt, in a load report or in
// cache events.
type Observation struct {
	Kind    ObservationKind
	Server  ServerName
	Attempt AttemptID
	// From is the instance that observed it, if that is another one than the one
	// that schedules; empty otherwise.
	From InstanceName
	// StartedAt and EndedAt are the start and the end of the observed work.
	StartedAt time.Time
	EndedAt   time.Time
	// Unsent is true if the attempt had not reached the server and therefore
	// cannot have made it fail.
	Unsent bool
	// RetryAt is set if the server has refused the attempt and wants no work of
	// this instance before then.
	RetryAt time.Time
	// Tokens is the number of prompt tokens computed, or of output tokens
	// generated, in the observed time.
	Tokens int
	// Generated is the number of output tokens that the attempt has generated
	// in all; 0 if unknown.
	Generated int
	// CachedTokens is the number of prompt tokens that the engine reported as
	// reused. CacheReported is false if the engine reports none; Tokens is then
	// the length of the whole prompt.
	CachedTokens  int
	CacheReported bool
	// Load is set for ObservationLoad.
	Load *LoadReport
	// Cache holds the cache events in order for ObservationCache.
	Cache []CacheEvent
}

// CacheEventType says what happened to cached prompt blocks of an engine.
type CacheEventType string

// The cache event types. The values are those that engines send.
const (
	CacheEventStored  CacheEventType = "BlockStored"
	CacheEventRemoved CacheEventType = "BlockRemoved"
	CacheEventCleared CacheEventType = "AllBlocksCleared"
)

// CacheEvent is one event of an engine's prefix cache. Events may arrive late
// or get lost.
type CacheEvent struct {
	Sequence uint64
	Type     CacheEventType
	Hashes   []PrefixHash
}

// LoadReport is the load of a backend server at MeasuredAt. It lags behind the
// actual load.
type LoadReport struct {
	Server ServerName
	// MeasuredAt is when the server measured the load, if the report says so,
	// and otherwise the time of receipt.
	MeasuredAt time.Time
	Running    int
	Waiting    int
	FreeBlocks int
	Role       Role
	Draining   bool
}

// Release states that an attempt has ended, or that its prefill has.
type Release struct {
	Attempt AttemptID
	// PrefillOnly releases the prefill slot and keeps the decode reservation.
	PrefillOnly bool
	// WastedPrefillTokens counts computed prompt tokens whose result was not
	// used.
	WastedPrefillTokens int
	// Complete reports whether the answer was received to its end.
	Complete bool
}

// Scheduler admits requests, chooses their servers and accounts for the grants
// of one instance. Acquire waits in the admission queue and returns a *Refusal
// as error when the request cannot meet its deadline.
type Scheduler interface {
	Acquire(ctx context.Context, work *Work) (*Assignment, error)
	// Replace chooses a new prefill server for an assignment whose prefill
	// failed, and keeps its decode reservation.
	Replace(ctx context.Context, a *Assignment) (*Assignment, error)
	Observe(o Observation)
	Release(r Release)
}

// Adoption describes a running attempt that another scheduler has placed, so
// that a scheduler which takes over its servers counts what it occupies.
type Adoption struct {
	Attempt AttemptID
	Work    *Work
	// Decode is the server that runs the attempt.
	Decode ServerName
	// Generated is the number of output tokens generated so far.
	Generated int
}

// AdoptingScheduler is a Scheduler that can take over attempts of another one.
type AdoptingScheduler interface {
	Scheduler
	// Adopt counts an attempt as running. It returns false if the attempt is
	// known already or the server is not in the tables. An adopted attempt is
	// released like any other.
	Adopt(a Adoption) bool
}
