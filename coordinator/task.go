package coordinator

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/egretflow/egretflow"
)

// task holds the state of a Coordinator. Only the goroutine of Run uses it.
type task struct {
	*Coordinator
	now    time.Time
	links  map[egretflow.PoolName]*link
	server *server
	// suspects holds the instances that are passed over and until when.
	suspects map[egretflow.InstanceName]time.Time
	// layouts holds the newest layout of messages that each instance reads.
	layouts    map[egretflow.InstanceName]layout
	lastWaiter uint64
	leaving    bool
}

func newTask(ctx context.Context, c *Coordinator) *task {
	t := &task{Coordinator: c, now: c.cfg.Clock(), links: map[egretflow.PoolName]*link{}, suspects: map[egretflow.InstanceName]time.Time{}, layouts: map[egretflow.InstanceName]layout{}}
	t.server = newServer(ctx, c.cfg.Scheduler, func(s scheduled) { c.send(scheduledInput{s}) })
	t.server.self = c.cfg.Self.Name
	return t
}

func (t *task) handle(in input) {
	t.now = t.cfg.Clock()
	switch in := in.(type) {
	case acquireInput:
		t.acquire(in.waiter)
	case cancelInput:
		t.cancel(in.waiter)
	case observeInput:
		t.observe(in.pool, &in.observation)
	case releaseInput:
		t.release(in.pool, in.release)
	case datagramInput:
		t.noteVersion(in.message.From, in.reads)
		t.handleMessage(in.message, in.from)
	case scheduledInput:
		t.deliver(in.outcome)
	case leaveInput:
		t.leaving = true
		t.server.leaving = true
		for _, l := range t.links {
			l.rankedAt = time.Time{}
		}
	}
}

func (t *task) link(pool egretflow.PoolName) *link {
	l, ok := t.links[pool]
	if !ok {
		l = &link{pool: pool, running: map[egretflow.AttemptID]*running{}}
		t.links[pool] = l
	}
	return l
}

func (t *task) acquire(w *waiter) {
	t.lastWaiter++
	w.id, w.startedAt = t.lastWaiter, t.now
	l := t.link(w.pool)
	l.waiting = append(l.waiting, w)
	l.urgent = true
}

func (t *task) cancel(w *waiter) {
	if w.done {
		return
	}
	l := t.link(w.pool)
	l.waiting = slices.DeleteFunc(l.waiting, func(other *waiter) bool { return other == w })
	l.urgent = true
	w.finish(nil, fmt.Errorf("wait for an assignment: %w", context.Canceled))
}

func (t *task) observe(pool egretflow.PoolName, o *egretflow.Observation) {
	l := t.link(pool)
	if x, ok := l.running[o.Attempt]; ok {
		x.generated = max(x.generated, o.Generated)
	}
	l.addEvent(pendingEvent{observation: o})
	l.urgent = l.urgent || o.Kind != egretflow.ObservationTokens
}

func (t *task) release(pool egretflow.PoolName, r egretflow.Release) {
	l := t.link(pool)
	if !r.PrefillOnly {
		delete(l.running, r.Attempt)
	}
	l.addEvent(pendingEvent{release: r})
	l.urgent = true
}

// tick handles coordinators that do not answer, and instances that send nothing.
func (t *task) tick() {
	t.now = t.cfg.Clock()
	t.server.expire(t.now)
	for _, l := range t.links {
		if at, ok := l.failAt(); ok && !t.now.Before(at) {
			t.failOver(l)
		}
	}
}

// failOver passes over the coordinator of l, which does not answer (rule 6).
func (t *task) failOver(l *link) {
	t.suspects[l.target.Name] = t.now.Add(suspectPeriod)
	l.failovers++
	if l.failovers >= maxFailovers {
		l.failovers, l.selfUntil = 0, t.now.Add(selfPeriod)
	}
	t.record(egretflow.EventCoordinatorSilent, "Pool", string(l.pool), "Coordinator", string(l.target.Name),
		"SilentMs", strconv.FormatInt(t.now.Sub(l.silentSince).Milliseconds(), 10), "Waiting", strconv.Itoa(len(l.waiting)),
		"Running", strconv.Itoa(len(l.running)))
	l.rankedAt = time.Time{}
	t.chooseTarget(l)
}

// chooseTarget chooses the coordinator of l again if that is due. The former one gets
// an empty state, so that it releases what the new one adopts.
func (t *task) chooseTarget(l *link) {
	if t.now.Sub(l.rankedAt) < rankInterval {
		return
	}
	l.rankedAt = t.now
	next := t.target(l)
	if next.Name == l.target.Name {
		l.target = next
		return
	}
	if l.target.Name != "" {
		l.sequence++
		t.dispatch(l, &request{Sequence: l.sequence, SentAt: t.now.UnixMicro()})
		t.record(egretflow.EventCoordinatorChanged, "Pool", string(l.pool), "From", string(l.target.Name), "To", string(next.Name))
	}
	l.target, l.silentSince, l.urgent = next, time.Time{}, !l.empty()
	for _, w := range l.waiting {
		w.sentIn = 0
	}
}

// target returns the coordinator of l: the first in the ranking that is not passed
// over, or this instance itself.
func (t *task) target(l *link) egretflow.Member {
	if t.now.Before(l.selfUntil) {
		return t.cfg.Self
	}
	for _, m := range rank(l.pool, t.cfg.Members()) {
		if m.Name == t.cfg.Self.Name && t.leaving {
			continue
		}
		if !t.now.Before(t.suspects[m.Name]) {
			return m
		}
	}
	return t.cfg.Self
}

