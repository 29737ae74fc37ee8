package egretflow

import (
	"context"
	"time"
)

// PrefixChunkBytes is the length of prompt text covered by each further
// element of Work.Prefix.
const PrefixChunkBytes = 1024

// PromptBytesPerToken converts prompt bytes to tokens before an engine has
// reported the exact count.
const PromptBytesPerToken = 4

// PrefixHash is the xxhash64 of the prompt from its start to the end of a
// chunk of PrefixChunkBytes.
type PrefixHash uint64

// Work is what decisions know of a request.
type Work struct {
	Request    RequestID
	Caller     CallerName
	Route      RouteName
	Pool       PoolName
	Importance Importance
	Idempotent bool
	// PromptTokens and MaxTokens are estimates in tokens; both are 0 for a
	// service call.
	PromptTokens int
	MaxTokens    int
	// ExpectedTokens is the expected output; 0 means MaxTokens.
	ExpectedTokens int
	// Prefix holds one hash per full chunk of the prompt, shortest first.
	Prefix []PrefixHash
	// Fingerprint identifies the caller and body for crash detection (5.6).
	Fingerprint uint64
	ArrivedAt   time.Time
	// FirstTokenBy is ArrivedAt plus the first-token target of the route.
	FirstTokenBy time.Time
	// GiveUpBy is when the caller leaves without a first token. Until then an
	// answer that misses its target is still of use; zero means that none is.
	GiveUpBy time.Time
	// Deadline is the caller's deadline; zero if none.
	Deadline time.Time
	// Avoid lists servers that already failed the request.
	Avoid []ServerName
	// Hedge marks a second attempt beside a running one (5.4).
	Hedge bool
	// Reacquired marks a further place for a request that has reached no server
	// under the places before.
	Reacquired bool
	// Returned says that the caller was refused before.
	Returned bool
	// Retry marks an attempt after a failed one; it spends the retry budget.
	Retry bool
}

// Output returns the expected output in tokens.
func (w *Work) Output() int {
	if w.ExpectedTokens > 0 {
		return w.ExpectedTokens
	}
	return w.MaxTokens
}

const (
	// growthShare is the part of the output still expected that counts against
	// the memory of an engine: while a request grows, others end.
	growthShare = 0.3
	// holdShare is the part of the expected output that an engine holds memory
	// for. What it holds no other request can use.
	holdShare = 0.1
)

// MemoryTokens returns the engine memory that the request is counted with when
// it has generated some of its output.
func (w *Work) MemoryTokens(generated int) int {
	left := max(0, w.Output()-generated)
	return w.PromptTokens + generated + int(growthShare*float64(left))
}

// HoldTokens returns the engine memory that is held for the request.
func (w *Work) HoldTokens() int { return w.PromptTokens + int(holdShare*float64(w.Output())) }

// Assignment is a place on backend servers. For a service pool only Decode is
// set and names the service's server.
type Assignment struct {
	Decision DecisionID
	Attempt  AttemptID
	Work     *Work
	Prefill  *Server
	Decode   *Server
	// Slots is the number of decode slots that the request occupies; a long
	// prompt takes more than one slot's share of blocks.
	Slots int
	// CachedTokens is the expected prefix reuse at the prefill server.
	CachedTokens int
	// PrefillBy, TransferBy and FirstTokenAt are the expected times of the
	// stages, straggler estimates included.
	PrefillBy    time.Time
	TransferBy   time.Time
	FirstTokenAt time.Time
	// GrantExpiresAt is the deadline until which the dispatch may start (5.3).
	GrantExpiresAt time.Time
}

// ObservationKind says what was observed of an attempt.
type ObservationKind string

// The observation kinds.
const (
	ObservationPrefillDone  ObservationKind = "PrefillDone"
	ObservationTransferDone ObservationKind = "TransferDone"
	ObservationTokens       ObservationKind = "Tokens"
	ObservationServed       ObservationKind = "Served"
	ObservationFailed       ObservationKind = "Failed"
	ObservationCrashed      ObservationKind = "Crashed"
	ObservationSilent       ObservationKind = "Silent"
	// ObservationReplaced: another server answered at the address.
	ObservationReplaced ObservationKind = "Replaced"
	ObservationRefused  ObservationKind = "Refused"
	ObservationLoad     ObservationKind = "Load"
	ObservationCache    ObservationKind = "Cache"
)

// Observation is what one attempt, or a load report, showed of a server.
type Observation struct {
	Kind    ObservationKind
	Server  ServerName
	Attempt AttemptID
	// StartedAt and EndedAt bound the observed work.
	StartedAt time.Time
	EndedAt   time.Time
	// Unsent says that the attempt had not reached the server, which therefore did
	// not fail by it.
	Unsent bool
	// Tokens is the number of prompt tokens computed, or of tokens generated.
	Tokens int
	// Generated is all that the attempt has generated, in tokens, if known.
	Generated int
	// CachedTokens is the prefix reuse that the engine reported.
	CachedTokens int
	// Load is set for ObservationLoad.
	Load *LoadReport
	// Cache is set for ObservationCache, in the order of the events.
	Cache []CacheEvent
}

// CacheEventType says what an engine did with cached prompt blocks.
type CacheEventType string

// The cache event types, spelled as the engines send them.
const (
	CacheEventStored  CacheEventType = "BlockStored"
	CacheEventRemoved CacheEventType = "BlockRemoved"
	CacheEventCleared CacheEventType = "AllBlocksCleared"
)

// CacheEvent is one event of an engine's prefix cache. Events arrive late and
// some are missing.
type CacheEvent struct {
	Sequence uint64
	Type     CacheEventType
	Hashes   []PrefixHash
}

// LoadReport is the lagging load of a backend server.
type LoadReport struct {
	Server ServerName
	// MeasuredAt is when the server took the reading, if it says; otherwise the
	// time of receipt.
	MeasuredAt time.Time
	Running    int
	Waiting    int
	FreeBlocks int
	Role       Role
	Draining   bool
}

// Release says how an attempt ended.
type Release struct {
	Attempt AttemptID
	// PrefillOnly frees the prefill place and keeps the decode place.
	PrefillOnly bool
	// WastedPrefillTokens counts computed prompt tokens whose result was not
	// used.
	WastedPrefillTokens int
}

// Scheduler owns admission, choice and grants of one instance. Acquire waits
// in the admission queue and returns a *Refusal as error when the request
// cannot meet its deadline.
type Scheduler interface {
	Acquire(ctx context.Context, work *Work) (*Assignment, error)
	// Replace chooses a new prefill server for an assignment whose prefill
	// failed and keeps its decode place.
	Replace(ctx context.Context, a *Assignment) (*Assignment, error)
	Observe(o Observation)
	Release(r Release)
}
