package claimer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
)

// fakeStore is a key-value store in memory with the calls that claims need. Its
// calls take latency.
type fakeStore struct {
	egretflow.Store
	latency time.Duration

	mu       sync.Mutex
	entries  map[string]egretflow.StoreEntry
	revision int64
	outage   bool
	// lose decides the fate of the answer to a write that takes effect: lost,
	// or lost with an effect that comes late.
	lose func() (lost bool, late time.Duration)

	reads, writes, conflicts, written int
}

func newFakeStore() *fakeStore {
	return &fakeStore{latency: 2 * time.Millisecond, entries: map[string]egretflow.StoreEntry{}}
}

func (s *fakeStore) setOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
}

// value returns what the store holds under a key.
func (s *fakeStore) value(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.entries[key]
	return entry.Value, ok
}

func (s *fakeStore) Get(ctx context.Context, key string) (egretflow.StoreEntry, error) {
	sleep(ctx, s.latency)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.outage || ctx.Err() != nil {
		return egretflow.StoreEntry{}, egretflow.ErrUnavailable
	}
	entry, ok := s.entries[key]
	if !ok {
		return egretflow.StoreEntry{}, egretflow.ErrNotFound
	}
	return entry, nil
}

func (s *fakeStore) Commit(ctx context.Context, txn egretflow.StoreTxn) (int64, error) {
	sleep(ctx, s.latency)
	if ctx.Err() != nil {
		return 0, egretflow.ErrUncertain
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.outage {
		return 0, egretflow.ErrUnavailable
	}
	if s.lose != nil {
		if lost, late := s.lose(); lost {
			if late == 0 {
				_, _ = s.apply(txn)
			} else {
				time.AfterFunc(late, func() {
					s.mu.Lock()
					defer s.mu.Unlock()
					_, _ = s.apply(txn)
				})
			}
			return 0, egretflow.ErrUncertain
		}
	}
	return s.apply(txn)
}

func (s *fakeStore) apply(txn egretflow.StoreTxn) (int64, error) {
	for _, c := range txn.Conditions {
		if s.entries[c.Key].ModRevision != c.ModRevision {
			s.conflicts++
			return 0, egretflow.ErrConflict
		}
	}
	s.revision++
	for _, w := range txn.Writes {
		if w.Delete {
			delete(s.entries, w.Key)
			continue
		}
		s.entries[w.Key] = egretflow.StoreEntry{Key: w.Key, Value: w.Value, ModRevision: s.revision}
		s.written += len(w.Value)
	}
	return s.revision, nil
}

// recorder counts violations and drops events.
type recorder struct {
	mu         sync.Mutex
	violations []string
}

func (r *recorder) Record(egretflow.Event) {}

func (r *recorder) Check(i egretflow.Invariant, holds bool, _ egretflow.RequestID, detail string) {
	if !holds {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.violations = append(r.violations, fmt.Sprintf("%s: %s", i, detail))
	}
}

// fleet is a set of claimers that reach each other by direct calls.
type fleet struct {
	t     *testing.T
	store *fakeStore
	// backend is what the claimers use; by default store.
	backend egretflow.Store
	checker *recorder
	seed    uint64

	mu       sync.Mutex
	claimers map[egretflow.InstanceName]*Claimer
	stops    map[egretflow.InstanceName]context.CancelFunc
	// cut holds the instances that answer no peer.
	cut map[egretflow.InstanceName]bool
	// views overrides the members that an instance sees.
	views map[egretflow.InstanceName][]egretflow.InstanceName
}

func newFleet(t *testing.T, instances int) *fleet {
	f := &fleet{
		t: t, store: newFakeStore(), checker: &recorder{}, claimers: map[egretflow.InstanceName]*Claimer{},
		stops: map[egretflow.InstanceName]context.CancelFunc{}, cut: map[egretflow.InstanceName]bool{},
		views: map[egretflow.InstanceName][]egretflow.InstanceName{},
	}
	f.backend = f.store
	for n := range instances {
		f.start(instanceName(n))
	}
	return f
}

func instanceName(n int) egretflow.InstanceName {
	return egretflow.InstanceName(fmt.Sprintf("entry-%d", n))
}

// start starts an instance, which knows nothing of an earlier one.
func (f *fleet) start(name egretflow.InstanceName) {
	f.mu.Lock()
	f.seed++
	seed := f.seed
	f.mu.Unlock()
	c, err := New(Config{
		Instance: name, Store: f.backend, Peers: &fakePeers{fleet: f}, Clock: time.Now,
		Members: func() []egretflow.Member { return f.members(name) },
		Rand:    rand.New(rand.NewPCG(seed, 1)), Recorder: f.checker, Checker: f.checker,
	})
	if err != nil {
		f.t.Fatalf("new claimer: %v", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	go func() { _ = c.Run(ctx) }()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.claimers[name] = c
	f.stops[name] = func() {
		c.stop()
		stop()
	}
}

// kill ends an instance at once and starts an empty one.
func (f *fleet) kill(name egretflow.InstanceName) {
	f.mu.Lock()
	stop := f.stops[name]
	f.stops[name] = nil
	f.mu.Unlock()
	if stop == nil {
		return // it is being restarted
	}
	stop()
	f.start(name)
}

func (f *fleet) stopAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, stop := range f.stops {
		stop()
	}
}

// violated lists the violations of invariants so far.
func (r *recorder) violated() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(r.violations, "; ")
}

func (f *fleet) claimer(name egretflow.InstanceName) *Claimer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.claimers[name]
}

func (f *fleet) members(viewer egretflow.InstanceName) []egretflow.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var members []egretflow.Member
	if view, ok := f.views[viewer]; ok {
		for _, name := range view {
			members = append(members, egretflow.Member{Name: name})
		}
		return members
	}
	for name := range f.claimers {
		members = append(members, egretflow.Member{Name: name})
	}
	return members
}

// fakePeers calls the claimers of the fleet. An instance that is cut gets the
// request and its answer is lost.
type fakePeers struct {
	egretflow.Peers
	fleet *fleet
}

func (p *fakePeers) CommitClaims(ctx context.Context, to egretflow.Member, r *egretflow.CommitRequest) (*egretflow.CommitResponse, error) {
	sleep(ctx, time.Millisecond)
	p.fleet.mu.Lock()
	target, cut := p.fleet.claimers[to.Name], p.fleet.cut[to.Name]
	p.fleet.mu.Unlock()
	if cut {
		go func() { _, _ = target.HandleCommitClaims(context.Background(), r) }()
		return nil, errors.New("no answer")
	}
	return target.HandleCommitClaims(ctx, r)
}
