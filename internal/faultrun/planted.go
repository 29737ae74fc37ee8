package faultrun

import (
	"net"

	"github.com/egretflow/egretflow"
)

// PlantedFaults are wrappers around the dependencies of an instance. Tests use
// them to break one invariant on purpose and check that a run reports it. A nil
// wrapper changes nothing.
type PlantedFaults struct {
	// Callers wraps the listener for callers; stopping is closed when a
	// graceful shutdown begins.
	Callers   func(ln net.Listener, stopping <-chan struct{}) net.Listener
	Dial      func(dialFunc) dialFunc
	Store     func(egretflow.Store) egretflow.Store
	Scheduler func(egretflow.Scheduler) egretflow.Scheduler
	Claimer   func(egretflow.Claimer) egretflow.Claimer
	// HideLeaving makes the platform's list report leaving servers as live.
	HideLeaving bool
}
