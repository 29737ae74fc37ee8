package faultrun

import (
	"net"

	"github.com/egretflow/egretflow"
)

// Planted are wrappers around what an instance is built from. Tests plant
// faults with them and check that a run finds each.
type Planted struct {
	// Callers wraps the listener for callers; stopping is closed when a graceful
	// shutdown begins.
	Callers   func(ln net.Listener, stopping <-chan struct{}) net.Listener
	Dial      func(dialFunc) dialFunc
	Store     func(egretflow.Store) egretflow.Store
	Scheduler func(egretflow.Scheduler) egretflow.Scheduler
	Claimer   func(egretflow.Claimer) egretflow.Claimer
	// HideLeaving keeps servers that leave live in the platform's list.
	HideLeaving bool
}
