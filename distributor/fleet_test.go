package distributor

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/editor"
	"github.com/egretflow/egretflow/internal/fakestore"
)

// oneWay is the latency between failure domains of one region (1.4).
const oneWay = time.Millisecond

// linkState says what becomes of messages to an instance.
type linkState string

const (
	linkUp linkState = ""
	// linkRefused answers at once that nobody listens.
	linkRefused linkState = "Refused"
	// linkSilent never answers.
	linkSilent linkState = "Silent"
)

// fleet is a set of distributors with one store and a network between them.
type fleet struct {
	t       *testing.T
	store   *fakestore.Store
	editor  *editor.Editor
	members []egretflow.Member
	timing  Timing

	mu        sync.Mutex
	instances map[egretflow.InstanceName]*instance
	links     map[egretflow.InstanceName]linkState
	pulls     int
	// bytes counts the tables and deltas in answers.
	bytes int
	// activated holds when each instance activated each revision.
	activated map[egretflow.Revision]map[egretflow.InstanceName]time.Time
	events    map[egretflow.EventName]int
}

type instance struct {
	*Distributor
	stop context.CancelFunc
	done chan struct{}
}

func newFleet(t *testing.T, size, domains int, timing Timing) *fleet {
	f := &fleet{
		t: t, store: &fakestore.Store{}, timing: timing,
		instances: map[egretflow.InstanceName]*instance{},
		links:     map[egretflow.InstanceName]linkState{},
		activated: map[egretflow.Revision]map[egretflow.InstanceName]time.Time{},
		events:    map[egretflow.EventName]int{},
	}
	f.store.SetFaults(fakestore.Faults{Latency: 2 * time.Millisecond})
	edits := 0
	f.editor = editor.New(f.store, time.Now, func() string { edits++; return fmt.Sprintf("edit-%d", edits) })
	for n := range size {
		f.members = append(f.members, egretflow.Member{
			Name:          egretflow.InstanceName(fmt.Sprintf("entry-%03d", n)),
			Address:       netip.MustParseAddrPort("127.0.0.1:7000"),
			FailureDomain: egretflow.FailureDomain(fmt.Sprintf("domain-%d", n%domains)),
			Region:        egretflow.Region(fmt.Sprintf("region-%d", n%domains/4)),
			State:         egretflow.MemberStateLive,
		})
	}
	return f
}

// start starts an instance without tables and tells it the members.
func (f *fleet) start(m egretflow.Member, seed uint64) *instance {
	ctx, stop := context.WithCancel(f.t.Context())
	d := New(Config{
		Self: m, Store: f.store, Peers: &link{fleet: f}, Clock: time.Now,
		Rand:     rand.New(rand.NewPCG(seed, uint64(len(m.Name))+hashName(m.Name))),
		Recorder: f, Checker: f, Timing: f.timing,
	})
	i := &instance{Distributor: d, stop: stop, done: make(chan struct{})}
	var last egretflow.Revision
	d.Subscribe(func(tables *egretflow.Tables) {
		if tables.Revision <= last {
			f.t.Errorf("%s: revision %d after %d", m.Name, tables.Revision, last)
		}
		last = tables.Revision
		f.noteActivated(m.Name, last)
	})
	f.mu.Lock()
	f.instances[m.Name] = i
	f.mu.Unlock()
	d.SetMembers(f.members)
	go func() {
		defer close(i.done)
		_ = d.Run(ctx)
	}()
	return i
}

func hashName(name egretflow.InstanceName) uint64 {
	return rank(egretflow.Member{Name: name})
}

func (f *fleet) startAll(seed uint64) {
	for _, m := range f.members {
		f.start(m, seed)
	}
}

func (f *fleet) restart(m egretflow.Member, seed uint64) *instance {
	old := f.instance(m)
	old.stop()
	<-old.done
	return f.start(m, seed)
}

func (f *fleet) stopAll() {
	for _, i := range f.instances {
		i.stop()
	}
	for _, i := range f.instances {
		<-i.done
	}
}

func (f *fleet) instance(m egretflow.Member) *instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instances[m.Name]
}

