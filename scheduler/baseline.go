package scheduler

import (
	"net/http"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/admitter"
	"github.com/egretflow/egretflow/picker"
)

// baselineQueue bounds the waits of a pool under a baseline policy.
const baselineQueue = 256

// enqueueBaseline queues w in order of arrival. A baseline has no admission but
// the bound of its queue.
func (t *task) enqueueBaseline(w *waiter) {
	p := w.pool
	if len(p.fifo) >= baselineQueue {
		t.refuse(w, http.StatusServiceUnavailable, egretflow.RefusalOverload, "the queue is full", admitter.Verdict{})
		return
	}
	p.fifo = append(p.fifo, w)
	t.dispatchBaseline(p)
}

// dispatchBaseline starts waits while fewer requests run than the pool has
// decode slots. Other instances are not known to a baseline.
func (t *task) dispatchBaseline(p *pool) {
	for len(p.fifo) > 0 && p.running < p.picker.TableSlots() {
		w := p.fifo[0]
		pl, ok := p.picker.PickBaseline(t.cfg.Policy, w.work, picker.Options{}, t.now)
		if !ok {
			return
		}
		p.fifo = p.fifo[1:]
		t.start(w, pl)
	}
}
