package rebalancer

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/leaser"
)

const (
	// Interval is the time between two checks of the pools.
	Interval = time.Second
	// changeTimeout is how long an engine may take to report its new role. After
	// that it counts in the role that it reports.
	changeTimeout = 20 * time.Second
	// storeTimeout bounds the acquisition of a lease, and the renewal and call of
	// the engine for one order.
	storeTimeout = 2 * time.Second
	// DefaultLeaseTTL is the default of Config.LeaseTTL.
	DefaultLeaseTTL = 4 * time.Second
)

// Config holds the settings and dependencies of a Rebalancer.
type Config struct {
	Instance egretflow.InstanceName
	Tables   egretflow.TablesSource
	Store    egretflow.Store
	// Eras knows the latest era of Store; nil for a store that names none.
	Eras    egretflow.EraFollower
	Engines egretflow.EngineClient
	// Rates returns the rates of one server of each role of a pool, or false if
	// this instance does not schedule the requests of the pool.
	Rates func(pool egretflow.PoolName) (Rates, bool)
	// OnRoleChange is called before a server is ordered to change its role. It
	// must get no work until the given time.
	OnRoleChange func(server egretflow.ServerName, until time.Time)
	// LeaseTTL is the lifetime of a pool's lease, within which no two holders send
	// orders. 0 means DefaultLeaseTTL.
	LeaseTTL time.Duration
	Clock    egretflow.Clock
	Recorder egretflow.Recorder
}

// Rebalancer changes the roles of engines. Only Run uses its state.
type Rebalancer struct {
	cfg   Config
	pools map[egretflow.PoolName]*poolState
}

// poolState is the lease and the pending changes of one pool.
type poolState struct {
	// term is nil unless this instance holds the lease.
	term *leaser.HeldLease
	// retryAt is the earliest time of the next attempt to acquire the lease.
	retryAt time.Time
	pending map[egretflow.ServerName]pendingChange
}

// pendingChange is a role change that was ordered and that the engine has not
// reported yet. It is given up at the time until.
type pendingChange struct {
	role  egretflow.Role
	until time.Time
}

// New returns a Rebalancer that does nothing until Run is called.
func New(cfg Config) *Rebalancer {
	if cfg.LeaseTTL == 0 {
		cfg.LeaseTTL = DefaultLeaseTTL
	}
	return &Rebalancer{cfg: cfg, pools: map[egretflow.PoolName]*poolState{}}
}

// Run checks the pools at intervals until ctx ends. It does not release a lease
// that it holds then: the lease expires, so that the next holder does not send
// orders too soon.
func (r *Rebalancer) Run(ctx context.Context) error {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.rebalancePools(ctx)
		}
	}
}

// rebalancePools checks all model pools once, if the tables are confirmed to be
// current.
func (r *Rebalancer) rebalancePools(ctx context.Context) {
	tables := r.cfg.Tables.Current()
	if tables.Tables == nil || !tables.Confirmed {
		return
	}
	for n := range tables.Tables.Pools {
		pool := &tables.Tables.Pools[n]
		if pool.Kind != egretflow.PoolKindModel {
			continue
		}
		if err := r.rebalancePool(ctx, pool); err != nil {
			r.record(egretflow.EventOrderRefused, pool.Name, "Error", err.Error())
		}
	}
}

// rebalancePool sends the orders of the current plan for one pool, if this instance
// knows its rates and holds or acquires the lease.
func (r *Rebalancer) rebalancePool(ctx context.Context, pool *egretflow.Pool) error {
	state := r.state(pool.Name)
	now := r.cfg.Clock()
	state.dropFinished(pool, now)
	if state.term != nil && !state.term.Held(now) {
		r.record(egretflow.EventLeaseLost, pool.Name, "Fencing", strconv.FormatUint(state.term.Fencing, 10))
		state.term = nil
	}
	rates, ok := r.cfg.Rates(pool.Name)
	if !ok {
		return nil
	}
	prefill, decode := state.countRoles(pool)
	change := Plan(prefill, decode, rates)
	if change.Count == 0 || !r.ensureLease(ctx, pool.Name, state, now) {
		return nil
	}
	for _, s := range state.chooseServers(pool, change) {
		if err := r.sendOrder(ctx, pool.Name, state, s, change.To, rates); err != nil {
			return err
		}
	}
	return nil
}

func (r *Rebalancer) state(pool egretflow.PoolName) *poolState {
	state, ok := r.pools[pool]
	if !ok {
		state = &poolState{pending: map[egretflow.ServerName]pendingChange{}}
		r.pools[pool] = state
	}
	return state
}

