package scheduler

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/egretflow/egretflow"
)

// tickInterval is how often waiting requests are checked against their
// deadlines when nothing else happens.
const tickInterval = 20 * time.Millisecond

// server is the accounting of one backend server.
type server struct {
	spec        egretflow.Server
	pool        egretflow.PoolName
	inUse       int
	granted     int
	expiresAt   time.Time
	unavailable bool
}

// attempt is a running assignment.
type attempt struct {
	assignment *egretflow.Assignment
	prefill    *server
	decode     *server
}

// task holds the state of a Scheduler. Only the goroutine of Run touches it.
type task struct {
	cfg      Config
	servers  map[egretflow.ServerName]*server
	order    []*server
	pools    map[egretflow.PoolName]egretflow.PoolKind
	attempts map[egretflow.AttemptID]*attempt
	queue    []*waiter
}

func newTask(cfg Config) *task {
	return &task{
		cfg:      cfg,
		servers:  map[egretflow.ServerName]*server{},
		pools:    map[egretflow.PoolName]egretflow.PoolKind{},
		attempts: map[egretflow.AttemptID]*attempt{},
	}
}

func (t *task) run(ctx context.Context, messages <-chan message) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			for _, w := range t.queue {
				w.finish(nil, ErrStopped)
			}
			return
		case <-ticker.C:
		case m := <-messages:
			t.handle(m)
		}
		t.dispatch()
	}
}

func (t *task) handle(m message) {
	switch m := m.(type) {
	case acquireMessage:
		t.queue = append(t.queue, m.waiter)
	case cancelMessage:
		t.cancel(m.waiter)
	case releaseMessage:
		t.release(m.release)
	case tablesMessage:
		t.applyTables(m.tables)
	case grantsMessage:
		for _, g := range m.grants {
			if s, ok := t.servers[g.Server]; ok {
				s.granted, s.expiresAt = g.Slots, g.ExpiresAt
			}
		}
	case unavailableMessage:
		for _, s := range t.order {
			s.unavailable = slices.Contains(m.servers, s.spec.Name)
		}
	case demandsMessage:
		m.reply <- t.demands()
	case crashesMessage:
		m.reply <- nil
	case observeMessage, mergeMessage:
	}
}

func (t *task) cancel(w *waiter) {
	if w.done {
		return
	}
	t.queue = slices.DeleteFunc(t.queue, func(q *waiter) bool { return q == w })
	w.finish(nil, context.Canceled)
}

func (t *task) release(r egretflow.Release) {
	a, ok := t.attempts[r.Attempt]
	if !ok {
		t.cfg.Checker.Check(egretflow.InvariantMemoryFreed, false, "", "release of unknown attempt "+string(r.Attempt))
		return
	}
	if a.prefill != nil {
		a.prefill.inUse--
		a.prefill = nil
	}
	if r.PrefillOnly {
		return
	}
	a.decode.inUse -= a.assignment.Slots
	delete(t.attempts, r.Attempt)
}

func (t *task) applyTables(tables *egretflow.Tables) {
	previous := t.servers
	t.servers = map[egretflow.ServerName]*server{}
	t.order = t.order[:0]
	clear(t.pools)
	for n := range tables.Pools {
		p := &tables.Pools[n]
		t.pools[p.Name] = p.Kind
		for _, spec := range p.Servers {
			s, ok := previous[spec.Name]
			if !ok {
				s = &server{}
			}
			s.spec, s.pool = spec, p.Name
			t.servers[spec.Name] = s
			t.order = append(t.order, s)
		}
	}
}

func (t *task) free(s *server, now time.Time) int {
	switch {
	case s.unavailable || s.spec.Drain:
		return 0
	case !t.cfg.Peers:
		return s.spec.Slots - s.inUse
	case !now.Before(s.expiresAt):
		return 0
	}
	return s.granted - s.inUse
}

func (t *task) choose(w *egretflow.Work, role egretflow.Role, slots int, now time.Time) *server {
	var best *server
	bestFree := 0
	for _, s := range t.order {
		if s.pool != w.Pool || s.spec.Role != role || slices.Contains(w.Avoid, s.spec.Name) {
			continue
		}
		if free := t.free(s, now); free >= slots && free > bestFree {
			best, bestFree = s, free
		}
	}
	return best
}

// dispatch starts waiting requests in order of importance and arrival.
func (t *task) dispatch() {
	now := t.cfg.Clock()
	slices.SortStableFunc(t.queue, func(a, b *waiter) int {
		return a.work.Importance.Rank() - b.work.Importance.Rank()
	})
	t.queue = slices.DeleteFunc(t.queue, func(w *waiter) bool { return t.settle(w, now) })
}

