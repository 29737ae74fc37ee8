package claimer

import (
	"container/list"
	"sync"
	"time"

	"github.com/egretflow/egretflow"
)

// recordCache is an LRU cache of the last known records by key hash, so that a
// retry rarely reads the store. Records in the states Done and Unknown never
// change. A record in the state Claimed is used for claimedMaxAge; if it is
// outdated, a retry only gets its outcome later.
type recordCache struct {
	mu      sync.Mutex
	entries map[string]*list.Element
	// recent holds cacheEntry values, most recently used first.
	recent *list.List
}

type cacheEntry struct {
	claim   egretflow.Claim
	addedAt time.Time
}

func newRecordCache() *recordCache {
	return &recordCache{entries: map[string]*list.Element{}, recent: list.New()}
}

// get returns the cached record of a key. It removes and does not return a
// record that has expired, or is Claimed and older than claimedMaxAge.
func (x *recordCache) get(keyHash string, now time.Time) (egretflow.Claim, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	e, ok := x.entries[keyHash]
	if !ok {
		return egretflow.Claim{}, false
	}
	entry := e.Value.(cacheEntry)
	stale := entry.claim.State == egretflow.ClaimStateClaimed && now.After(entry.addedAt.Add(claimedMaxAge))
	if stale || now.After(entry.claim.ExpiresAt) {
		x.removeLocked(e)
		return egretflow.Claim{}, false
	}
	x.recent.MoveToFront(e)
	return entry.claim, true
}

// put replaces the record of a key. A NotRun record is not cached, because
// another instance can claim the key at any time.
func (x *recordCache) put(c egretflow.Claim, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if e, ok := x.entries[c.KeyHash]; ok {
		x.removeLocked(e)
	}
	if c.State == egretflow.ClaimStateNotRun {
		return
	}
	x.entries[c.KeyHash] = x.recent.PushFront(cacheEntry{claim: c, addedAt: now})
	if x.recent.Len() > maxCachedRecords {
		x.removeLocked(x.recent.Back())
	}
}

// removeLocked removes an entry. The caller holds mu.
func (x *recordCache) removeLocked(e *list.Element) {
	x.recent.Remove(e)
	delete(x.entries, e.Value.(cacheEntry).claim.KeyHash)
}