func leaseKey(pool egretflow.PoolName) string { return "roles/" + string(pool) }

// ensureLease reports whether this instance holds the lease of the pool. If it does
// not, ensureLease tries to acquire it, at most once per LeaseTTL.
func (r *Rebalancer) ensureLease(ctx context.Context, pool egretflow.PoolName, state *poolState, now time.Time) bool {
	if state.term != nil {
		return true
	}
	cfg := leaser.Config{
		Store: r.cfg.Store, Eras: r.cfg.Eras, Clock: r.cfg.Clock, Key: leaseKey(pool), TTL: r.cfg.LeaseTTL, ActionTimeout: storeTimeout,
	}
	if now.Before(state.retryAt) || now.Before(cfg.OpensAt()) {
		return false
	}
	state.retryAt = now.Add(r.cfg.LeaseTTL)
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	term, err := leaser.Acquire(ctx, cfg)
	if err != nil {
		r.record(egretflow.EventLeaseFailed, pool, "Error", err.Error())
		return false
	}
	if state.term = term; term == nil {
		return false
	}
	r.record(egretflow.EventLeaseAcquired, pool, "Fencing", strconv.FormatUint(term.Fencing, 10))
	return true
}

// sendOrder renews the lease and orders one engine to take a role. The instance
// gives up its term if the lease is gone or the engine refuses the order.
func (r *Rebalancer) sendOrder(ctx context.Context, pool egretflow.PoolName, state *poolState, s *egretflow.Server, role egretflow.Role, rates Rates) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := state.term.Renew(ctx); err != nil {
		if errors.Is(err, egretflow.ErrNotFound) {
			state.term = nil
		}
		return fmt.Errorf("order %s: %w", s.Name, err)
	}
	until := r.cfg.Clock().Add(changeTimeout)
	state.pending[s.Name] = pendingChange{role: role, until: until}
	r.cfg.OnRoleChange(s.Name, until)
	r.record(egretflow.EventOrderSent, pool, "Server", string(s.Name), "Role", string(role),
		"Fencing", strconv.FormatUint(state.term.Fencing, 10), "PrefillPerSecond", strconv.FormatFloat(rates.Prefill, 'f', 2, 64),
		"DecodePerSecond", strconv.FormatFloat(rates.Decode, 'f', 2, 64), "Samples", strconv.Itoa(rates.Samples))
	err := r.cfg.Engines.SetRole(ctx, s, role, egretflow.Holder{Name: r.cfg.Instance, Fencing: state.term.Fencing})
	if err == nil {
		return nil
	}
	if errors.Is(err, egretflow.ErrConflict) {
		// The engine follows a newer holder or has accepted another order.
		state.term = nil
	}
	return fmt.Errorf("order %s: %w", s.Name, err)
}

// dropFinished removes the pending changes that the servers report as done, and
// those that did not happen in time.
func (p *poolState) dropFinished(pool *egretflow.Pool, now time.Time) {
	for n := range pool.Servers {
		s := &pool.Servers[n]
		if o, ok := p.pending[s.Name]; ok && (s.Role == o.role || !now.Before(o.until)) {
			delete(p.pending, s.Name)
		}
	}
}

// countRoles returns the number of servers of each role that are not draining. A
// server with a pending change counts in its new role.
func (p *poolState) countRoles(pool *egretflow.Pool) (prefill, decode int) {
	for n := range pool.Servers {
		s := &pool.Servers[n]
		if s.Drain {
			continue
		}
		role := s.Role
		if o, ok := p.pending[s.Name]; ok {
			role = o.role
		}
		if role == egretflow.RolePrefill {
			prefill++
		} else {
			decode++
		}
	}
	return prefill, decode
}

// chooseServers returns the servers to change: the first ones in the pool that do
// not have the new role, are not draining and have no pending change.
func (p *poolState) chooseServers(pool *egretflow.Pool, change Change) []*egretflow.Server {
	var chosen []*egretflow.Server
	for n := range pool.Servers {
		s := &pool.Servers[n]
		if _, changing := p.pending[s.Name]; changing || s.Drain || s.Role == change.To {
			continue
		}
		if chosen = append(chosen, s); len(chosen) == change.Count {
			break
		}
	}
	return chosen
}

// record records an event of a pool with pairs of keys and values.
func (r *Rebalancer) record(name egretflow.EventName, pool egretflow.PoolName, pairs ...string) {
	pairs = append([]string{"Pool", string(pool)}, pairs...)
	r.cfg.Recorder.Record(egretflow.NewEvent(name, r.cfg.Clock(), r.cfg.Instance, pairs...))
}
