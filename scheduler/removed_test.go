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

// Guards against a request that gets servers of the wrong kind, because its pool changed
// between a model and a service while it waited.
func TestPoolChangesItsKind(t *testing.T) {
	d := newDriver(t, 1, 1)
	var running []*waiter
	waiting := d.acquire(nil)
	for ; waiting.done; waiting = d.acquire(nil) {
		running = append(running, waiting)
	}
	tables := testTables(0, 1, 20)
	tables.Pools[0].Kind, tables.Pools[0].Servers[0].Role = egretflow.PoolKindService, egretflow.RoleService
	d.task.handle(tablesMessage{tables: tables})
	if !waiting.done {
		t.Fatal("the request still waits")
	}
	d.wantRefusal(waiting, egretflow.RefusalNoServer, egretflow.RunStateNotRun)
	for _, w := range running {
		d.release(w.assignment)
	}
}
