package rebalancer

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/rendezvous"
	"github.com/egretflow/egretflow/leaser"
)

const (
	// Interval is the time between two looks at the pools.
	Interval = time.Second
	// changeTimeout is how long an engine may take to report its new role; then
	// it counts by the role that it reports.
	changeTimeout = 20 * time.Second
	// candidates is the number of instances that may hold the lease of a pool.
	candidates = 2
	// storeTimeout bounds the calls of the store for one order.
	storeTimeout = 2 * time.Second
	// DefaultLeaseTTL is the default of Config.LeaseTTL.
	DefaultLeaseTTL = 4 * time.Second
)

// Config holds what a Rebalancer needs.
type Config struct {
	Instance egretflow.InstanceName
	Tables   egretflow.TablesHolder
	Store    egretflow.Store
	Engines  egretflow.Engines
	// Members lists the other instances.
	Members func() []egretflow.Member
	// Rates returns what one server of each role of a pool serves.
	Rates func(pool egretflow.PoolName) (Rates, bool)
	// Changing is called when a server begins to change its role; it takes no
	// work until the given time.
	Changing func(server egretflow.ServerName, until time.Time)
	// LeaseTTL is the lifetime of the lease; within it no two holders order.
	LeaseTTL time.Duration
	Clock    egretflow.Clock
	Recorder egretflow.Recorder
}

// Rebalancer changes the roles of engines.
type Rebalancer struct {
	cfg   Config
	pools map[egretflow.PoolName]*poolState
}

// poolState is what is known of one pool.
type poolState struct {
	term *leaser.Term
	// retryAt is when the lease may be tried again after another had it.
	retryAt time.Time
	ordered map[egretflow.ServerName]ordered
}

// ordered is a change under way.
type ordered struct {
	role  egretflow.Role
	until time.Time
}

// New returns a Rebalancer.
func New(cfg Config) *Rebalancer {
	if cfg.LeaseTTL == 0 {
		cfg.LeaseTTL = DefaultLeaseTTL
	}
	return &Rebalancer{cfg: cfg, pools: map[egretflow.PoolName]*poolState{}}
}

// Run looks at the pools until ctx ends. A lease that is held then ends by
// itself, so that the next holder does not order too soon.
func (r *Rebalancer) Run(ctx context.Context) error {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.look(ctx)
		}
	}
}

func (r *Rebalancer) look(ctx context.Context) {
	tables := r.cfg.Tables.Current()
	if tables.Tables == nil || !tables.Confirmed {
		return
	}
	for n := range tables.Tables.Pools {
		pool := &tables.Tables.Pools[n]
		if pool.Kind != egretflow.PoolKindModel {
			continue
		}
		if err := r.lookAt(ctx, pool); err != nil {
			r.record(egretflow.EventOrderRefused, pool.Name, "Error", err.Error())
		}
	}
}

func (r *Rebalancer) lookAt(ctx context.Context, pool *egretflow.Pool) error {
	state := r.state(pool.Name)
	now := r.cfg.Clock()
	state.forget(pool, now)
	if state.term != nil && !now.Before(state.term.Lease.ExpiresAt) {
		r.record(egretflow.EventLeaseLost, pool.Name, "Fencing", strconv.FormatUint(state.term.Fencing, 10))
		state.term = nil
	}
	rates, ok := r.cfg.Rates(pool.Name)
	if !ok || !r.mayHold(pool.Name) {
		return nil
	}
	prefill, decode := state.count(pool)
	change := Plan(prefill, decode, rates)
	if change.Count == 0 || !r.hold(ctx, pool.Name, state, now) {
		return nil
	}
	for _, s := range state.choose(pool, change) {
		if err := r.order(ctx, pool.Name, state, s, change.To, rates); err != nil {
			return err
		}
	}
	return nil
}

func (r *Rebalancer) state(pool egretflow.PoolName) *poolState {
	state, ok := r.pools[pool]
	if !ok {
		state = &poolState{ordered: map[egretflow.ServerName]ordered{}}
		r.pools[pool] = state
	}
	return state
}

