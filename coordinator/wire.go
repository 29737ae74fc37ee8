package coordinator

import (
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/egretflow/egretflow"
)

const (
	// maxDatagramBytes bounds one encoded message. A larger state is not sent, and
	// its requests wait until others have ended.
	maxDatagramBytes = 60 << 10
	// maxListed bounds the entries of each list in a message.
	maxListed = 2000
	// maxMoreParts bounds the MoreParts of all entries of a message together, at up to
	// 9 bytes each.
	maxMoreParts = 1800
)

// relativeTime is a point in time in microseconds after the message was sent,
// because the clocks of instances differ. noTime stands for the zero time.
type relativeTime int64

const noTime relativeTime = math.MinInt64

func relativeTo(at, now time.Time) relativeTime {
	if at.IsZero() {
		return noTime
	}
	return relativeTime(at.Sub(now).Microseconds())
}

func (t relativeTime) in(now time.Time) time.Time {
	if t == noTime {
		return time.Time{}
	}
	return now.Add(time.Duration(t) * time.Microsecond)
}

// messageKind distinguishes the two kinds of datagrams.
type messageKind string

const (
	kindRequest  messageKind = "Request"
	kindResponse messageKind = "Response"
)

// message is the content of one datagram, in CBOR.
type message struct {
	_           struct{} `cbor:",toarray"`
	Kind        messageKind
	From        egretflow.InstanceName
	Incarnation uint64
	// Pool is the shard.
	Pool     egretflow.PoolName
	Request  *request
	Response *response
}

// request is the whole state of one instance for a shard (rule 2).
type request struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint64
	// SentAt is in microseconds on the sender's clock; the response repeats it.
	SentAt  int64
	Waiting []waitingWork
	Running []runningWork
	Events  []event
}

// waitingWork is a request that waits for servers.
type waitingWork struct {
	_    struct{} `cbor:",toarray"`
	ID   uint64
	Work wireWork
	// Replaces is the attempt that needs another prefill server; empty for a new
	// one.
	Replaces egretflow.AttemptID
}

// runningWork is an attempt that runs.
type runningWork struct {
	_         struct{} `cbor:",toarray"`
	Attempt   egretflow.AttemptID
	Work      wireWork
	Decode    egretflow.ServerName
	Generated int
}

// event is an observation, or the release of an attempt or of its prefill. Events
// are numbered in the order in which they happened.
type event struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint64
	Attempt  egretflow.AttemptID
	// Kind is empty for a release.
	Kind      egretflow.ObservationKind
	Server    egretflow.ServerName
	StartedAt relativeTime
	EndedAt   relativeTime
	Unsent    bool
	// Tokens is completeRelease for the release of a complete answer.
	Tokens      int
	Generated   int
	PrefillOnly bool
	Wasted      int
}

// completeRelease is the Tokens of an event that releases a complete answer. Earlier
// versions do not read that field of a release.
const completeRelease = 1

// wireWork is an egretflow.Work without its pool. Instances of earlier versions know the
// fields of workFields alone, see MarshalCBOR.
type wireWork struct {
	workFields
	PrefixEnds []int
	// MoreParts holds the parts after the first fieldParts.
	MoreParts []egretflow.PartHash
}

// workFields is the part of a wireWork that all versions know. No field may be added to
// it: earlier versions drop datagrams with it.
type workFields struct {
	_              struct{} `cbor:",toarray"`
	Request        egretflow.RequestID
	Caller         egretflow.CallerName
	Route          egretflow.RouteName
	Importance     egretflow.Importance
	Idempotent     bool
	PromptTokens   int
	MaxTokens      int
	ExpectedTokens int
	Prefix         []egretflow.PrefixHash
	Parts          []egretflow.PartHash
	Fingerprint    uint64
	ArrivedAt      relativeTime
	FirstTokenBy   relativeTime
	GiveUpBy       relativeTime
	Deadline       relativeTime
	Avoid          []egretflow.ServerName
	Reacquired     bool
	AfterRefusal   bool
	Retry          bool
}

// response answers a request.
type response struct {
	_ struct{} `cbor:",toarray"`
	// Sequence and SentAt are those of the newest request that was received.
	Sequence uint64
	SentAt   int64
	// Acknowledged is the number of the last event that was received.
	Acknowledged uint64
	// Leaving reports whether the coordinator shuts down, so that requests must be
	// sent to another one.
	Leaving bool
	Results []result
}

// result is the outcome of one waiting request: one of the two pointers.
type result struct {
	_          struct{} `cbor:",toarray"`
	ID         uint64
	Assignment *wireAssignment
	Refusal    *wireRefusal
}

