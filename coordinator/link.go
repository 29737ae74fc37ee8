package coordinator

import (
	"slices"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/rendezvous"
)

const (
	// heartbeatInterval is the longest time between two messages while there is
	// any state to report.
	heartbeatInterval = 300 * time.Millisecond
	// minResend and maxResend bound the time after which an unanswered message is
	// repeated; it doubles each time.
	minResend = 40 * time.Millisecond
	maxResend = 160 * time.Millisecond
	// failoverTimeout is how long a waiting request gets no answer before it is
	// sent to the next coordinator. Small instances stall for up to 100 ms when
	// their processor quota is used up.
	failoverTimeout = 150 * time.Millisecond
	// idleFailoverTimeout applies while no request waits.
	idleFailoverTimeout = 700 * time.Millisecond
	// suspectPeriod is how long an instance that did not answer is passed over.
	suspectPeriod = 2 * time.Second
	// leavingPeriod is how long an instance that shuts down is passed over. By then
	// it is no longer registered.
	leavingPeriod = 15 * time.Second
	// maxFailovers is the number of coordinators that may fail in a row before this
	// instance schedules by itself for selfPeriod.
	maxFailovers = 2
	selfPeriod   = time.Second
	// rankInterval is how often the coordinator of a shard is chosen again.
	rankInterval = 200 * time.Millisecond
	// maxEvents bounds the events that wait for an acknowledgement.
	maxEvents = 1000
)

// rank orders the members for a shard, its coordinator first (rule 1).
func rank(pool egretflow.PoolName, members []egretflow.Member) []egretflow.Member {
	return rendezvous.RankByProcessorShare("coordinator/"+string(pool), members)
}

// waiter is a request that waits for its assignment.
type waiter struct {
	pool     egretflow.PoolName
	work     *egretflow.Work
	replaces egretflow.AttemptID
	// ready receives one signal when assignment or err is set.
	ready      chan struct{}
	assignment *egretflow.Assignment
	err        error

	// The fields below belong to the goroutine of Run.
	id        uint64
	startedAt time.Time
	// sentIn is the message in which the current coordinator was sent the request
	// first; 0 before that.
	sentIn uint64
	done   bool
}

func newWaiter(pool egretflow.PoolName, work *egretflow.Work, replaces egretflow.AttemptID) *waiter {
	return &waiter{pool: pool, work: work, replaces: replaces, ready: make(chan struct{}, 1)}
}

func (w *waiter) finish(a *egretflow.Assignment, err error) {
	w.done, w.assignment, w.err = true, a, err
	w.ready <- struct{}{}
}

// running is an attempt that runs.
type running struct {
	work      *egretflow.Work
	decode    egretflow.ServerName
	generated int
}

// pendingEvent is an event that the coordinator has not acknowledged: an observation,
// or a release if that is nil.
type pendingEvent struct {
	sequence    uint64
	observation *egretflow.Observation
	release     egretflow.Release
}

// link is the state of this instance for one shard, and what its coordinator knows of
// it.
type link struct {
	pool    egretflow.PoolName
	target  egretflow.Member
	waiting []*waiter
	running map[egretflow.AttemptID]*running
	events  []pendingEvent
	// lastEvent is the number of the newest event, sentEvent that of the newest one
	// that was sent.
	lastEvent uint64
	sentEvent uint64
	sequence  uint64
	// answered is the newest message that the coordinator has received.
	answered uint64
	// urgent asks for a message at once.
	urgent      bool
	sentAt      time.Time
	resendAfter time.Duration
	// silentSince is when the first message was sent that has no answer yet; zero if
	// all are answered.
	silentSince time.Time
	rankedAt    time.Time
	// failovers counts the coordinators that did not answer since the last answer.
	failovers int
	// selfUntil is until when this instance schedules by itself.
	selfUntil time.Time
}

func (l *link) empty() bool { return len(l.waiting)+len(l.running)+len(l.events) == 0 }

