package scheduler

import (
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/admitter"
	"github.com/egretflow/egretflow/crashdetector"
)

// message is one of the types below.
type message interface{ isMessage() }

// waiter is a request that waits for its assignment to servers.
type waiter struct {
	work *egretflow.Work
	// replaces is the attempt that needs another prefill server; empty for a new
	// attempt.
	replaces egretflow.AttemptID
	// ready receives one signal when assignment or err is set. Its buffer holds
	// that signal, so the goroutine of Run never blocks on it.
	ready      chan struct{}
	assignment *egretflow.Assignment
	err        error

	// The fields below belong to the goroutine of Run.
	pool *pool
	item admitter.Item
	// late reports whether the request misses its first-token target and is in
	// pool.lateQueue.
	late bool
	// verdict says whether the request may share its servers with other crash suspects
	// (5.6). apart is true if servers were chosen that it does not share with one.
	verdict crashdetector.Verdict
	apart   bool
	// streamOpen reports whether the waiting request counts as an open stream. When
	// it starts, the stream belongs to the attempt.
	streamOpen bool
	// spentFrom is the budget from which the attempt was taken at spentAt; nil if it
	// was not, or was given back.
	spentFrom retryBudget
	spentAt   time.Time
	// done reports whether assignment or err is set.
	done bool
	// attempt is the attempt that starts when the wait ends. It is part of the
	// waiter to save an allocation.
	attempt attempt
}

func newWaiter(work *egretflow.Work, replaces egretflow.AttemptID) *waiter {
	return &waiter{work: work, replaces: replaces, ready: make(chan struct{}, 1)}
}

// finish sets the result of w and signals it. It must be called once.
func (w *waiter) finish(a *egretflow.Assignment, err error) {
	w.done = true
	w.assignment, w.err = a, err
	w.ready <- struct{}{}
}

type (
	acquireMessage      struct{ waiter *waiter }
	cancelMessage       struct{ waiter *waiter }
	observeMessage      struct{ observation egretflow.Observation }
	releaseMessage      struct{ release egretflow.Release }
	tablesMessage       struct{ tables *egretflow.Tables }
	grantsMessage       struct{ grants []egretflow.Grant }
	unavailableMessage  struct{ servers []egretflow.ServerName }
	mergeCrashesMessage struct{ reports []egretflow.CrashReport }
	demandsMessage      struct {
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
	crashRecordMessage struct {
		now   time.Time
		reply chan egretflow.CrashRecord
	}
	restoreCrashesMessage struct{ record egretflow.CrashRecord }
	crashesMessage        struct {
		now   time.Time
		reply chan []egretflow.CrashReport
	}
)

func (acquireMessage) isMessage()        {}
func (cancelMessage) isMessage()         {}
func (observeMessage) isMessage()        {}
func (releaseMessage) isMessage()        {}
func (tablesMessage) isMessage()         {}
func (grantsMessage) isMessage()         {}
func (unavailableMessage) isMessage()    {}
func (mergeCrashesMessage) isMessage()   {}
func (demandsMessage) isMessage()        {}
func (crashesMessage) isMessage()        {}
func (crashRecordMessage) isMessage()    {}
func (restoreCrashesMessage) isMessage() {}
func (prefillLoadMessage) isMessage()    {}
func (peerLoadMessage) isMessage()       {}
