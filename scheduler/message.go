package scheduler

import (
	"time"

	"github.com/egretflow/egretflow"
)

// message is one of the types below.
type message interface{ isMessage() }

// reply ends one wait: either an assignment or an error.
type reply struct {
	assignment *egretflow.Assignment
	err        error
}

// waiter is a request that waits for a place. Its reply channel has room for
// the one reply, so the goroutine never blocks on it.
type waiter struct {
	work *egretflow.Work
	// replaces is the attempt whose prefill place is chosen again; empty for a
	// new attempt.
	replaces egretflow.AttemptID
	reply    chan reply
	done     bool
}

func (w *waiter) finish(a *egretflow.Assignment, err error) {
	w.done = true
	w.reply <- reply{assignment: a, err: err}
}

type (
	acquireMessage     struct{ waiter *waiter }
	cancelMessage      struct{ waiter *waiter }
	observeMessage     struct{ observation egretflow.Observation }
	releaseMessage     struct{ release egretflow.Release }
	tablesMessage      struct{ tables *egretflow.Tables }
	grantsMessage      struct{ grants []egretflow.Grant }
	unavailableMessage struct{ servers []egretflow.ServerName }
	mergeMessage       struct{ reports []egretflow.CrashReport }
	demandsMessage     struct {
		now   time.Time
		reply chan []egretflow.Demand
	}
	crashesMessage struct {
		now   time.Time
		reply chan []egretflow.CrashReport
	}
)

func (acquireMessage) isMessage()     {}
func (cancelMessage) isMessage()      {}
func (observeMessage) isMessage()     {}
func (releaseMessage) isMessage()     {}
func (tablesMessage) isMessage()      {}
func (grantsMessage) isMessage()      {}
func (unavailableMessage) isMessage() {}
func (mergeMessage) isMessage()       {}
func (demandsMessage) isMessage()     {}
func (crashesMessage) isMessage()     {}