// wireAssignment is an egretflow.Assignment without its work.
type wireAssignment struct {
	_            struct{} `cbor:",toarray"`
	Decision     egretflow.DecisionID
	Attempt      egretflow.AttemptID
	Prefill      *wireServer
	Decode       wireServer
	Slots        int
	CachedTokens int
	PrefillBy    relativeTime
	TransferBy   relativeTime
	FirstTokenAt relativeTime
}

// wireServer is the part of an egretflow.Server that sending a request needs.
type wireServer struct {
	_             struct{} `cbor:",toarray"`
	Name          egretflow.ServerName
	Address       netip.AddrPort
	FailureDomain egretflow.FailureDomain
	Role          egretflow.Role
}

// wireRefusal is an egretflow.Refusal.
type wireRefusal struct {
	_        struct{} `cbor:",toarray"`
	Status   int
	Reason   egretflow.RefusalReason
	RunState egretflow.RunState
	Message  string
	RetryAt  relativeTime
}

func (m *message) check() error {
	if err := egretflow.CheckName("From", string(m.From)); err != nil {
		return err
	}
	if err := egretflow.CheckName("Pool", string(m.Pool)); err != nil {
		return err
	}
	switch {
	case m.Kind == kindRequest && m.Request != nil:
		return m.Request.check()
	case m.Kind == kindResponse && m.Response != nil:
		return m.Response.check()
	}
	return &egretflow.FieldError{Field: "Kind", Reason: "does not match the content"}
}

func (r *request) check() error {
	if max(len(r.Waiting), len(r.Running), len(r.Events)) > maxListed {
		return &egretflow.FieldError{Field: "Request", Reason: "lists too many entries"}
	}
	for n := range r.Waiting {
		if err := r.Waiting[n].Work.check(); err != nil {
			return err
		}
	}
	for n := range r.Running {
		w := &r.Running[n]
		if w.Attempt == "" || w.Decode == "" || w.Generated < 0 {
			return &egretflow.FieldError{Field: "Running", Reason: "names no attempt or server"}
		}
		if err := w.Work.check(); err != nil {
			return err
		}
	}
	for n := range r.Events {
		if r.Events[n].Attempt == "" {
			return &egretflow.FieldError{Field: "Events", Reason: "names no attempt"}
		}
	}
	return nil
}

func (w *wireWork) check() error {
	for _, count := range []int{w.PromptTokens, w.MaxTokens, w.ExpectedTokens} {
		if count < 0 || count > egretflow.MaxTokens {
			return &egretflow.FieldError{Field: "Work", Reason: "has a token count out of range"}
		}
	}
	for n, end := range w.PrefixEnds {
		if end < 0 || end > egretflow.MaxTokens || n > 0 && end < w.PrefixEnds[n-1] {
			return &egretflow.FieldError{Field: "PrefixEnds", Reason: "does not grow, or is out of range"}
		}
	}
	if len(w.PrefixEnds) > 0 && len(w.PrefixEnds) != len(w.Prefix) {
		return &egretflow.FieldError{Field: "PrefixEnds", Reason: "does not match Prefix"}
	}
	if len(w.Parts)+len(w.MoreParts) > egretflow.MaxParts {
		return &egretflow.FieldError{Field: "Work", Reason: "lists too many parts"}
	}
	return nil
}

func (r *response) check() error {
	for n := range r.Results {
		x := &r.Results[n]
		if (x.Assignment == nil) == (x.Refusal == nil) {
			return &egretflow.FieldError{Field: "Results", Reason: "has no outcome, or two"}
		}
		if a := x.Assignment; a != nil && (a.Attempt == "" || !a.Decode.valid() || a.Prefill != nil && !a.Prefill.valid()) {
			return &egretflow.FieldError{Field: "Results", Reason: "names no attempt or no valid server"}
		}
	}
	return nil
}

func (s *wireServer) valid() bool { return s.Name != "" && s.Address.IsValid() }

func toWireWork(w *egretflow.Work, now time.Time) wireWork {
	first := min(len(w.Parts), fieldParts)
	return wireWork{workFields: workFields{
		Request: wireRequestID(w.Request), Caller: w.Caller, Route: w.Route, Importance: w.Importance, Idempotent: w.Idempotent,
		PromptTokens: w.PromptTokens, MaxTokens: w.MaxTokens, ExpectedTokens: w.ExpectedTokens, Prefix: w.Prefix, Parts: w.Parts[:first],
		Fingerprint: w.Fingerprint, ArrivedAt: relativeTo(w.ArrivedAt, now), FirstTokenBy: relativeTo(w.FirstTokenBy, now),
		GiveUpBy: relativeTo(w.GiveUpBy, now), Deadline: relativeTo(w.Deadline, now), Avoid: w.Avoid,
		Reacquired: w.Reacquired, AfterRefusal: w.AfterRefusal, Retry: w.Retry,
	}, PrefixEnds: w.PrefixEnds, MoreParts: w.Parts[first:]}
}