// mayHold reports whether the instance is one of the first for the pool, so that
// not the whole fleet asks for the lease.
func (r *Rebalancer) mayHold(pool egretflow.PoolName) bool {
	for _, m := range rendezvous.Top(leaseKey(pool), r.cfg.Members(), r.cfg.Instance, candidates) {
		if m.Name == r.cfg.Instance {
			return true
		}
	}
	return false
}

func leaseKey(pool egretflow.PoolName) string { return "roles/" + string(pool) }

// hold reports whether the instance holds the lease of the pool, and tries to
// get it.
func (r *Rebalancer) hold(ctx context.Context, pool egretflow.PoolName, state *poolState, now time.Time) bool {
	if state.term != nil {
		return true
	}
	if now.Before(state.retryAt) {
		return false
	}
	state.retryAt = now.Add(r.cfg.LeaseTTL)
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	term, err := leaser.Acquire(ctx, leaser.Config{Store: r.cfg.Store, Clock: r.cfg.Clock, Key: leaseKey(pool), TTL: r.cfg.LeaseTTL})
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

// order renews the lease and orders one engine to take a role.
func (r *Rebalancer) order(ctx context.Context, pool egretflow.PoolName, state *poolState, s *egretflow.Server, role egretflow.Role, rates Rates) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := state.term.Renew(ctx); err != nil {
		if errors.Is(err, egretflow.ErrNotFound) {
			state.term = nil
		}
		return fmt.Errorf("order %s: %w", s.Name, err)
	}
	until := r.cfg.Clock().Add(changeTimeout)
	state.ordered[s.Name] = ordered{role: role, until: until}
	r.cfg.Changing(s.Name, until)
	r.record(egretflow.EventOrderSent, pool, "Server", string(s.Name), "Role", string(role),
		"Fencing", strconv.FormatUint(state.term.Fencing, 10), "PrefillPerSecond", strconv.FormatFloat(rates.Prefill, 'f', 2, 64),
		"DecodePerSecond", strconv.FormatFloat(rates.Decode, 'f', 2, 64), "Samples", strconv.Itoa(rates.Samples))
	err := r.cfg.Engines.SetRole(ctx, s, role, egretflow.Holder{Name: r.cfg.Instance, Fencing: state.term.Fencing})
	if err == nil {
		return nil
	}
	if errors.Is(err, egretflow.ErrConflict) {
		// A newer holder has ordered.
		state.term = nil
	}
	return fmt.Errorf("order %s: %w", s.Name, err)
}

// forget drops the changes that the servers report as done, and those that did
// not happen.
func (p *poolState) forget(pool *egretflow.Pool, now time.Time) {
	for n := range pool.Servers {
		s := &pool.Servers[n]
		if o, ok := p.ordered[s.Name]; ok && (s.Role == o.role || !now.Before(o.until)) {
			delete(p.ordered, s.Name)
		}
	}
}

// count returns the servers of each role that take work or soon will.
func (p *poolState) count(pool *egretflow.Pool) (prefill, decode int) {
	for n := range pool.Servers {
		s := &pool.Servers[n]
		if s.Drain {
			continue
		}
		role := s.Role
		if o, ok := p.ordered[s.Name]; ok {
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

// choose returns the servers to be changed.
func (p *poolState) choose(pool *egretflow.Pool, change Change) []*egretflow.Server {
	var chosen []*egretflow.Server
	for n := range pool.Servers {
		s := &pool.Servers[n]
		if _, under := p.ordered[s.Name]; under || s.Drain || s.Role == change.To {
			continue
		}
		if chosen = append(chosen, s); len(chosen) == change.Count {
			break
		}
	}
	return chosen
}

// record writes an event of a pool with pairs of keys and values.
func (r *Rebalancer) record(name egretflow.EventName, pool egretflow.PoolName, pairs ...string) {
	pairs = append([]string{"Pool", string(pool)}, pairs...)
	r.cfg.Recorder.Record(egretflow.NewEvent(name, r.cfg.Clock(), r.cfg.Instance, pairs...))
}
