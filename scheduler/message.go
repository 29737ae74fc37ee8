package scheduler

import (
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/admitter"
)

// message is one of the types below.
type message interface{ isMessage() }

// waiter is a request that waits for a place.
type waiter struct {
	work *egretflow.Work
	// replaces is the attempt whose prefill place is chosen again; empty for a
	// new attempt.
	replaces egretflow.AttemptID
	// ready has room for the one signal that assignment or err is set, so the
	// goroutine of Run never blocks on it.
	ready      chan struct{}
	assignment *egretflow.Assignment
	err        error

	// The rest belongs to the goroutine of Run.
	pool *pool
	item admitter.Item
	// late says that the request misses its target and waits in pool.late.
	late bool
	// isolate keeps the request apart from other crash suspects (5.6).
	isolate bool
	// counted says that the wait counts as an open stream.
	counted bool
	done    bool
	// attempt is the attempt that starts when the wait ends. It is part of the
	// waiter to save an allocation.
	attempt attempt
}

func newWaiter(work *egretflow.Work, replaces egretflow.AttemptID) *waiter {
	return &waiter{work: work, replaces: replaces, ready: make(chan struct{}, 1)}
}

func (w *waiter) finish(a *egretflow.Assignment, err error) {
	w.done = true
	w.assignment, w.err = a, err
	w.ready <- struct{}{}
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
	prefillLoadMessage struct {
		now   time.Time
		reply chan egretflow.PrefillLoad
	}
	peerLoadMessage struct {
		from egretflow.InstanceName
		load egretflow.PrefillLoad
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
func (prefillLoadMessage) isMessage() {}
func (peerLoadMessage) isMessage()    {}
