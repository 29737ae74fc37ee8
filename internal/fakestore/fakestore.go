// Package fakestore implements an in-memory egretflow.Store for unit tests that
// run in virtual time. A test sets the faults in its own process and so decides
// which call fails. The protocol itself is tested against internal/stub/store.
package fakestore

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/pkg/errors"
)

// Faults says which calls of a Store fail and how.
type Faults struct {
	// Outage makes every call fail without effect and ends watches.
	Outage bool
	// LostResponses is the number of next commits whose response is lost after they
	// took effect.
	LostResponses int
	// DelayedWrites is the number of next commits whose response is lost and that
	// take effect only DelayedBy later, if their conditions still hold.
	DelayedWrites int
	DelayedBy     time.Duration
	// SilentWatches keeps watches open without delivering events.
	SilentWatches bool
	// Latency is the duration of each call.
	Latency time.Duration
}

// Store is an in-memory store. The zero value is an empty store without faults.
type Store struct {
	mu       sync.Mutex
	faults   Faults
	revision int64
	// oldestRevision is the lowest revision that the history still holds.
	oldestRevision int64
	entries        map[string]egretflow.StoreEntry
	history        []egretflow.StoreEntry
	changed        chan struct{}
	calls          map[string]int
	leases         map[egretflow.LeaseID]*lease
	// lastLease is the ID of the lease that was granted last.
	lastLease egretflow.LeaseID
}

var _ egretflow.Store = (*Store)(nil)

// ErrCompacted is returned by a watch from a revision whose history was dropped.
var ErrCompacted = errors.New("compacted")

// SetFaults replaces the current faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Compact drops the history. Watches that have not delivered the last revision end
// with ErrCompacted, as a real store ends slow watches.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldestRevision = s.revision + 1
	s.history = nil
	s.wake()
}

// Calls returns the number of calls so far by method name.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// version returns the version of the store. The caller holds mu.
func (s *Store) version() egretflow.StoreVersion { return egretflow.StoreVersion{Revision: s.revision} }

// wake makes all watches check for changes. The caller holds mu.
func (s *Store) wake() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// begin counts the call, waits for the latency and returns the error of an outage.
func (s *Store) begin(ctx context.Context, method string) error {
	s.mu.Lock()
	if s.calls == nil {
		s.calls = map[string]int{}
	}
	s.calls[method]++
	f := s.faults
	s.mu.Unlock()
	select {
	case <-time.After(f.Latency):
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", egretflow.ErrUnavailable, ctx.Err())
	}
	if f.Outage {
		return egretflow.ErrUnavailable
	}
	return nil
}

// Get implements egretflow.Store.
func (s *Store) Get(ctx context.Context, key string) (egretflow.StoreEntry, error) {
	if err := s.begin(ctx, "Get"); err != nil {
		return egretflow.StoreEntry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	e, ok := s.entries[key]
	if !ok {
		return e, egretflow.ErrNotFound
	}
	return e, nil
}

// List implements egretflow.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]egretflow.StoreEntry, error) {
	if err := s.begin(ctx, "List"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var list []egretflow.StoreEntry
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		if strings.HasPrefix(key, prefix) {
			list = append(list, s.entries[key])
		}
	}
	return list, nil
}

