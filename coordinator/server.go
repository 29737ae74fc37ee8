package coordinator

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/egretflow/egretflow"
)

const (
	// stateLifetime is how long the state of an instance counts after its last
	// message, and how long an assignment is valid.
	stateLifetime = 2 * time.Second
	// expiryInterval is how often expired states are looked for.
	expiryInterval = 500 * time.Millisecond
	// emptyLifetime is how long the sequence of an instance without state is
	// remembered, so that a datagram that was delayed is not taken for a new one.
	emptyLifetime = 10 * time.Second
)

// clientKey identifies the state of one instance for one shard.
type clientKey struct {
	name egretflow.InstanceName
	pool egretflow.PoolName
}

// client is what a coordinator knows of one instance for one shard.
type client struct {
	address     netip.AddrPort
	incarnation uint64
	sequence    uint64
	sentAt      int64
	heardAt     time.Time
	// acknowledged is the number of the newest event that was applied.
	acknowledged uint64
	waiting      map[uint64]*pending
	attempts     map[egretflow.AttemptID]bool
}

// pending is a request that waits in the scheduler, or whose result the client has
// not taken yet.
type pending struct {
	replaces egretflow.AttemptID
	cancel   context.CancelFunc
	result   *result
}

// scheduled is the outcome of a request in the scheduler.
type scheduled struct {
	client clientKey
	id     uint64
	// pending is the wait that has ended. The same request may wait again since.
	pending    *pending
	assignment *egretflow.Assignment
	err        error
}

// server schedules the requests of all instances for the shards that it is asked for.
type server struct {
	ctx       context.Context //nolint:containedctx // the life of the goroutines that wait in the scheduler
	scheduler egretflow.AdoptingScheduler
	finished  func(s scheduled)
	clients   map[clientKey]*client
	expiredAt time.Time
	// leaving makes the server start no requests, except those of self: they come only
	// if no other instance can coordinate.
	leaving bool
	self    egretflow.InstanceName
}

func newServer(ctx context.Context, scheduler egretflow.AdoptingScheduler, finished func(scheduled)) *server {
	return &server{ctx: ctx, scheduler: scheduler, finished: finished, clients: map[clientKey]*client{}}
}

// handle applies a request and returns the answer to it, or nil for one that is not
// newer than the last of its sender.
func (s *server) handle(m *message, from netip.AddrPort, now time.Time) *response {
	key, r := clientKey{m.From, m.Pool}, m.Request
	c := s.clients[key]
	if c != nil && c.isOld(m, now) {
		return nil
	}
	if c == nil || c.incarnation != m.Incarnation {
		s.drop(c)
		c = &client{incarnation: m.Incarnation, waiting: map[uint64]*pending{}, attempts: map[egretflow.AttemptID]bool{}}
		s.clients[key] = c
	}
	c.address, c.sequence, c.sentAt, c.heardAt = from, r.Sequence, r.SentAt, now
	s.adopt(c, m.Pool, r.Running, now)
	s.applyEvents(c, key.name, r.Events, now)
	s.syncWaiting(key, c, r, now)
	s.syncRunning(c, r)
	return s.answer(c)
}

// isOld reports whether a message is not newer than the last one of its sender. A
// sender whose clock was set back may have a lower incarnation after a restart.
func (c *client) isOld(m *message, now time.Time) bool {
	if m.Incarnation == c.incarnation {
		return m.Request.Sequence <= c.sequence
	}
	return m.Incarnation < c.incarnation && now.Sub(c.heardAt) < stateLifetime
}

// adopt takes over the running attempts that this coordinator does not know.
func (s *server) adopt(c *client, pool egretflow.PoolName, list []runningWork, now time.Time) {
	for n := range list {
		x := &list[n]
		if c.attempts[x.Attempt] {
			continue
		}
		c.attempts[x.Attempt] = s.scheduler.Adopt(egretflow.Adoption{
			Attempt: x.Attempt, Work: x.Work.work(pool, now), Decode: x.Decode, Generated: x.Generated,
		})
	}
}

// applyEvents passes the events of an instance that are new to the scheduler.
func (s *server) applyEvents(c *client, from egretflow.InstanceName, events []event, now time.Time) {
	for n := range events {
		e := &events[n]
		if e.Sequence <= c.acknowledged {
			continue
		}
		c.acknowledged = e.Sequence
		counted, known := c.attempts[e.Attempt]
		switch {
		case e.Kind != "":
			o := e.observation(now)
			if from != s.self {
				o.From = from
			}
			s.scheduler.Observe(o)
		case counted:
			s.scheduler.Release(e.release())
		}
		if e.Kind == "" && !e.PrefillOnly && known {
			delete(c.attempts, e.Attempt)
		}
	}
}

// syncWaiting starts the requests that are new and ends those that the sender no
// longer lists.
func (s *server) syncWaiting(key clientKey, c *client, r *request, now time.Time) {
	listed := make(map[uint64]bool, len(r.Waiting))
	for n := range r.Waiting {
		x := &r.Waiting[n]
		listed[x.ID] = true
		if c.waiting[x.ID] == nil && (!s.leaving || key.name == s.self) {
			s.start(key, c, x, now)
		}
	}
	for id, p := range c.waiting {
		if !listed[id] {
			p.cancel()
			delete(c.waiting, id)
		}
	}
}