// sendDue sends the messages that are due.
func (t *task) sendDue() {
	for _, l := range t.links {
		at, ok := l.sendAt()
		if !ok || t.now.Before(at) && !l.urgent {
			continue
		}
		t.chooseTarget(l)
		l.resendAfter = min(maxResend, max(minResend, 2*l.resendAfter))
		if l.urgent {
			l.resendAfter = minResend
		}
		l.urgent, l.sentAt = false, t.now
		if l.silentSince.IsZero() {
			l.silentSince = t.now
		}
		t.dispatch(l, l.message(t.now))
	}
}

// untilNext returns the time until the next message or timeout.
func (t *task) untilNext() time.Duration {
	next := t.now.Add(expiryInterval)
	earlier := func(at time.Time, ok bool) {
		if ok && at.Before(next) {
			next = at
		}
	}
	for _, l := range t.links {
		earlier(l.sendAt())
		earlier(l.failAt())
	}
	return max(0, next.Sub(t.cfg.Clock()))
}

// dispatch sends a request to the coordinator of l, which may be this instance.
func (t *task) dispatch(l *link, r *request) {
	m := &message{Kind: kindRequest, From: t.cfg.Self.Name, Incarnation: t.cfg.Incarnation, Pool: l.pool, Request: r}
	if l.target.Name == t.cfg.Self.Name {
		if resp := t.server.handle(m, AddressOf(t.cfg.Self), t.now); resp != nil {
			t.applyResponse(l, resp)
		}
		return
	}
	if reads := t.layouts[l.target.Name]; reads < presentLayout {
		r.reduce(reads)
	}
	t.write(m, l.target)
}

// handleMessage handles a datagram of another instance. An unexpected content must
// not end the process.
func (t *task) handleMessage(m *message, from netip.AddrPort) {
	if m.Kind == kindRequest {
		if resp := t.server.handle(m, from, t.now); resp != nil {
			t.respond(m.Pool, resp, from)
		}
		return
	}
	if l, ok := t.links[m.Pool]; ok && l.target.Name == m.From {
		t.applyResponse(l, m.Response)
	}
}

// deliver passes the outcome of a request of this or another instance on.
func (t *task) deliver(s scheduled) {
	resp, c := t.server.finish(s, t.now)
	switch {
	case resp == nil:
	case s.client.name == t.cfg.Self.Name:
		if l, ok := t.links[s.client.pool]; ok && l.target.Name == t.cfg.Self.Name {
			t.applyResponse(l, resp)
		}
	default:
		t.respond(s.client.pool, resp, c.address)
	}
}

// applyResponse applies an answer of the coordinator of l.
func (t *task) applyResponse(l *link, r *response) {
	if r.Sequence > l.sequence || r.Sequence < l.answered {
		return
	}
	l.answered, l.failovers = r.Sequence, 0
	delete(t.suspects, l.target.Name)
	l.acknowledge(r.Acknowledged)
	if l.silentSince = (time.Time{}); l.answered < l.sequence {
		l.silentSince = l.sentAt
	}
	for n := range r.Results {
		t.applyResult(l, r, &r.Results[n])
	}
	if r.Leaving && l.target.Name != t.cfg.Self.Name {
		t.suspects[l.target.Name] = t.now.Add(leavingPeriod)
		l.rankedAt, l.urgent = time.Time{}, !l.empty()
	}
}

func (t *task) applyResult(l *link, r *response, x *result) {
	at := slices.IndexFunc(l.waiting, func(w *waiter) bool { return w.id == x.ID })
	if at < 0 {
		return
	}
	w := l.waiting[at]
	l.waiting = slices.Delete(l.waiting, at, at+1)
	if x.Refusal != nil {
		t.recordDelegated(l, w, "", string(x.Refusal.Reason))
		w.finish(nil, x.Refusal.refusal(t.now))
		return
	}
	a := x.Assignment.assignment(w.work, t.now, time.UnixMicro(r.SentAt).Add(stateLifetime))
	if w.replaces == "" {
		l.running[a.Attempt] = &running{work: w.work, decode: a.Decode.Name}
		t.mu.Lock()
		t.attempts[a.Attempt] = l.pool
		t.mu.Unlock()
	}
	t.recordDelegated(l, w, a.Attempt, "Assigned")
	w.finish(a, nil)
}

// recordDelegated records the outcome of a request at its coordinator. Decisions of
// this instance itself are recorded by its scheduler.
func (t *task) recordDelegated(l *link, w *waiter, attempt egretflow.AttemptID, outcome string) {
	if l.target.Name == t.cfg.Self.Name {
		return
	}
	e := egretflow.NewEvent(egretflow.EventDelegated, t.now, t.cfg.Self.Name, "Pool", string(l.pool), "Coordinator", string(l.target.Name),
		"Outcome", outcome, "WaitedMs", strconv.FormatInt(t.now.Sub(w.startedAt).Milliseconds(), 10))
	e.Request, e.Attempt = w.work.Request, attempt
	t.cfg.Recorder.Record(e)
}

// end finishes all waiting requests when Run ends.
func (t *task) end() {
	for _, l := range t.links {
		for _, w := range l.waiting {
			w.finish(nil, errors.Wrap(ErrStopped, "wait for an assignment"))
		}
	}
	t.server.end()
}