func (w *wireWork) work(pool egretflow.PoolName, now time.Time) *egretflow.Work {
	return &egretflow.Work{
		Request: w.Request, Caller: w.Caller, Route: w.Route, Pool: pool, Importance: w.Importance, Idempotent: w.Idempotent,
		PromptTokens: w.PromptTokens, MaxTokens: w.MaxTokens, ExpectedTokens: w.ExpectedTokens, Prefix: w.Prefix, PrefixEnds: w.PrefixEnds, Parts: w.parts(),
		Fingerprint: w.Fingerprint, ArrivedAt: w.ArrivedAt.in(now), FirstTokenBy: w.FirstTokenBy.in(now),
		GiveUpBy: w.GiveUpBy.in(now), Deadline: w.Deadline.in(now), Avoid: w.Avoid,
		Reacquired: w.Reacquired, AfterRefusal: w.AfterRefusal, Retry: w.Retry,
	}
}

// maxRequestIDBytes bounds the ids of requests in messages.
const maxRequestIDBytes = 128

// wireRequestID returns the id as messages carry it. Callers choose ids, and receivers drop
// a datagram with text that is not UTF-8, or a state that is too large is not sent.
func wireRequestID(id egretflow.RequestID) egretflow.RequestID {
	return egretflow.RequestID(strings.ToValidUTF8(string(id[:min(len(id), maxRequestIDBytes)]), "?"))
}

// parts returns all parts of the work.
func (w *wireWork) parts() []egretflow.PartHash {
	if len(w.MoreParts) == 0 {
		return w.Parts
	}
	return slices.Concat(w.Parts, w.MoreParts)
}

func toWireServer(s *egretflow.Server) *wireServer {
	if s == nil {
		return nil
	}
	return &wireServer{Name: s.Name, Address: s.Address, FailureDomain: s.FailureDomain, Role: s.Role}
}

func (s *wireServer) server() *egretflow.Server {
	if s == nil {
		return nil
	}
	return &egretflow.Server{Name: s.Name, Address: s.Address, FailureDomain: s.FailureDomain, Role: s.Role}
}

func toWireAssignment(a *egretflow.Assignment, now time.Time) *wireAssignment {
	return &wireAssignment{
		Decision: a.Decision, Attempt: a.Attempt, Prefill: toWireServer(a.Prefill), Decode: *toWireServer(a.Decode),
		Slots: a.Slots, CachedTokens: a.CachedTokens, PrefillBy: relativeTo(a.PrefillBy, now),
		TransferBy: relativeTo(a.TransferBy, now), FirstTokenAt: relativeTo(a.FirstTokenAt, now),
	}
}

func (a *wireAssignment) assignment(w *egretflow.Work, now, expiresAt time.Time) *egretflow.Assignment {
	return &egretflow.Assignment{
		Decision: a.Decision, Attempt: a.Attempt, Work: w, Prefill: a.Prefill.server(), Decode: a.Decode.server(),
		Slots: a.Slots, CachedTokens: a.CachedTokens, PrefillBy: a.PrefillBy.in(now), TransferBy: a.TransferBy.in(now),
		FirstTokenAt: a.FirstTokenAt.in(now), GrantExpiresAt: expiresAt,
	}
}

func toWireRefusal(r *egretflow.Refusal, now time.Time) *wireRefusal {
	return &wireRefusal{Status: r.Status, Reason: r.Reason, RunState: r.RunState, Message: r.Message, RetryAt: relativeTo(r.RetryAt, now)}
}

func (r *wireRefusal) refusal(now time.Time) *egretflow.Refusal {
	return &egretflow.Refusal{Status: r.Status, Reason: r.Reason, RunState: r.RunState, Message: r.Message, RetryAt: r.RetryAt.in(now)}
}

func observationEvent(o *egretflow.Observation, now time.Time) event {
	return event{
		Attempt: o.Attempt, Kind: o.Kind, Server: o.Server, StartedAt: relativeTo(o.StartedAt, now), EndedAt: relativeTo(o.EndedAt, now),
		Unsent: o.Unsent, Tokens: o.Tokens, Generated: o.Generated,
	}
}

func (e *event) observation(now time.Time) egretflow.Observation {
	return egretflow.Observation{
		Attempt: e.Attempt, Kind: e.Kind, Server: e.Server, StartedAt: e.StartedAt.in(now), EndedAt: e.EndedAt.in(now),
		Unsent: e.Unsent, Tokens: e.Tokens, Generated: e.Generated,
	}
}

func (e *event) release() egretflow.Release {
	return egretflow.Release{Attempt: e.Attempt, PrefillOnly: e.PrefillOnly, WastedPrefillTokens: e.Wasted, Complete: e.Tokens == completeRelease}
}
