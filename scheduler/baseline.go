package scheduler

import (
	"net/http"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/admitter"
	"github.com/egretflow/egretflow/picker"
)

// maxBaselineQueue is the number of requests that may wait in one pool under a
// baseline policy.
const maxBaselineQueue = 256

// enqueueBaseline queues w in order of arrival. A baseline policy refuses requests
// only when the queue is full.
func (t *task) enqueueBaseline(w *waiter) {
	p := w.pool
	if len(p.fifo) >= maxBaselineQueue {
		t.refuse(w, http.StatusServiceUnavailable, egretflow.RefusalOverload, "the queue is full", admitter.Verdict{})
		return
	}
	p.fifo = append(p.fifo, w)
	t.dispatchBaseline(p)
}

// dispatchBaseline starts waiting requests while fewer requests of this instance
// run than the pool has decode slots. A baseline policy does not take other
// instances into account.
func (t *task) dispatchBaseline(p *pool) {
	for len(p.fifo) > 0 && p.running < p.picker.DecodeCapacity() {
		w := p.fifo[0]
		pl, ok := p.picker.PickBaseline(t.cfg.Policy, w.work, picker.Options{}, t.now)
		if !ok {
			return
		}
		p.fifo = p.fifo[1:]
		t.start(w, pl)
	}
}
