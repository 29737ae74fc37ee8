package distributor

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/editor"
)

// document is one revision of the tables with its encoding: as stored, or the
// JSON text that a delta led to.
type document struct {
	tables *egretflow.Tables
	data   []byte
	// stored returns data in its stored form. It compresses at the first call,
	// because most revisions are passed on as deltas only.
	stored func() ([]byte, error)
}

func newDocument(tables *egretflow.Tables, data []byte) document {
	return document{tables, data, sync.OnceValues(func() ([]byte, error) { return editor.EncodeDocument(data) })}
}

// delta is the audit entry that led to a revision, as stored.
type delta struct {
	revision egretflow.Revision
	data     []byte
}

// Bounds of the deltas kept for peers. An instance that lacks more pulls the
// whole document.
const (
	maxDeltas     = 64
	maxDeltaBytes = 64 << 10
)

// snapshot is the active revision with the times at which it was known to be
// current. A higher revision keeps these times: what replaced a revision that
// was current then is at least as new.
type snapshot struct {
	document
	// deltas are those of consecutive revisions up to the active one.
	deltas      []delta
	activatedAt time.Time
	confirmedAt time.Time
	// storeConfirmedAt counts only the own reads of the store.
	storeConfirmedAt time.Time
	// contradicted says that the last own read showed something else. Peers that
	// have not yet noticed cannot confirm the revision then.
	contradicted bool
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

// deltasAbove returns the deltas that lead from a revision to the active one, or
// nil when some are missing or the document is smaller.
func (s *snapshot) deltasAbove(r egretflow.Revision) [][]byte {
	missing := s.revision() - min(r, s.revision())
	if missing > egretflow.Revision(len(s.deltas)) {
		return nil
	}
	var found [][]byte
	size := 0
	for _, d := range s.deltas[len(s.deltas)-int(missing):] {
		found = append(found, d.data)
		size += len(d.data)
	}
	if size >= len(s.data) {
		return nil
	}
	return found
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

// activate makes doc active and tells the subscribers. from is the delta by
// which doc was made of the active revision, if it was. activate refuses to go
// back (I8), whatever its caller checked before.
func (a *active) activate(doc document, from *delta, now time.Time) bool {
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
	next.document, next.activatedAt, next.contradicted = doc, now, false
	next.deltas = extend(next.deltas, from)
	a.current.Store(&next)
	for _, f := range a.subscribers {
		f(doc.tables)
	}
	return true
}

// extend returns the deltas to keep after one more; without it the chain is
// broken and starts anew. It copies, because readers hold the old list.
func extend(deltas []delta, d *delta) []delta {
	if d == nil || len(d.data) > maxDeltaBytes {
		return nil
	}
	if len(deltas) == maxDeltas {
		deltas = deltas[1:]
	}
	return append(slices.Clip(slices.Clone(deltas)), *d)
}

// confirm notes that the active revision was current at a time.
func (a *active) confirm(at time.Time, byStore bool) {
	next := *a.load()
	if next.contradicted && !byStore {
		return
	}
	next.contradicted = false
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
	next.confirmedAt, next.storeConfirmedAt, next.contradicted = time.Time{}, time.Time{}, true
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