// start passes a request to the scheduler.
func (s *server) start(key clientKey, c *client, x *waitingWork, now time.Time) {
	ctx, cancel := context.WithCancel(s.ctx)
	p := &pending{replaces: x.Replaces, cancel: cancel}
	c.waiting[x.ID] = p
	work := x.Work.work(key.pool, now)
	outcome := scheduled{client: key, id: x.ID, pending: p}
	replaces := x.Replaces
	go func() {
		defer cancel()
		if replaces == "" {
			outcome.assignment, outcome.err = s.scheduler.Acquire(ctx, work)
		} else {
			outcome.assignment, outcome.err = s.scheduler.Replace(ctx, &egretflow.Assignment{Attempt: replaces, Work: work})
		}
		s.finished(outcome)
	}()
}

// syncRunning releases the attempts that the sender no longer lists and that are not
// the result of a request it still waits for.
func (s *server) syncRunning(c *client, r *request) {
	if len(c.attempts) == 0 {
		return
	}
	listed := make(map[egretflow.AttemptID]bool, len(r.Running))
	for n := range r.Running {
		listed[r.Running[n].Attempt] = true
	}
	for _, p := range c.waiting {
		if p.result != nil && p.result.Assignment != nil {
			listed[p.result.Assignment.Attempt] = true
		}
	}
	for id, counted := range c.attempts {
		if listed[id] {
			continue
		}
		delete(c.attempts, id)
		if counted {
			s.scheduler.Release(egretflow.Release{Attempt: id})
		}
	}
}

// answer returns the answer to the newest message of c, with all results that it has
// not taken yet.
func (s *server) answer(c *client) *response {
	r := &response{Sequence: c.sequence, SentAt: c.sentAt, Acknowledged: c.acknowledged, Leaving: s.leaving}
	for _, p := range c.waiting {
		if p.result != nil {
			r.Results = append(r.Results, *p.result)
		}
	}
	return r
}

// finish stores the outcome of a request and returns the answer that carries it, or
// nil if the sender no longer waits for it.
func (s *server) finish(o scheduled, now time.Time) (*response, *client) {
	c, p := s.clients[o.client], o.pending
	if c == nil || c.waiting[o.id] != p {
		// A replaced prefill server belongs to an attempt that its sender releases.
		if o.assignment != nil && !s.holds(o.assignment.Attempt) {
			s.scheduler.Release(egretflow.Release{Attempt: o.assignment.Attempt})
		}
		return nil, nil
	}
	p.result = &result{ID: o.id}
	var refusal *egretflow.Refusal
	switch {
	case o.assignment != nil:
		p.result.Assignment = toWireAssignment(o.assignment, now)
		c.attempts[o.assignment.Attempt] = true
	case errors.As(o.err, &refusal):
		p.result.Refusal = toWireRefusal(refusal, now)
	case errors.Is(o.err, context.Canceled):
		p.result = nil
		return nil, nil
	default:
		p.result.Refusal = toWireRefusal(failedRefusal(p, o.err), now)
	}
	return s.answer(c), c
}

// failedRefusal returns the refusal for a request that failed in the scheduler.
func failedRefusal(p *pending, err error) *egretflow.Refusal {
	state := egretflow.RunStateNotRun
	if p.replaces != "" {
		state = egretflow.RunStateMayHaveRun
	}
	return &egretflow.Refusal{Status: http.StatusServiceUnavailable, Reason: egretflow.RefusalNoServer, RunState: state, Message: err.Error()}
}

// holds reports whether an attempt belongs to any client.
func (s *server) holds(id egretflow.AttemptID) bool {
	for _, c := range s.clients {
		if c.attempts[id] {
			return true
		}
	}
	return false
}

// expire drops the state of instances that have sent nothing for stateLifetime.
func (s *server) expire(now time.Time) {
	if now.Sub(s.expiredAt) < expiryInterval {
		return
	}
	s.expiredAt = now
	for key, c := range s.clients {
		silent := now.Sub(c.heardAt)
		if silent > stateLifetime && len(c.waiting)+len(c.attempts) > 0 {
			s.drop(c)
		}
		if silent > emptyLifetime {
			delete(s.clients, key)
		}
	}
}

// drop ends the requests of c and releases its attempts.
func (s *server) drop(c *client) {
	if c == nil {
		return
	}
	for id, p := range c.waiting {
		p.cancel()
		delete(c.waiting, id)
	}
	for id, counted := range c.attempts {
		delete(c.attempts, id)
		if counted {
			s.scheduler.Release(egretflow.Release{Attempt: id})
		}
	}
}

// end ends all waiting requests.
func (s *server) end() {
	for _, c := range s.clients {
		for _, p := range c.waiting {
			p.cancel()
		}
	}
}

// respond sends an answer to another instance.
func (t *task) respond(pool egretflow.PoolName, r *response, to netip.AddrPort) {
	t.writeTo(&message{Kind: kindResponse, From: t.cfg.Self.Name, Incarnation: t.cfg.Incarnation, Pool: pool, Response: r}, to)
}

// write sends a message to a member.
func (t *task) write(m *message, to egretflow.Member) { t.writeTo(m, AddressOf(to)) }

// writeTo sends a message. Errors of the network are ignored: datagrams may be lost
// anyway, and the state is sent again.
func (t *task) writeTo(m *message, to netip.AddrPort) {
	data, err := encode(m)
	if err != nil || len(data) > maxDatagramBytes {
		t.record(egretflow.EventDatagramRefused, "Bytes", strconv.Itoa(len(data)), "To", to.String())
		return
	}
	_, _ = t.cfg.Conn.WriteTo(data, net.UDPAddrFromAddrPort(to))
}
