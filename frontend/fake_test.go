package frontend_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
)

// fakeScheduler assigns the servers of a role in turn, and records assignments
// that are released twice or not at all.
type fakeScheduler struct {
	tables         *egretflow.Tables
	instanceNumber int
	// grantHedges allows hedges. refusal, if set, is returned for every request.
	grantHedges bool
	refusal     *egretflow.Refusal
	// queues makes every request wait until it is cancelled.
	queues bool
	// firstToken is the expected time to the first token.
	firstToken time.Duration

	mu            sync.Mutex
	acquired      int
	hedgesGranted int
	chosen        map[egretflow.Role]int
	open          map[egretflow.AttemptID]bool
	releaseErrors []string
	observed      map[egretflow.ObservationKind][]egretflow.ServerName
	wasted        int
}

func newFakeScheduler(tables *egretflow.Tables, number int) *fakeScheduler {
	return &fakeScheduler{
		tables: tables, instanceNumber: number, firstToken: 150 * time.Millisecond, chosen: map[egretflow.Role]int{},
		open: map[egretflow.AttemptID]bool{}, observed: map[egretflow.ObservationKind][]egretflow.ServerName{},
	}
}

func (s *fakeScheduler) choose(w *egretflow.Work, role egretflow.Role) *egretflow.Server {
	pool, _ := s.tables.Pool(w.Pool)
	var free []*egretflow.Server
	for n := range pool.Servers {
		if server := &pool.Servers[n]; server.Role == role && !slices.Contains(w.Avoid, server.Name) {
			free = append(free, server)
		}
	}
	if len(free) == 0 {
		return nil
	}
	s.chosen[role]++
	return free[(s.chosen[role]-1)%len(free)]
}

func (s *fakeScheduler) Acquire(ctx context.Context, w *egretflow.Work) (*egretflow.Assignment, error) {
	if s.queues {
		<-ctx.Done()
		return nil, context.Cause(ctx)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusal != nil {
		return nil, s.refusal
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	noServer := &egretflow.Refusal{Status: http.StatusServiceUnavailable, Reason: egretflow.RefusalNoServer, RunState: egretflow.RunStateNotRun, Message: "no server"}
	if w.Hedge && !s.grantHedges {
		return nil, noServer
	}
	s.acquired++
	now := time.Now()
	a := &egretflow.Assignment{
		Attempt: egretflow.AttemptID(fmt.Sprintf("attempt-%d-%d", s.instanceNumber, s.acquired)), Work: w, Slots: 1,
		PrefillBy: now.Add(s.firstToken / 2), TransferBy: now.Add(s.firstToken), FirstTokenAt: now.Add(s.firstToken),
	}
	if w.Hedge {
		s.hedgesGranted++
	}
	if pool, _ := s.tables.Pool(w.Pool); pool.Kind == egretflow.PoolKindService {
		a.Decode = s.choose(w, egretflow.RoleService)
	} else {
		a.Prefill, a.Decode = s.choose(w, egretflow.RolePrefill), s.choose(w, egretflow.RoleDecode)
		if a.Prefill == nil {
			return nil, noServer
		}
	}
	if a.Decode == nil {
		return nil, noServer
	}
	s.open[a.Attempt] = true
	return a, nil
}

func (s *fakeScheduler) Replace(_ context.Context, a *egretflow.Assignment) (*egretflow.Assignment, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *a
	if next.Prefill = s.choose(a.Work, egretflow.RolePrefill); next.Prefill == nil {
		return nil, &egretflow.Refusal{Status: http.StatusServiceUnavailable, Reason: egretflow.RefusalNoServer, RunState: egretflow.RunStateMayHaveRun, Message: "no prefill server"}
	}
	next.PrefillBy = time.Now().Add(s.firstToken / 2)
	next.FirstTokenAt = time.Now().Add(s.firstToken)
	return &next, nil
}

func (s *fakeScheduler) Observe(o egretflow.Observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observed[o.Kind] = append(s.observed[o.Kind], o.Server)
}

func (s *fakeScheduler) Release(r egretflow.Release) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.open[r.Attempt] {
		s.releaseErrors = append(s.releaseErrors, fmt.Sprintf("attempt %s was released twice", r.Attempt))
	}
	if !r.PrefillOnly {
		delete(s.open, r.Attempt)
		s.wasted += r.WastedPrefillTokens
	}
}

// check reports an error for each assignment that was released twice or not at
// all.
func (s *fakeScheduler) check(t *testing.T) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.releaseErrors {
		t.Error(f)
	}
	for id := range s.open {
		t.Errorf("attempt %s was not released", id)
	}
}

// hasObserved reports whether an observation of the kind was made of the server.
func (s *fakeScheduler) hasObserved(kind egretflow.ObservationKind, server egretflow.ServerName) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.observed[kind], server)
}

// fakeClaimer keeps claims in memory. While unavailable is true, it refuses to
// begin new ones.
type fakeClaimer struct {
	mu          sync.Mutex
	claims      map[string]*egretflow.Claim
	unavailable bool
}

func newFakeClaimer() *fakeClaimer { return &fakeClaimer{claims: map[string]*egretflow.Claim{}} }

func (c *fakeClaimer) Begin(_ context.Context, key egretflow.ClaimKey, _ time.Time) (*egretflow.ClaimTicket, *egretflow.Outcome, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unavailable {
		return nil, nil, &egretflow.Refusal{Status: http.StatusServiceUnavailable, Reason: egretflow.RefusalStore, RunState: egretflow.RunStateNotRun, Message: "store down"}
	}
	claim := c.claims[key.Key]
	switch {
	case claim == nil || claim.State == egretflow.ClaimStateNotRun:
		claim = &egretflow.Claim{KeyHash: key.Key, State: egretflow.ClaimStateClaimed, Fingerprint: key.Fingerprint}
		c.claims[key.Key] = claim
		return &egretflow.ClaimTicket{Claim: *claim, RunBy: time.Now().Add(time.Second)}, nil, nil
	case claim.State == egretflow.ClaimStateDone:
		return nil, claim.Outcome, nil
	}
	return nil, nil, &egretflow.Refusal{Status: http.StatusConflict, Reason: egretflow.RefusalInProgress, RunState: egretflow.RunStateMayHaveRun, Message: "claimed"}
}

func (c *fakeClaimer) setState(ticket *egretflow.ClaimTicket, state egretflow.ClaimState, outcome *egretflow.Outcome) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	claim := c.claims[ticket.Claim.KeyHash]
	claim.State, claim.Outcome = state, outcome
	return nil
}

func (c *fakeClaimer) Finish(_ context.Context, ticket *egretflow.ClaimTicket, outcome *egretflow.Outcome) error {
	return c.setState(ticket, egretflow.ClaimStateDone, outcome)
}

func (c *fakeClaimer) MarkNotRun(_ context.Context, ticket *egretflow.ClaimTicket) error {
	return c.setState(ticket, egretflow.ClaimStateNotRun, nil)
}

func (c *fakeClaimer) MarkUnknown(_ context.Context, ticket *egretflow.ClaimTicket) error {
	return c.setState(ticket, egretflow.ClaimStateUnknown, nil)
}

func (c *fakeClaimer) state(key string) egretflow.ClaimState {
	c.mu.Lock()
	defer c.mu.Unlock()
	if claim := c.claims[key]; claim != nil {
		return claim.State
	}
	return ""
}