// Commit implements egretflow.Store.
func (s *Store) Commit(ctx context.Context, txn egretflow.StoreTxn) (egretflow.StoreVersion, error) {
	if err := s.begin(ctx, "Commit"); err != nil {
		return egretflow.StoreVersion{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DelayedWrites > 0 {
		s.faults.DelayedWrites--
		time.AfterFunc(s.faults.DelayedBy, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			_, _ = s.apply(txn)
		})
		return egretflow.StoreVersion{}, egretflow.ErrUncertain
	}
	version, err := s.apply(txn)
	if err == nil && s.faults.LostResponses > 0 {
		s.faults.LostResponses--
		return egretflow.StoreVersion{}, egretflow.ErrUncertain
	}
	return version, err
}

// apply executes a transaction. The caller holds mu.
func (s *Store) apply(txn egretflow.StoreTxn) (egretflow.StoreVersion, error) {
	s.expire()
	for _, w := range txn.Writes {
		if !w.Lease.IsZero() && s.leases[w.Lease] == nil {
			return egretflow.StoreVersion{}, egretflow.ErrNotFound
		}
	}
	for _, c := range txn.Conditions {
		if s.entries[c.Key].Modified != c.Modified {
			return egretflow.StoreVersion{}, egretflow.ErrConflict
		}
	}
	if s.entries == nil {
		s.entries = map[string]egretflow.StoreEntry{}
	}
	s.revision++
	for _, w := range txn.Writes {
		old, exists := s.entries[w.Key]
		e := egretflow.StoreEntry{Key: w.Key, Modified: s.version(), Created: s.version()}
		if exists {
			e.Created = old.Created
		}
		if w.Delete {
			if !exists {
				continue
			}
			delete(s.entries, w.Key)
		} else {
			e.Value = slices.Clone(w.Value)
			s.entries[w.Key] = e
			if l := s.leases[w.Lease]; l != nil {
				l.keys = append(l.keys, w.Key)
			}
		}
		s.history = append(s.history, e)
	}
	s.wake()
	return s.version(), nil
}

// Watch implements egretflow.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after egretflow.StoreVersion, events chan<- egretflow.StoreEntry) error {
	if err := s.begin(ctx, "Watch"); err != nil {
		return err
	}
	for {
		s.mu.Lock()
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed, f, oldestRevision := s.changed, s.faults, s.oldestRevision
		history := s.history
		s.mu.Unlock()
		if f.Outage {
			return egretflow.ErrUnavailable
		}
		if after.Revision+1 < oldestRevision {
			return ErrCompacted
		}
		sent := after
		for _, e := range history {
			if f.SilentWatches || !e.Modified.After(after) || !strings.HasPrefix(e.Key, prefix) {
				continue
			}
			select {
			case events <- e:
				sent = e.Modified
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		after = sent
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// lease is a granted lease and the keys that are deleted when it ends.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
	keys      []string
}

// expire ends the leases that have expired. The caller holds mu.
func (s *Store) expire() {
	for id, l := range s.leases {
		if !time.Now().Before(l.expiresAt) {
			s.endLease(id, l)
		}
	}
}

// endLease removes a lease and deletes its keys. The caller holds mu.
func (s *Store) endLease(id egretflow.LeaseID, l *lease) {
	delete(s.leases, id)
	for _, key := range l.keys {
		s.revision++
		delete(s.entries, key)
		s.history = append(s.history, egretflow.StoreEntry{Key: key, Modified: s.version()})
	}
	s.wake()
}

// GrantLease implements egretflow.Store.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (egretflow.Lease, error) {
	if err := s.begin(ctx, "GrantLease"); err != nil {
		return egretflow.Lease{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases == nil {
		s.leases = map[egretflow.LeaseID]*lease{}
	}
	s.lastLease.Number++
	l := &lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	s.leases[s.lastLease] = l
	return egretflow.Lease{ID: s.lastLease, ExpiresAt: l.expiresAt}, nil
}

// KeepLease implements egretflow.Store.
func (s *Store) KeepLease(ctx context.Context, id egretflow.LeaseID) (egretflow.Lease, error) {
	if err := s.begin(ctx, "KeepLease"); err != nil {
		return egretflow.Lease{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, ok := s.leases[id]
	if !ok {
		return egretflow.Lease{}, egretflow.ErrNotFound
	}
	l.expiresAt = time.Now().Add(l.ttl)
	return egretflow.Lease{ID: id, ExpiresAt: l.expiresAt}, nil
}

// RevokeLease implements egretflow.Store.
func (s *Store) RevokeLease(ctx context.Context, id egretflow.LeaseID) error {
	if err := s.begin(ctx, "RevokeLease"); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if l, ok := s.leases[id]; ok {
		s.endLease(id, l)
	}
	return nil
}
