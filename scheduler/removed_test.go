package scheduler

import (
	"testing"

	"github.com/egretflow/egretflow"
)

// Guards against an attempt that waits until its deadline for another prefill server of
// a pool that is no longer in the tables.
func TestReplaceInRemovedPool(t *testing.T) {
	d := newDriver(t, 1, 2)
	for range 2 { // First attempts add to the retry budget.
		d.release(d.acquire(nil).assignment)
	}
	a := d.acquire(nil).assignment
	d.task.handle(tablesMessage{tables: &egretflow.Tables{Revision: 2}})
	w := newWaiter(a.Work, a.Attempt)
	d.task.handle(acquireMessage{waiter: w})
	if !w.done {
		t.Fatal("the request waits in a pool that is never looked at again")
	}
	d.wantRefusal(w, egretflow.RefusalNoServer, egretflow.RunStateMayHaveRun)
	d.release(a)
}
