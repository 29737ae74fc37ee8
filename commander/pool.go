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

// poolCommander commands the engines of one pool. Only the goroutine of runPool
// uses it.
type poolCommander struct {
	cfg     *Config
	name    egretflow.PoolName
	engines engineClient
	// term is nil while another instance holds the lease.
	term *term
	// desired is the desired state. If desiredLoaded, it was read from the store
	// or written to it at desiredVersion, and may have changed since.
	desired        desiredState
	desiredVersion egretflow.StoreVersion
	desiredLoaded  bool
	balancer       roleBalancer
}

func newPoolCommander(cfg *Config, name egretflow.PoolName) *poolCommander {
	return &poolCommander{cfg: cfg, name: name}
}

// step acquires or renews the lease, reads the status of the engines, stores
// changes of the desired state, and commands the engines that differ from it. It
// runs once per PollInterval.
func (p *poolCommander) step(ctx context.Context, pool *egretflow.Pool) {
	if err := p.ensureLease(ctx); err != nil {
		p.record(egretflow.EventStoreUnavailable, "", "Error", err.Error())
	}
	if p.term == nil {
		return
	}
	if err := p.loadDesired(ctx); err != nil {
		p.record(egretflow.EventStoreUnavailable, "", "Error", err.Error())
		return
	}
	p.engines = engineClient{client: p.cfg.Client, scheme: "http"}
	if pool.ServerTLS {
		p.engines.scheme = "https"
	}
	statuses := p.readAll(ctx, pool)
	if p.updateDesired(pool, statuses) || p.desired.Fencing != p.term.Fencing {
		if err := p.writeDesired(ctx); err != nil {
			p.record(egretflow.EventStoreUnavailable, "", "Error", err.Error())
			return
		}
	}
	if err := p.sendCommands(ctx, pool, statuses); errors.Is(err, errStaleFencing) {
		p.record(egretflow.EventOrderRefused, "", "Error", err.Error())
		p.releaseLease(ctx)
	}
}

// ensureLease renews the lease if this instance holds it, and otherwise tries to
// acquire it.
func (p *poolCommander) ensureLease(ctx context.Context) error {
	if p.term != nil {
		return p.renewLease(ctx)
	}
	term, err := acquire(ctx, p.cfg.Store, p.cfg.Clock, p.name)
	if err != nil || term == nil {
		return err
	}
	p.term, p.desiredLoaded, p.balancer = term, false, roleBalancer{}
	p.record(egretflow.EventLeaseAcquired, "", "Fencing", strconv.FormatUint(term.Fencing, 10))
	return nil
}

// renewLease extends the lease once a third of LeaseTTL has passed. It ends the
// term if the lease key is gone or the lease has expired.
func (p *poolCommander) renewLease(ctx context.Context) error {
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

// releaseLease ends the term and gives up the lease, if this instance holds it.
func (p *poolCommander) releaseLease(ctx context.Context) {
	if p.term == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	// If the call fails, the lease expires by itself.
	_ = p.term.Release(ctx)
	p.record(egretflow.EventLeaseReleased, "", "Fencing", strconv.FormatUint(p.term.Fencing, 10))
	p.term = nil
}

// loadDesired reads the desired state from the store once per term, and again
// after a failed write, whose outcome can be unknown.
func (p *poolCommander) loadDesired(ctx context.Context) error {
	if p.desiredLoaded {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := p.cfg.Store.Get(ctx, desiredKey(p.name))
	var d desiredState
	switch {
	case errors.Is(err, egretflow.ErrNotFound):
	case err != nil:
		return fmt.Errorf("read desired state: %w", err)
	default:
		if err := json.Unmarshal(entry.Value, &d); err != nil {
			return fmt.Errorf("decode desired state: %w", err)
		}
	}
	p.desired, p.desiredVersion, p.desiredLoaded = d, entry.Modified, true
	return nil
}

// writeDesired stores the desired state on the condition that this instance still
// holds the lease key and that the stored state has not changed. On a conflict it
// gives up the lease.
func (p *poolCommander) writeDesired(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	p.desired.Fencing = p.term.Fencing
	value, err := json.Marshal(p.desired)
	if err != nil {
		return fmt.Errorf("encode desired state: %w", err)
	}
	version, err := p.cfg.Store.Commit(ctx, egretflow.StoreTxn{
		Conditions: []egretflow.StoreCondition{
			{Key: leaseKey(p.name), Modified: p.term.Version},
			{Key: desiredKey(p.name), Modified: p.desiredVersion},
		},
		Writes: []egretflow.StoreWrite{{Key: desiredKey(p.name), Value: value}},
	})
	if err != nil {
		p.desiredLoaded = false
		if errors.Is(err, egretflow.ErrConflict) {
			p.releaseLease(ctx)
		}
		return fmt.Errorf("write desired state: %w", err)
	}
	p.desiredVersion = version
	return nil
}

// readAll reads the status of all engines. An engine that does not respond has no
// entry and gets no command.
func (p *poolCommander) readAll(ctx context.Context, pool *egretflow.Pool) map[egretflow.ServerName]engineStatus {
	var mu sync.Mutex
	statuses := map[egretflow.ServerName]engineStatus{}
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for n := range pool.Servers {
		group.Go(func() error {
			r, err := p.engines.read(ctx, &pool.Servers[n])
			if err != nil {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[pool.Servers[n].Name] = r
			return nil
		})
	}
	_ = group.Wait()
	return statuses
}

// updateDesired applies the tables to the desired state, finishes the role changes
// of engines that are drained or have passed DrainBy, and starts a new role change
// if the loads require one. It reports whether the desired state changed.
func (p *poolCommander) updateDesired(pool *egretflow.Pool, statuses map[egretflow.ServerName]engineStatus) bool {
	now := p.cfg.Clock()
	changed := p.desired.applyTables(pool)
	changing := false
	for n := range p.desired.Engines {
		e := &p.desired.Engines[n]
		if e.NextRole == "" {
			continue
		}
		r, ok := statuses[e.Server]
		drained := ok && r.load.Draining && r.load.Running+r.load.Waiting == 0 &&
			now.Sub(e.DrainBy.Add(-DrainTimeout)) >= minDrainTime
		if drained || !now.Before(e.DrainBy) {
			e.finishRoleChange(now)
			p.desired.ChangedAt, changed = now, true
			continue
		}
		changing = true
	}
	load, ok := p.cfg.RoleLoad(p.name)
	if !ok || changing {
		return changed
	}
	role := p.balancer.observe(load, &p.desired, now)
	if role == "" {
		return changed
	}
	if server, ok := p.leastBusyEngine(otherRole(role), statuses); ok {
		p.desired.startRoleChange(server, role, now)
		changed = true
	}
	return changed
}

// leastBusyEngine returns the engine of a role with the fewest running and waiting
// requests, or false if there is none. Engines without a status and engines that
// drain or load a model are skipped.
func (p *poolCommander) leastBusyEngine(role egretflow.Role, statuses map[egretflow.ServerName]engineStatus) (egretflow.ServerName, bool) {
	var best egretflow.ServerName
	fewest := 0
	for _, e := range p.desired.Engines {
		r, ok := statuses[e.Server]
		if !ok || e.Role != role || r.load.Draining || r.order.State == stateLoading {
			continue
		}
		if busy := r.load.Running + r.load.Waiting; best == "" || busy < fewest {
			best, fewest = e.Server, busy
		}
	}
	return best, best != ""
}

// record records an event about the pool with one more field. server is empty if
// the event concerns no single engine.
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
