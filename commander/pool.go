package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/egretflow/egretflow"
)

// poolCommander commands the engines of one pool. One goroutine owns it.
type poolCommander struct {
	cfg     *Config
	name    egretflow.PoolName
	engines engines
	// term is nil while another instance holds the lease.
	term *term
	// desired is what the store held at revision, if loaded.
	desired  desired
	revision int64
	loaded   bool
	balance  balance
}

func newPoolCommander(cfg *Config, name egretflow.PoolName) *poolCommander {
	return &poolCommander{cfg: cfg, name: name}
}

// step renews the lease, reads the engines, and commands those that differ from
// the desired state.
func (p *poolCommander) step(ctx context.Context, pool *egretflow.Pool) {
	if err := p.hold(ctx); err != nil {
		p.record(egretflow.EventStoreUnavailable, "", "Error", err.Error())
	}
	if p.term == nil {
		return
	}
	if err := p.load(ctx); err != nil {
		p.record(egretflow.EventStoreUnavailable, "", "Error", err.Error())
		return
	}
	p.engines = engines{client: p.cfg.Client, scheme: "http"}
	if pool.ServerTLS {
		p.engines.scheme = "https"
	}
	readings := p.readAll(ctx, pool)
	if p.update(pool, readings) || p.desired.Fencing != p.term.Fencing {
		if err := p.write(ctx); err != nil {
			p.record(egretflow.EventStoreUnavailable, "", "Error", err.Error())
			return
		}
	}
	if err := p.commandAll(ctx, pool, readings); errors.Is(err, errStale) {
		p.record(egretflow.EventOrderRefused, "", "Error", err.Error())
		p.release(ctx)
	}
}

// hold keeps the lease or tries to get it.
func (p *poolCommander) hold(ctx context.Context) error {
	if p.term != nil {
		return p.keep(ctx)
	}
	term, err := acquire(ctx, p.cfg.Store, p.cfg.Clock, p.name)
	if err != nil || term == nil {
		return err
	}
	p.term, p.loaded, p.balance = term, false, balance{}
	p.record(egretflow.EventLeaseAcquired, "", "Fencing", strconv.FormatUint(term.Fencing, 10))
	return nil
}

func (p *poolCommander) keep(ctx context.Context) error {
	left := p.term.Lease.ExpiresAt.Sub(p.cfg.Clock())
	if left > LeaseTTL*2/3 {
		return nil
	}
	err := p.term.renew(ctx)
	if errors.Is(err, egretflow.ErrNotFound) || !p.cfg.Clock().Before(p.term.Lease.ExpiresAt) {
		p.record(egretflow.EventLeaseLost, "", "Fencing", strconv.FormatUint(p.term.Fencing, 10))
		p.term = nil
	}
	return err
}

// release ends the term and the lease.
func (p *poolCommander) release(ctx context.Context) {
	if p.term == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	// The lease also ends by itself.
	_ = p.term.Release(ctx)
	p.record(egretflow.EventLeaseLost, "", "Fencing", strconv.FormatUint(p.term.Fencing, 10))
	p.term = nil
}

// load reads the desired state once per term, and after a write whose outcome
// is unknown.
func (p *poolCommander) load(ctx context.Context) error {
	if p.loaded {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := p.cfg.Store.Get(ctx, desiredKey(p.name))
	var d desired
	switch {
	case errors.Is(err, egretflow.ErrNotFound):
	case err != nil:
		return fmt.Errorf("read desired state: %w", err)
	default:
		if err := json.Unmarshal(entry.Value, &d); err != nil {
			return fmt.Errorf("decode desired state: %w", err)
		}
	}
	p.desired, p.revision, p.loaded = d, entry.ModRevision, true
	return nil
}

// write stores the desired state under the condition that the lease key is
// still the own one.
func (p *poolCommander) write(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	p.desired.Fencing = p.term.Fencing
	value, err := json.Marshal(p.desired)
	if err != nil {
		return fmt.Errorf("encode desired state: %w", err)
	}
	revision, err := p.cfg.Store.Commit(ctx, egretflow.StoreTxn{
		Conditions: []egretflow.StoreCondition{
			{Key: leaseKey(p.name), ModRevision: p.term.Revision},
			{Key: desiredKey(p.name), ModRevision: p.revision},
		},
		Writes: []egretflow.StoreWrite{{Key: desiredKey(p.name), Value: value}},
	})
	if err != nil {
		p.loaded = false
		if errors.Is(err, egretflow.ErrConflict) {
			p.release(ctx)
		}
		return fmt.Errorf("write desired state: %w", err)
	}
	p.revision = revision
	return nil
}

// readAll reads the engines. An engine that does not answer has no reading and
// gets no command.
func (p *poolCommander) readAll(ctx context.Context, pool *egretflow.Pool) map[egretflow.ServerName]reading {
	var mu sync.Mutex
	readings := map[egretflow.ServerName]reading{}
	var group errgroup.Group
	group.SetLimit(maxParallel)
	for n := range pool.Servers {
		group.Go(func() error {
			r, err := p.engines.read(ctx, &pool.Servers[n])
			if err != nil {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			readings[pool.Servers[n].Name] = r
			return nil
		})
	}
	_ = group.Wait()
	return readings
}

// update adapts the desired state to tables, drained engines and loads, and
// reports whether it changed.
func (p *poolCommander) update(pool *egretflow.Pool, readings map[egretflow.ServerName]reading) bool {
	now := p.cfg.Clock()
	changed := p.desired.follow(pool)
	changing := false
	for n := range p.desired.Engines {
		e := &p.desired.Engines[n]
		if e.NextRole == "" {
			continue
		}
		r, ok := readings[e.Server]
		drained := ok && r.load.Draining && r.load.Running+r.load.Waiting == 0 &&
			now.Sub(e.DrainBy.Add(-DrainTime)) >= leastDrain
		if drained || !now.Before(e.DrainBy) {
			e.finishChange(now)
			p.desired.ChangedAt, changed = now, true
			continue
		}
		changing = true
	}
	load, ok := p.cfg.RoleLoad(p.name)
	if !ok || changing {
		return changed
	}
	role := p.balance.observe(load, &p.desired, now)
	if role == "" {
		return changed
	}
	if server, ok := p.leastBusy(opposite(role), readings); ok {
		p.desired.startChange(server, role, now)
		changed = true
	}
	return changed
}

// leastBusy returns the engine of a role with the fewest requests.
func (p *poolCommander) leastBusy(role egretflow.Role, readings map[egretflow.ServerName]reading) (egretflow.ServerName, bool) {
	var best egretflow.ServerName
	fewest := 0
	for _, e := range p.desired.Engines {
		r, ok := readings[e.Server]
		if !ok || e.Role != role || r.load.Draining || r.order.State == stateLoading {
			continue
		}
		if busy := r.load.Running + r.load.Waiting; best == "" || busy < fewest {
			best, fewest = e.Server, busy
		}
	}
	return best, best != ""
}

func (p *poolCommander) record(name egretflow.EventName, server egretflow.ServerName, key, value string) {
	fields := []egretflow.EventField{{Key: "Pool", Value: string(p.name)}}
	if server != "" {
		fields = append(fields, egretflow.EventField{Key: "Server", Value: string(server)})
	}
	p.cfg.Recorder.Record(egretflow.Event{
		Name: name, At: p.cfg.Clock(), Instance: p.cfg.Instance,
		Fields: append(fields, egretflow.EventField{Key: key, Value: value}),
	})
}