func (f *fleet) setLink(m egretflow.Member, s linkState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.links[m.Name] = s
}

func (f *fleet) noteActivated(name egretflow.InstanceName, r egretflow.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.activated[r] == nil {
		f.activated[r] = map[egretflow.InstanceName]time.Time{}
	}
	if _, ok := f.activated[r][name]; !ok {
		f.activated[r][name] = time.Now()
	}
}

// edit changes the tables and returns the new revision.
func (f *fleet) edit(slots int) egretflow.Revision {
	f.t.Helper()
	result, err := f.editor.Edit(f.t.Context(), editor.Request{
		Who: "amina", Reason: "test",
		Steps: []editor.Step{{Operation: editor.OperationSet, Value: tablesWithSlots(slots)}},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	return result.Revision
}

// tablesWithSlots returns tables that are larger than a few deltas.
func tablesWithSlots(slots int) json.RawMessage {
	pool := egretflow.Pool{Name: "order-desk", Kind: egretflow.PoolKindService}
	for n := range 40 {
		pool.Servers = append(pool.Servers, egretflow.Server{
			Name: egretflow.ServerName(fmt.Sprintf("o%d", n)), Address: netip.MustParseAddrPort("127.0.0.1:9003"),
			FailureDomain: "domain-0", Role: egretflow.RoleService, Slots: 1,
		})
	}
	pool.Servers[0].Slots = slots
	data, _ := json.Marshal(egretflow.Tables{Pools: []egretflow.Pool{pool}})
	return data
}

// awaitRevision waits until all instances have a revision and returns how long
// that took.
func (f *fleet) awaitRevision(r egretflow.Revision, limit time.Duration) time.Duration {
	f.t.Helper()
	start := time.Now()
	for {
		missing := 0
		for _, m := range f.members {
			if t := f.instance(m).Current().Tables; t == nil || t.Revision < r {
				missing++
			}
		}
		if missing == 0 {
			return time.Since(start)
		}
		if time.Since(start) > limit {
			f.t.Fatalf("%d of %d instances lack revision %d after %v", missing, len(f.members), r, limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Check implements egretflow.Checker.
func (f *fleet) Check(i egretflow.Invariant, holds bool, _ egretflow.RequestID, detail string) {
	if !holds {
		f.t.Errorf("%s violated: %s", i, detail)
	}
}

// Record implements egretflow.Recorder.
func (f *fleet) Record(e egretflow.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events[e.Name]++
}

// link is the way of one instance to the others.
type link struct {
	fleet *fleet
}

var _ egretflow.Peers = (*link)(nil)

// Pull implements egretflow.Peers.
func (l *link) Pull(ctx context.Context, to egretflow.Member, r *egretflow.PullRequest) (*egretflow.PullResponse, error) {
	l.fleet.mu.Lock()
	l.fleet.pulls++
	target := l.fleet.instances[to.Name]
	toLink, fromLink := l.fleet.links[to.Name], l.fleet.links[r.From]
	l.fleet.mu.Unlock()
	time.Sleep(oneWay)
	if toLink == linkRefused || fromLink == linkRefused || target == nil {
		return nil, egretflow.ErrUnavailable
	}
	if toLink == linkSilent || fromLink == linkSilent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	response, err := target.HandlePull(ctx, r)
	time.Sleep(oneWay)
	if response != nil {
		l.fleet.mu.Lock()
		l.fleet.bytes += len(response.Tables)
		for _, data := range response.Deltas {
			l.fleet.bytes += len(data)
		}
		l.fleet.mu.Unlock()
	}
	return response, err
}

var errNotUsed = errors.New("not used by the distributor")

// Exchange implements egretflow.Peers.
func (l *link) Exchange(context.Context, egretflow.Member, *egretflow.ExchangeRequest) (*egretflow.ExchangeResponse, error) {
	return nil, errNotUsed
}

// CommitClaims implements egretflow.Peers.
func (l *link) CommitClaims(context.Context, egretflow.Member, *egretflow.CommitRequest) (*egretflow.CommitResponse, error) {
	return nil, errNotUsed
}
