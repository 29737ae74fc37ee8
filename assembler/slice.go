package assembler

import (
	"context"
	"sync"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/slicer"
)

// sliceFollower gives the scheduler the tables with only the servers of this
// instance's slice, so that the state of the scheduler and the cost of each
// exchange do not grow with the number of servers (5.3).
type sliceFollower struct {
	mu      sync.Mutex
	tables  *egretflow.Tables
	servers map[egretflow.ServerName]bool
	// changed buffers one signal, so that setTables and setPlan never block.
	changed chan struct{}
}

func newSliceFollower() *sliceFollower { return &sliceFollower{changed: make(chan struct{}, 1)} }

// setTables sets a new revision of the tables.
func (f *sliceFollower) setTables(t *egretflow.Tables) {
	f.mu.Lock()
	f.tables = t
	f.mu.Unlock()
	f.notify()
}

// setPlan sets the servers of the slice from a new plan.
func (f *sliceFollower) setPlan(p slicer.Plan) {
	servers := make(map[egretflow.ServerName]bool, len(p.Servers))
	for _, s := range p.Servers {
		servers[s.Server.Name] = true
	}
	f.mu.Lock()
	f.servers = servers
	f.mu.Unlock()
	f.notify()
}

func (f *sliceFollower) notify() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// run calls apply with the tables of the slice after each change until ctx ends.
func (f *sliceFollower) run(ctx context.Context, apply func(*egretflow.Tables)) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.changed:
		}
		if t := f.sliceTables(); t != nil {
			apply(t)
		}
	}
}

// sliceTables returns the tables with only the servers of the slice. It returns nil
// until both the tables and a plan are known.
func (f *sliceFollower) sliceTables() *egretflow.Tables {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.tables == nil || f.servers == nil {
		return nil
	}
	t := *f.tables
	t.Pools = make([]egretflow.Pool, len(f.tables.Pools))
	for n, pool := range f.tables.Pools {
		pool.Servers = nil
		for _, s := range f.tables.Pools[n].Servers {
			if f.servers[s.Name] {
				pool.Servers = append(pool.Servers, s)
			}
		}
		t.Pools[n] = pool
	}
	return &t
}
