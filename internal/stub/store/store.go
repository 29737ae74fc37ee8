// Package store is a stub of the platform's key-value store. It implements the
// part of the etcd v3 HTTP/JSON gateway that docs/engine-protocol.md lists, and
// holds all data in memory.
//
// # Usage
//
//	st := store.New(store.Config{Latency: 2 * time.Millisecond})
//	srv := &http.Server{Handler: st, ConnContext: st.Faults.ConnContext}
//	...
//	calls := st.Stats().Calls[store.CallTxn]
//
// # Rules
//
//  1. Every call is counted; a watch is counted once, when it starts. A call
//     takes Latency and, before that, waits in a queue if WritesPerSecond or
//     ReadsPerSecond is exceeded. A call that would wait in the queue for more
//     than a second gets 429 and has no effect.
//  2. Outage aborts all calls before they take effect and ends all watches.
//     Stall and Slow delay calls and watch events. A call that was received
//     takes effect even if its caller disconnects.
//  3. LostAnswer aborts the connection of a txn, grant or revoke after the call
//     took effect.
//  4. A lease expires TTL after its grant or last keepalive, and its keys are
//     deleted. Faults do not delay the expiry.
//  5. A watch can start at a past revision as long as its events are retained,
//     which holds for at least the newest retainedEvents events. A watch with an
//     older start revision is canceled with the compact revision.
package store

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/stub/fault"
)

const (
	// retainedEvents is the minimum number of newest events that are retained.
	// Older ones are dropped when more than twice as many are stored.
	retainedEvents = 10_000
	// maxQueueWait is the longest wait for the rate limit; a call that would
	// wait longer is rejected.
	maxQueueWait = time.Second
)

// Call is the kind of a call, used as the key of Stats.Calls.
type Call string

// The kinds of calls.
const (
	CallRange          Call = "Range"
	CallTxn            Call = "Txn"
	CallWatch          Call = "Watch"
	CallLeaseGrant     Call = "LeaseGrant"
	CallLeaseKeepalive Call = "LeaseKeepalive"
	CallLeaseRevoke    Call = "LeaseRevoke"
)

// Config holds the settings of a Store.
type Config struct {
	// Latency is the duration of each call, without the time in the queue.
	Latency time.Duration
	// WritesPerSecond and ReadsPerSecond limit the rate of calls; 0 for no
	// limit. Range and Watch count as reads, all other calls as writes.
	WritesPerSecond int
	ReadsPerSecond  int
	Clock           egretflow.Clock
}

// Stats holds counts for the checks of tests.
type Stats struct {
	// Calls counts the calls that were received, by kind.
	Calls map[Call]int
	// Total is the sum of Calls.
	Total int
	// Throttled counts the calls that were rejected with 429.
	Throttled int
	Revision  int64
	Keys      int
	Leases    int
	Watches   int
}

// Store is a stub of a key-value store. It is an http.Handler and safe for
// concurrent use.
type Store struct {
	// Faults holds the faults that are active on the store.
	Faults *fault.Set

	cfg     Config
	handler http.Handler

	mu        sync.Mutex
	revision  int64
	keys      map[string]keyValue
	leases    map[int64]*lease
	nextLease int64
	timer     *time.Timer
	// events holds the newest events. Those up to the revision compacted have
	// been dropped.
	events    []event
	compacted int64
	// changed is closed and replaced by a new channel on each commit.
	changed chan struct{}
	// watchesAborted is closed and replaced by a new channel when an Outage
	// fault ends all watches.
	watchesAborted chan struct{}
	watches        int
	// nextTurn is when the next call fits the rate limit, with key true for
	// writes and false for reads.
	nextTurn  map[bool]time.Time
	calls     map[Call]int
	throttled int
}

type lease struct {
	id        int64
	ttl       time.Duration
	expiresAt time.Time
}

// event is one change of a key, as watches report it.
type event struct {
	revision int64
	deleted  bool
	kv       keyValue
}

