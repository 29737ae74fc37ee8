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

// fakeStore is an in-memory key-value store that implements Get and Commit
// only. Each call takes latency.
type fakeStore struct {
	egretflow.Store
	latency time.Duration

	mu       sync.Mutex
	entries  map[string]egretflow.StoreEntry
	revision int64
	outage   bool
	// loseResponse, if set, decides for each write whether its response is lost.
	// The write then takes effect after late.
	loseResponse func() (lost bool, late time.Duration)

	reads, writes, conflicts, writtenBytes int
}

func newFakeStore() *fakeStore {
	return &fakeStore{latency: 2 * time.Millisecond, entries: map[string]egretflow.StoreEntry{}}
}

func (s *fakeStore) setOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
}

// value returns the value of a key and whether the key exists.
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

func (s *fakeStore) Commit(ctx context.Context, txn egretflow.StoreTxn) (egretflow.StoreVersion, error) {
	sleep(ctx, s.latency)
	if ctx.Err() != nil {
		return egretflow.StoreVersion{}, egretflow.ErrUncertain
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.outage {
		return egretflow.StoreVersion{}, egretflow.ErrUnavailable
	}
	if s.loseResponse != nil {
		if lost, late := s.loseResponse(); lost {
			if late == 0 {
				_, _ = s.apply(txn)
			} else {
				time.AfterFunc(late, func() {
					s.mu.Lock()
					defer s.mu.Unlock()
					_, _ = s.apply(txn)
				})
			}
			return egretflow.StoreVersion{}, egretflow.ErrUncertain
		}
	}
	return s.apply(txn)
}

// apply applies a transaction if its conditions hold. The caller holds mu.
func (s *fakeStore) apply(txn egretflow.StoreTxn) (egretflow.StoreVersion, error) {
	for _, c := range txn.Conditions {
		if s.entries[c.Key].Modified != c.Modified {
			s.conflicts++
			return egretflow.StoreVersion{}, egretflow.ErrConflict
		}
	}
	s.revision++
	version := egretflow.StoreVersion{Revision: s.revision}
	for _, w := range txn.Writes {
		if w.Delete {
			delete(s.entries, w.Key)
			continue
		}
		s.entries[w.Key] = egretflow.StoreEntry{Key: w.Key, Value: w.Value, Modified: version}
		s.writtenBytes += len(w.Value)
	}
	return version, nil
}

// violationRecorder collects violated invariants and drops events.
type violationRecorder struct {
	mu         sync.Mutex
	violations []string
}

func (r *violationRecorder) Record(egretflow.Event) {}

func (r *violationRecorder) Check(i egretflow.Invariant, holds bool, _ egretflow.RequestID, detail string) {
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
	// backend is the store that the claimers use; by default store.
	backend egretflow.Store
	checker *violationRecorder
	seed    uint64

	mu       sync.Mutex
	claimers map[egretflow.InstanceName]*Claimer
	stops    map[egretflow.InstanceName]context.CancelFunc
	// losesResponses holds the instances whose responses to peers are lost.
	losesResponses map[egretflow.InstanceName]bool
	// views overrides the members of the fleet for an instance.
	views map[egretflow.InstanceName][]egretflow.InstanceName
}

func newFleet(t *testing.T, instances int) *fleet {
	f := &fleet{
		t: t, store: newFakeStore(), checker: &violationRecorder{}, claimers: map[egretflow.InstanceName]*Claimer{},
		stops: map[egretflow.InstanceName]context.CancelFunc{}, losesResponses: map[egretflow.InstanceName]bool{},
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

// start starts an instance without any state of an earlier one of that name.
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

// kill stops an instance without a drain and starts a new one of that name.
func (f *fleet) kill(name egretflow.InstanceName) {
	f.mu.Lock()
	stop := f.stops[name]
	f.stops[name] = nil
	f.mu.Unlock()
	if stop == nil {
		return // already being restarted
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

// summary returns the violations so far, or an empty string.
func (r *violationRecorder) summary() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(r.violations, "; ")
}

func (f *fleet) claimer(name egretflow.InstanceName) *Claimer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.claimers[name]
}

// members returns the reachable members as the given instance knows them.
func (f *fleet) members(instance egretflow.InstanceName) []egretflow.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var members []egretflow.Member
	if view, ok := f.views[instance]; ok {
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

// fakePeers calls the claimers of the fleet. An instance in losesResponses
// handles a request, but its response is lost.
type fakePeers struct {
	egretflow.PeerClient
	fleet *fleet
}

func (p *fakePeers) CommitClaims(ctx context.Context, to egretflow.Member, r *egretflow.CommitRequest) (*egretflow.CommitResponse, error) {
	sleep(ctx, time.Millisecond)
	p.fleet.mu.Lock()
	target, lost := p.fleet.claimers[to.Name], p.fleet.losesResponses[to.Name]
	p.fleet.mu.Unlock()
	if lost {
		go func() { _, _ = target.HandleCommitClaims(context.Background(), r) }()
		return nil, errors.New("no response")
	}
	return target.HandleCommitClaims(ctx, r)
}
