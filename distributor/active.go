package distributor

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/egretflow/egretflow"
)

// document is one revision of the tables with its encoding, which is passed on
// to peers unchanged.
type document struct {
	tables *egretflow.Tables
	data   []byte
}

// snapshot is the active revision with the times at which it was known to be
// current. A higher revision keeps these times: what replaced a revision that
// was current then is at least as new.
type snapshot struct {
	document
	activatedAt time.Time
	confirmedAt time.Time
	// storeConfirmedAt counts only the own reads of the store.
	storeConfirmedAt time.Time
}

func (s *snapshot) revision() egretflow.Revision {
	if s.tables == nil {
		return 0
	}
	return s.tables.Revision
}

func (s *snapshot) editID() string {
	if s.tables == nil {
		return ""
	}
	return s.tables.EditID
}

// active is the snapshot that everyone may read and only the task replaces.
type active struct {
	current atomic.Pointer[snapshot]
	checker egretflow.Checker

	mu          sync.Mutex
	subscribers []func(*egretflow.Tables)
}

func newActive(c egretflow.Checker) *active {
	a := &active{checker: c}
	a.current.Store(&snapshot{})
	return a
}

func (a *active) load() *snapshot { return a.current.Load() }

// activate makes doc active and tells the subscribers. It refuses to go back
// (I8), whatever its caller checked before.
func (a *active) activate(doc document, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	next := *a.load()
	old := next.revision()
	higher := doc.tables.Revision > old
	a.checker.Check(egretflow.InvariantNoRevert, higher, "",
		fmt.Sprintf("revision %d after %d", doc.tables.Revision, old))
	if !higher {
		return false
	}
	next.document, next.activatedAt = doc, now
	a.current.Store(&next)
	for _, f := range a.subscribers {
		f(doc.tables)
	}
	return true
}

// confirm notes that the active revision was current at a time.
func (a *active) confirm(at time.Time, byStore bool) {
	next := *a.load()
	if at.After(next.confirmedAt) {
		next.confirmedAt = at
	}
	if byStore && at.After(next.storeConfirmedAt) {
		next.storeConfirmedAt = at
	}
	a.current.Store(&next)
}

// contradict notes that the store holds something else than the active
// revision.
func (a *active) contradict() {
	next := *a.load()
	next.confirmedAt, next.storeConfirmedAt = time.Time{}, time.Time{}
	a.current.Store(&next)
}

func (a *active) subscribe(f func(*egretflow.Tables)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.subscribers = append(a.subscribers, f)
	if s := a.load(); s.tables != nil {
		f(s.tables)
	}
}