// New returns an empty store. A nil Clock selects egretflow.SystemClock.
func New(cfg Config) *Store {
	if cfg.Clock == nil {
		cfg.Clock = egretflow.SystemClock
	}
	s := &Store{
		cfg: cfg, Faults: fault.NewSet(cfg.Clock), revision: 1, keys: map[string]keyValue{},
		leases: map[int64]*lease{}, nextLease: 1000, changed: make(chan struct{}),
		watchesAborted: make(chan struct{}), nextTurn: map[bool]time.Time{}, calls: map[Call]int{},
	}
	s.Faults.OnChange(func(f fault.Fault) {
		if f.Kind == fault.Outage {
			s.abortWatches()
		}
	})
	s.handler = s.Faults.Handler(s.routes())
	return s
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Stats returns the current counts.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := Stats{
		Calls: maps.Clone(s.calls), Throttled: s.throttled, Revision: s.revision,
		Keys: len(s.keys), Leases: len(s.leases), Watches: s.watches,
	}
	for _, n := range s.calls {
		stats.Total += n
	}
	return stats
}

func (s *Store) abortWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.watchesAborted)
	s.watchesAborted = make(chan struct{})
}

// put sets one key at the given revision and records the event.
func (s *Store) put(key, value []byte, leaseID, revision int64) {
	kv := s.keys[string(key)]
	if kv.Version == 0 {
		kv = keyValue{Key: key, CreateRevision: number(revision)}
	}
	kv.Value, kv.Lease = value, number(leaseID)
	kv.ModRevision = number(revision)
	kv.Version++
	s.keys[string(key)] = kv
	s.recordEvent(event{revision: revision, kv: kv})
}

// remove deletes one key at the given revision and records the event.
func (s *Store) remove(key string, revision int64) {
	delete(s.keys, key)
	s.recordEvent(event{revision: revision, deleted: true, kv: keyValue{Key: []byte(key), ModRevision: number(revision)}})
}

// recordEvent appends an event and drops the oldest ones if too many are stored.
func (s *Store) recordEvent(ev event) {
	s.events = append(s.events, ev)
	if len(s.events) > 2*retainedEvents {
		dropped := len(s.events) - retainedEvents
		s.compacted = s.events[dropped-1].revision
		s.events = slices.Clone(s.events[dropped:])
	}
}

// commit sets the current revision and wakes all watches to send its events.
func (s *Store) commit(revision int64) {
	s.revision = revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// keysInRange returns the stored keys of a range in ascending order. An empty end
// selects the single key.
func (s *Store) keysInRange(key, end []byte) []string {
	if len(end) == 0 {
		if _, ok := s.keys[string(key)]; ok {
			return []string{string(key)}
		}
		return nil
	}
	var found []string
	for k := range s.keys {
		if rangeContains(key, end, k) {
			found = append(found, k)
		}
	}
	slices.Sort(found)
	return found
}

// rangeContains reports whether k is in the range from key to end, end excluded.
// An empty end selects the single key; an end of one zero byte selects all keys
// from key on.
func rangeContains(key, end []byte, k string) bool {
	if len(end) == 0 {
		return k == string(key)
	}
	return k >= string(key) && (string(end) == "\x00" || k < string(end))
}

// expireLeases ends the leases that have expired and sets the timer for the next
// expiry.
func (s *Store) expireLeases() {
	now := s.cfg.Clock()
	for _, l := range s.sortedLeases() {
		if now.Before(l.expiresAt) {
			break
		}
		s.endLease(l)
	}
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	if left := s.sortedLeases(); len(left) > 0 {
		s.timer = time.AfterFunc(left[0].expiresAt.Sub(now), func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.expireLeases()
		})
	}
}

// sortedLeases returns the leases by time of expiry, earliest first.
func (s *Store) sortedLeases() []*lease {
	return slices.SortedFunc(maps.Values(s.leases), func(a, b *lease) int {
		return cmp.Or(a.expiresAt.Compare(b.expiresAt), cmp.Compare(a.id, b.id))
	})
}

// endLease removes an expired or revoked lease and deletes its keys.
func (s *Store) endLease(l *lease) {
	delete(s.leases, l.id)
	revision := s.revision + 1
	removed := false
	for _, key := range slices.Sorted(maps.Keys(s.keys)) {
		if int64(s.keys[key].Lease) == l.id {
			s.remove(key, revision)
			removed = true
		}
	}
	if removed {
		s.commit(revision)
	}
}
