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

// Run commands the model pools of the active tables until ctx ends. It then
// waits for the goroutines of the pools, which release their leases.
func (c *Commander) Run(ctx context.Context) error {
	var pools sync.WaitGroup
	defer pools.Wait()
	tick := time.NewTicker(PollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			for _, name := range c.startablePools() {
				pools.Go(func() { c.runPool(ctx, name) })
			}
		}
	}
}

// startablePools returns the model pools that this instance may command and that
// have no goroutine, and marks them as running.
func (c *Commander) startablePools() []egretflow.PoolName {
	tables := c.cfg.Tables.Current().Tables
	if tables == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []egretflow.PoolName
	for _, pool := range tables.Pools {
		if pool.Kind == egretflow.PoolKindModel && !c.running[pool.Name] && c.isCandidate(pool.Name) {
			c.running[pool.Name] = true
			names = append(names, pool.Name)
		}
	}
	return names
}

// runPool commands one pool until ctx ends, the pool is removed from the tables,
// or this instance neither holds the lease nor is a candidate for it.
func (c *Commander) runPool(ctx context.Context, name egretflow.PoolName) {
	p := newPoolCommander(&c.cfg, name)
	defer func() {
		p.releaseLease(context.WithoutCancel(ctx))
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.running, name)
	}()
	tick := time.NewTicker(PollInterval)
	defer tick.Stop()
	for {
		pool, ok := c.pool(name)
		if !ok || p.term == nil && !c.isCandidate(name) {
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

// isCandidate reports whether this instance may hold the lease of a pool
// (rule 7).
func (c *Commander) isCandidate(pool egretflow.PoolName) bool {
	top := rendezvous.Top(leaseKey(pool), c.cfg.Members(), c.cfg.Instance, candidatesPerPool)
	return slices.ContainsFunc(top, func(m egretflow.Member) bool { return m.Name == c.cfg.Instance })
}
