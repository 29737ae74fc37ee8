package claimer

import (
	"container/list"
	"sync"
	"time"

	"github.com/egretflow/egretflow"
)

// index remembers the newest record of recently used keys, so that a retry
// rarely reads the store. Records in the states Done and Unknown never change;
// a record in the state Claimed is believed for claimedFreshness, which can
// only delay the answer of a retry.
type index struct {
	mu      sync.Mutex
	entries map[string]*list.Element
	// recent is ordered by use, newest first.
	recent *list.List
}

type indexEntry struct {
	claim   egretflow.Claim
	addedAt time.Time
}

func newIndex() *index {
	return &index{entries: map[string]*list.Element{}, recent: list.New()}
}

// get returns the record of a key if it still answers a retry at now.
func (x *index) get(keyHash string, now time.Time) (egretflow.Claim, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	e, ok := x.entries[keyHash]
	if !ok {
		return egretflow.Claim{}, false
	}
	entry := e.Value.(indexEntry)
	stale := entry.claim.State == egretflow.ClaimStateClaimed && now.After(entry.addedAt.Add(claimedFreshness))
	if stale || now.After(entry.claim.ExpiresAt) {
		x.removeLocked(e)
		return egretflow.Claim{}, false
	}
	x.recent.MoveToFront(e)
	return entry.claim, true
}

// put replaces the record of a key. A NotRun record is not kept, because
// another instance can claim the key at any time.
func (x *index) put(c egretflow.Claim, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if e, ok := x.entries[c.KeyHash]; ok {
		x.removeLocked(e)
	}
	if c.State == egretflow.ClaimStateNotRun {
		return
	}
	x.entries[c.KeyHash] = x.recent.PushFront(indexEntry{claim: c, addedAt: now})
	if x.recent.Len() > indexEntries {
		x.removeLocked(x.recent.Back())
	}
}

func (x *index) removeLocked(e *list.Element) {
	x.recent.Remove(e)
	delete(x.entries, e.Value.(indexEntry).claim.KeyHash)
}
