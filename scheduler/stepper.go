package scheduler

import (
	"github.com/egretflow/egretflow"
)

// Stepper makes the decisions of a Scheduler without a goroutine, so that a
// simulation can drive it in virtual time. It is not safe for concurrent use.
type Stepper struct{ task *task }

// NewStepper returns a Stepper that reads cfg.Clock at each call.
func NewStepper(cfg Config) *Stepper { return &Stepper{task: newTask(cfg)} }

// PendingAssignment is a request that waits for its assignment to servers.
type PendingAssignment struct{ waiter *waiter }

// Result returns whether the wait is over and, if so, its assignment or error. The
// errors are those of Scheduler.Acquire and Scheduler.Replace.
func (w *PendingAssignment) Result() (a *egretflow.Assignment, done bool, err error) {
	return w.waiter.assignment, w.waiter.done, w.waiter.err
}

// Acquire offers a request. Its result may be there at once or after later calls of
// s. Unlike Scheduler.Acquire it does not check whether the grant has expired.
func (s *Stepper) Acquire(work *egretflow.Work) *PendingAssignment {
	return s.wait(newWaiter(work, ""))
}

// Replace asks for another prefill server for a.
func (s *Stepper) Replace(a *egretflow.Assignment) *PendingAssignment {
	return s.wait(newWaiter(a.Work, a.Attempt))
}

func (s *Stepper) wait(w *waiter) *PendingAssignment {
	s.handle(acquireMessage{waiter: w})
	return &PendingAssignment{waiter: w}
}

// Apply replaces the tables.
func (s *Stepper) Apply(t *egretflow.Tables) { s.handle(tablesMessage{tables: t}) }

// Observe updates the estimates, the slots and the usability of a server from an
// observation by an attempt, in a load report or in cache events.
func (s *Stepper) Observe(o egretflow.Observation) { s.handle(observeMessage{observation: o}) }

// Release ends an attempt and frees its slots, or frees only its prefill slot.
func (s *Stepper) Release(r egretflow.Release) { s.handle(releaseMessage{release: r}) }

// Tick does the periodic work. The caller calls it every TickInterval.
func (s *Stepper) Tick() {
	s.task.now = s.task.cfg.Clock()
	s.task.tick()
}

func (s *Stepper) handle(m message) {
	s.task.now = s.task.cfg.Clock()
	s.task.handle(m)
}