// owed reports whether the coordinator owes an answer for which the message is
// repeated.
func (l *link) owed() bool {
	if l.silentSince.IsZero() {
		return false
	}
	if len(l.events) > 0 && l.events[0].sequence <= l.sentEvent {
		return true
	}
	return slices.ContainsFunc(l.waiting, func(w *waiter) bool { return w.sentIn > l.answered })
}

// sendAt returns when the next message is due; false if none is.
func (l *link) sendAt() (time.Time, bool) {
	switch {
	case l.urgent:
		return l.sentAt, true
	case l.empty():
		return time.Time{}, false
	case l.owed():
		return l.sentAt.Add(l.resendAfter), true
	}
	return l.sentAt.Add(heartbeatInterval), true
}

// failAt returns when the coordinator counts as failed; false while it owes nothing.
func (l *link) failAt() (time.Time, bool) {
	switch {
	case l.silentSince.IsZero():
		return time.Time{}, false
	case len(l.waiting) > 0:
		return l.silentSince.Add(failoverTimeout), true
	}
	return l.silentSince.Add(idleFailoverTimeout), true
}

// addEvent appends an event. Tokens of one attempt that were not sent yet are merged.
func (l *link) addEvent(e pendingEvent) {
	if o := e.observation; o != nil && o.Kind == egretflow.ObservationTokens && l.mergeTokens(o) {
		return
	}
	if len(l.events) >= maxEvents {
		l.events = l.events[1:]
	}
	l.lastEvent++
	e.sequence = l.lastEvent
	l.events = append(l.events, e)
}

// mergeTokens adds o to an unsent observation of the same attempt, and returns false
// if there is none.
func (l *link) mergeTokens(o *egretflow.Observation) bool {
	for n := range l.events {
		e := &l.events[n]
		if e.sequence <= l.sentEvent || e.observation == nil || e.observation.Kind != o.Kind || e.observation.Attempt != o.Attempt {
			continue
		}
		e.observation.Tokens += o.Tokens
		e.observation.EndedAt, e.observation.Generated = o.EndedAt, max(e.observation.Generated, o.Generated)
		return true
	}
	return false
}

// message returns the whole state of the link as the next message (rule 2). Entries for
// whose parts there is no room list the first of them only: waiting requests have room
// first, because the coordinator knows those that run unless it is a new one.
func (l *link) message(now time.Time) *request {
	l.sequence++
	r := &request{Sequence: l.sequence, SentAt: now.UnixMicro()}
	room := maxMoreParts
	wire := func(work *egretflow.Work) wireWork {
		x := toWireWork(work, now)
		if len(x.MoreParts) > room {
			x.MoreParts = nil
		}
		room -= len(x.MoreParts)
		return x
	}
	for _, w := range l.waiting {
		if w.sentIn == 0 {
			w.sentIn = l.sequence
		}
		r.Waiting = append(r.Waiting, waitingWork{ID: w.id, Work: wire(w.work), Replaces: w.replaces})
	}
	for id, x := range l.running {
		work := wire(x.work)
		work.Prefix, work.PrefixEnds = nil, nil
		r.Running = append(r.Running, runningWork{Attempt: id, Work: work, Decode: x.decode, Generated: x.generated})
	}
	for n := range l.events {
		r.Events = append(r.Events, l.events[n].event(now))
		l.sentEvent = max(l.sentEvent, l.events[n].sequence)
	}
	return r
}

func (e *pendingEvent) event(now time.Time) event {
	if e.observation == nil {
		x := event{Sequence: e.sequence, Attempt: e.release.Attempt, PrefillOnly: e.release.PrefillOnly, Wasted: e.release.WastedPrefillTokens}
		if e.release.Complete {
			x.Tokens = completeRelease
		}
		return x
	}
	x := observationEvent(e.observation, now)
	x.Sequence = e.sequence
	return x
}

// acknowledge removes the events that the coordinator has received.
func (l *link) acknowledge(sequence uint64) {
	l.events = slices.DeleteFunc(l.events, func(e pendingEvent) bool { return e.sequence <= sequence })
}