// settle reports whether w got its reply.
func (t *task) settle(w *waiter, now time.Time) bool {
	if w.replaces != "" {
		return t.replace(w, now)
	}
	kind, ok := t.pools[w.work.Pool]
	if !ok {
		w.finish(nil, t.refusal(w.work, egretflow.RefusalNoServer, "the pool has no servers", now))
		return true
	}
	if by := w.work.FirstTokenBy; !by.IsZero() && now.After(by) {
		w.finish(nil, t.refusal(w.work, egretflow.RefusalOverload, "the first-token target cannot be met", now))
		return true
	}
	role := egretflow.RoleDecode
	if kind == egretflow.PoolKindService {
		role = egretflow.RoleService
	}
	decode := t.choose(w.work, role, 1, now)
	if decode == nil {
		return false
	}
	slots := slotsFor(w.work, &decode.spec)
	if decode = t.choose(w.work, role, slots, now); decode == nil {
		return false
	}
	var prefill *server
	if role == egretflow.RoleDecode {
		if prefill = t.choose(w.work, egretflow.RolePrefill, 1, now); prefill == nil {
			return false
		}
	}
	w.finish(t.assign(w.work, prefill, decode, slots, now), nil)
	return true
}

func (t *task) assign(w *egretflow.Work, prefill, decode *server, slots int, now time.Time) *egretflow.Assignment {
	a := &egretflow.Assignment{
		Decision: egretflow.DecisionID(t.id()), Attempt: egretflow.AttemptID(t.id()), Work: w,
		Decode: &decode.spec, Slots: slots, GrantExpiresAt: decode.expiresAt,
		PrefillBy: now, TransferBy: now, FirstTokenAt: now,
	}
	decode.inUse += slots
	if prefill != nil {
		prefill.inUse++
		a.Prefill = &prefill.spec
		if prefill.expiresAt.Before(a.GrantExpiresAt) {
			a.GrantExpiresAt = prefill.expiresAt
		}
	}
	t.attempts[a.Attempt] = &attempt{assignment: a, prefill: prefill, decode: decode}
	t.cfg.Recorder.Record(egretflow.Event{
		Name: egretflow.EventAssigned, At: now, Instance: t.cfg.Instance,
		Request: w.Request, Attempt: a.Attempt, Decision: a.Decision,
	})
	return a
}

func (t *task) replace(w *waiter, now time.Time) bool {
	a, ok := t.attempts[w.replaces]
	if !ok {
		w.finish(nil, fmt.Errorf("replace prefill of attempt %s: %w", w.replaces, egretflow.ErrNotFound))
		return true
	}
	prefill := t.choose(w.work, egretflow.RolePrefill, 1, now)
	if prefill == nil {
		if by := w.work.FirstTokenBy; !by.IsZero() && now.After(by) {
			w.finish(nil, t.refusal(w.work, egretflow.RefusalOverload, "no prefill server is free", now))
			return true
		}
		return false
	}
	if a.prefill != nil {
		a.prefill.inUse--
	}
	a.prefill = prefill
	prefill.inUse++
	next := *a.assignment
	next.Prefill = &prefill.spec
	a.assignment = &next
	w.finish(&next, nil)
	return true
}

func (t *task) refusal(w *egretflow.Work, reason egretflow.RefusalReason, message string, now time.Time) *egretflow.Refusal {
	state := egretflow.RunStateNotRun
	if w.Retry || w.Hedge {
		state = egretflow.RunStateMayHaveRun
	}
	return &egretflow.Refusal{
		Status: http.StatusServiceUnavailable, Reason: reason, RunState: state, Message: message,
		RetryAt: now.Add(time.Second + time.Duration(t.cfg.Rand.Int64N(int64(time.Second)))),
	}
}

func (t *task) demands() []egretflow.Demand {
	demands := make([]egretflow.Demand, 0, len(t.order))
	for _, s := range t.order {
		d := egretflow.Demand{Server: s.spec.Name, InUse: s.inUse, Held: s.granted}
		for _, w := range t.queue {
			if w.work.Pool == s.pool {
				d.Wanted[w.work.Importance.Rank()]++
			}
		}
		demands = append(demands, d)
	}
	return demands
}

func (t *task) id() string { return strconv.FormatUint(t.cfg.Rand.Uint64(), 16) }

// slotsFor returns the slots whose share of blocks holds prompt and output.
func slotsFor(w *egretflow.Work, s *egretflow.Server) int {
	share := s.Blocks / s.Slots
	if share == 0 {
		return 1
	}
	blocks := (w.PromptTokens + w.MaxTokens + egretflow.BlockTokens - 1) / egretflow.BlockTokens
	return min(max(1, (blocks+share-1)/share), s.Slots)
}
