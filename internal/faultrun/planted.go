package faultrun

import (
	"net"

	"github.com/egretflow/egretflow"
)

// Planted are wrappers around what an instance is built from. Tests plant
// faults with them and check that a run finds each.
type Planted struct {
	Callers func(net.Listener) net.Listener
	Dial    func(dialFunc) dialFunc
	Store   func(egretflow.Store) egretflow.Store
	// Scheduler wraps what the request path sees of the scheduler.
	Scheduler func(egretflow.Scheduler) egretflow.Scheduler
	// HideLeaving keeps servers that leave live in the platform's list.
	HideLeaving bool
}
