// Package store is a stand-in for the platform's key-value store. It speaks the
// part of the etcd v3 HTTP/JSON gateway that docs/engine-protocol.md lists, and
// keeps everything in memory.
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
//  1. Every call is counted, a watch once when it starts. Calls take Latency
//     and wait in line for WritesPerSecond or ReadsPerSecond. A call that would
//     wait longer than a second gets 429 and has no effect.
//  2. Outage aborts all calls before they have an effect and ends all watches.
//     Stall and Slow delay calls and the events of watches. A call that was
//     received takes effect also when its caller has gone meanwhile.
//  3. LostAnswer aborts the connection of a txn, grant or revoke after it took
//     effect.
//  4. A lease ends TTL after its grant or last keepalive, and its keys are
//     deleted. Faults do not stop the expiry.
//  5. The newest keptEvents events can be watched from the past; an older start
//     revision is answered as compacted.
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
	keptEvents  = 10_000
	longestWait = time.Second
)

// Call names a call for the counts.
type Call string

// The calls.
const (
	CallRange          Call = "Range"
	CallTxn            Call = "Txn"
	CallWatch          Call = "Watch"
	CallLeaseGrant     Call = "LeaseGrant"
	CallLeaseKeepalive Call = "LeaseKeepalive"
	CallLeaseRevoke    Call = "LeaseRevoke"
)

// Config describes a store.
type Config struct {
	// Latency is the duration of each call.
	Latency time.Duration
	// WritesPerSecond and ReadsPerSecond limit the calls; 0 for no limit.
	WritesPerSecond int
	ReadsPerSecond  int
	Clock           egretflow.Clock
}

// Stats are counts for checks.
type Stats struct {
	// Calls counts the calls that were received, by kind.
	Calls map[Call]int
	// Total is the sum of Calls.
	Total     int
	Throttled int
	Revision  int64
	Keys      int
	Leases    int
	Watches   int
}

// Store is a stand-in key-value store. It is an http.Handler and safe for
// concurrent use.
type Store struct {
	// Faults are the faults that are set on the store.
	Faults *fault.Set

	cfg     Config
	handler http.Handler

	mu        sync.Mutex
	revision  int64
	keys      map[string]keyValue
	leases    map[int64]*lease
	nextLease int64
	timer     *time.Timer
	// events holds the newest events; those up to compacted are gone.
	events    []event
	compacted int64
	// changed is closed and replaced with every event.
	changed chan struct{}
	// broken is closed and replaced when an outage ends all watches.
	broken  chan struct{}
	watches int
	lines   map[bool]time.Time
	calls   map[Call]int
	refused int
}

type lease struct {
	id        int64
	ttl       time.Duration
	expiresAt time.Time
}

// event is one change of a key.
type event struct {
	revision int64
	deleted  bool
	kv       keyValue
}

// New returns an empty store.
func New(cfg Config) *Store {
	if cfg.Clock == nil {
		cfg.Clock = egretflow.SystemClock
	}
	s := &Store{
		cfg: cfg, Faults: fault.NewSet(cfg.Clock), revision: 1, keys: map[string]keyValue{},
		leases: map[int64]*lease{}, nextLease: 1000, changed: make(chan struct{}),
		broken: make(chan struct{}), lines: map[bool]time.Time{}, calls: map[Call]int{},
	}
	s.Faults.OnChange(func(f fault.Fault) {
		if f.Kind == fault.Outage {
			s.breakWatches()
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
		Calls: maps.Clone(s.calls), Throttled: s.refused, Revision: s.revision,
		Keys: len(s.keys), Leases: len(s.leases), Watches: s.watches,
	}
	for _, n := range s.calls {
		stats.Total += n
	}
	return stats
}

func (s *Store) breakWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.broken)
	s.broken = make(chan struct{})
}

// put and remove change one key at the given revision.
func (s *Store) put(key, value []byte, leaseID, revision int64) {
	kv := s.keys[string(key)]
	if kv.Version == 0 {
		kv = keyValue{Key: key, CreateRevision: number(revision)}
	}
	kv.Value, kv.Lease = value, number(leaseID)
	kv.ModRevision = number(revision)
	kv.Version++
	s.keys[string(key)] = kv
	s.record(event{revision: revision, kv: kv})
}

func (s *Store) remove(key string, revision int64) {
	delete(s.keys, key)
	s.record(event{revision: revision, deleted: true, kv: keyValue{Key: []byte(key), ModRevision: number(revision)}})
}

func (s *Store) record(ev event) {
	s.events = append(s.events, ev)
	if len(s.events) > 2*keptEvents {
		dropped := len(s.events) - keptEvents
		s.compacted = s.events[dropped-1].revision
		s.events = slices.Clone(s.events[dropped:])
	}
}

// commit makes the writes of a revision visible to watches.
func (s *Store) commit(revision int64) {
	s.revision = revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// inRange returns the keys of a range, sorted.
func (s *Store) inRange(key, end []byte) []string {
	if len(end) == 0 {
		if _, ok := s.keys[string(key)]; ok {
			return []string{string(key)}
		}
		return nil
	}
	var found []string
	for k := range s.keys {
		if contains(key, end, k) {
			found = append(found, k)
		}
	}
	slices.Sort(found)
	return found
}

// contains reports whether k is in the range from key to end; an end of a zero
// byte stands for all keys from key on.
func contains(key, end []byte, k string) bool {
	if len(end) == 0 {
		return k == string(key)
	}
	return k >= string(key) && (string(end) == "\x00" || k < string(end))
}

// expireLeases ends the leases that are due and arms the timer for the next.
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

// sortedLeases returns the leases, next to expire first.
func (s *Store) sortedLeases() []*lease {
	return slices.SortedFunc(maps.Values(s.leases), func(a, b *lease) int {
		return cmp.Or(a.expiresAt.Compare(b.expiresAt), cmp.Compare(a.id, b.id))
	})
}

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
