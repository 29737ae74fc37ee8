package scheduler

import (
	"github.com/egretflow/egretflow"
)

// Stepper runs the decisions of a Scheduler without a goroutine, so that a
// simulation can drive them in virtual time. It is not safe for concurrent use.
type Stepper struct{ task *task }

// NewStepper returns a Stepper. It reads Config.Clock at each call.
func NewStepper(cfg Config) *Stepper { return &Stepper{task: newTask(cfg)} }

// Wait is a request that waits for a place.
type Wait struct{ waiter *waiter }

// Result returns the assignment or the error once done is true.
func (w *Wait) Result() (a *egretflow.Assignment, done bool, err error) {
	return w.waiter.assignment, w.waiter.done, w.waiter.err
}

// Acquire begins to wait for a place.
func (s *Stepper) Acquire(work *egretflow.Work) *Wait { return s.wait(newWaiter(work, "")) }

// Replace begins to wait for another prefill server.
func (s *Stepper) Replace(a *egretflow.Assignment) *Wait { return s.wait(newWaiter(a.Work, a.Attempt)) }

func (s *Stepper) wait(w *waiter) *Wait {
	s.handle(acquireMessage{waiter: w})
	return &Wait{waiter: w}
}

// Apply takes new tables.
func (s *Stepper) Apply(t *egretflow.Tables) { s.handle(tablesMessage{tables: t}) }

// Observe takes an observation.
func (s *Stepper) Observe(o egretflow.Observation) { s.handle(observeMessage{observation: o}) }

// Release gives a place back.
func (s *Stepper) Release(r egretflow.Release) { s.handle(releaseMessage{release: r}) }

// Tick does the periodic work; call it every TickInterval.
func (s *Stepper) Tick() {
	s.task.now = s.task.cfg.Clock()
	s.task.tick()
}

func (s *Stepper) handle(m message) {
	s.task.now = s.task.cfg.Clock()
	s.task.handle(m)
}
