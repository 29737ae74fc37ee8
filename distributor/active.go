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

// document is one revision of the tables with its encoding.
type document struct {
	tables *egretflow.Tables
	// data is the document as stored, or its JSON text if it was made by applying
	// a delta.
	data []byte
	// stored returns data in its stored form. It compresses on the first call,
	// because most revisions are sent to peers only as deltas.
	stored func() ([]byte, error)
}

func newDocument(tables *egretflow.Tables, data []byte) document {
	return document{tables, data, sync.OnceValues(func() ([]byte, error) { return editor.EncodeDocument(data) })}
}

// delta is the audit entry of the edit that made a revision.
type delta struct {
	revision egretflow.Revision
	// data is the entry as stored.
	data []byte
}

// Limits of the deltas kept for peers. A peer that needs a delta that is not kept
// pulls the whole document.
const (
	maxDeltas = 64
	// maxDeltaBytes limits a single delta; a larger one is not kept.
	maxDeltaBytes = 64 << 10
)

// snapshot is the active revision with the times at which it was last known to
// be current. These times are kept when a higher revision is activated: it
// replaces a revision that was current at that time, so it is at least as new.
type snapshot struct {
	document
	// deltas are those of consecutive revisions, the last one being the active
	// revision.
	deltas      []delta
	activatedAt time.Time
	// confirmedAt is the last time at which the store held the active revision
	// according to a read by this instance or by a peer; zero if none.
	confirmedAt time.Time
	// storeConfirmedAt is the same for reads by this instance only.
	storeConfirmedAt time.Time
	// contradicted is true if this instance's last read of the store showed
	// another revision or edit id. Confirmations by peers, which may not have
	// noticed yet, are then ignored.
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

// deltasAbove returns the deltas of the revisions after r up to the active one, or
// nil if one is missing or they are not smaller than the document.
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

// active holds the current snapshot. Any goroutine may load it; only the task
// replaces it.
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

// activate makes doc the active revision and calls the subscribers. from is the
// delta that made doc from the active revision, or nil if doc was read whole.
// activate checks invariant I8 itself: it reports a violation and returns false
// if doc is not higher than the active revision.
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
	next.deltas = appendDelta(next.deltas, from)
	a.current.Store(&next)
	for _, f := range a.subscribers {
		f(doc.tables)
	}
	return true
}

// appendDelta returns the deltas to keep after the activation of d's revision. It
// returns none if d is nil or too large, because kept deltas must be consecutive.
// It copies the list, because readers of older snapshots share it.
func appendDelta(deltas []delta, d *delta) []delta {
	if d == nil || len(d.data) > maxDeltaBytes {
		return nil
	}
	if len(deltas) == maxDeltas {
		deltas = deltas[1:]
	}
	return append(slices.Clip(slices.Clone(deltas)), *d)
}

// confirm records that the active revision was current at the given time. byStore
// is true for a read of the store by this instance, false for a peer's response.
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

// contradict records that the store holds another revision or edit id than the
// active one, and discards earlier confirmations.
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
