package commander

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/rendezvous"
)

// Commander commands the engines of the model pools whose lease this instance
// holds.
type Commander struct {
	cfg Config

	mu sync.Mutex
	// running holds the pools that have a goroutine.
	running map[egretflow.PoolName]bool
}

// New checks the settings and returns a Commander.
func New(cfg Config) (*Commander, error) {
	if err := cfg.check(); err != nil {
		return nil, fmt.Errorf("check commander settings: %w", err)
	}
	return &Commander{cfg: cfg, running: map[egretflow.PoolName]bool{}}, nil
}

// Run commands the pools of the active tables until ctx ends.
func (c *Commander) Run(ctx context.Context) error {
	var pools sync.WaitGroup
	defer pools.Wait()
	tick := time.NewTicker(Interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			for _, name := range c.startable() {
				pools.Go(func() { c.runPool(ctx, name) })
			}
		}
	}
}

// startable marks the pools that this instance should command and does not yet.
func (c *Commander) startable() []egretflow.PoolName {
	tables := c.cfg.Tables.Current().Tables
	if tables == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []egretflow.PoolName
	for _, pool := range tables.Pools {
		if pool.Kind == egretflow.PoolKindModel && !c.running[pool.Name] && c.mayHold(pool.Name) {
			c.running[pool.Name] = true
			names = append(names, pool.Name)
		}
	}
	return names
}

// runPool commands one pool until the pool, the right to hold its lease or ctx
// ends.
func (c *Commander) runPool(ctx context.Context, name egretflow.PoolName) {
	p := newPoolCommander(&c.cfg, name)
	defer func() {
		p.release(context.WithoutCancel(ctx))
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.running, name)
	}()
	tick := time.NewTicker(Interval)
	defer tick.Stop()
	for {
		pool, ok := c.pool(name)
		if !ok || p.term == nil && !c.mayHold(name) {
			return
		}
		p.step(ctx, pool)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (c *Commander) pool(name egretflow.PoolName) (*egretflow.Pool, bool) {
	tables := c.cfg.Tables.Current().Tables
	if tables == nil {
		return nil, false
	}
	return tables.Pool(name)
}

// mayHold reports whether this instance is among the candidates for a pool.
func (c *Commander) mayHold(pool egretflow.PoolName) bool {
	top := rendezvous.Top(leaseKey(pool), c.cfg.Members(), c.cfg.Instance, candidates)
	return slices.ContainsFunc(top, func(m egretflow.Member) bool { return m.Name == c.cfg.Instance })
}
