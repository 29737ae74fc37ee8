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

// oneWayLatency is the network latency between failure domains of one region
// (1.4).
const oneWayLatency = time.Millisecond

// linkState is the state of the network link of an instance, in both directions.
type linkState string

const (
	linkUp linkState = ""
	// linkRefused fails calls with ErrUnavailable.
	linkRefused linkState = "Refused"
	// linkSilent gives calls no response until their context ends.
	linkSilent linkState = "Silent"
)

// fleet is a set of distributors that share a store and a simulated network.
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
	// bytes is the total size of the tables and deltas in pull responses.
	bytes int
	// activated holds the time at which each instance first activated each
	// revision.
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

// start starts an instance without tables and passes it the list of members.
func (f *fleet) start(m egretflow.Member, seed uint64) *instance {
	ctx, stop := context.WithCancel(f.t.Context())
	d := New(Config{
		Self: m, Store: f.store, Peers: &network{fleet: f}, Clock: time.Now,
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

// edit writes tablesWithSlots(slots) to the store and returns the new revision.
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

// tablesWithSlots returns encoded tables whose first server has the given slots.
// They are larger than a few deltas, so that pulls are answered with deltas.
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

// awaitRevision waits until all instances have revision r or a higher one and
// returns how long that took. It fails the test after limit.
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

// network delivers the calls of one instance to the others of the fleet, with
// latency and the links' faults.
type network struct {
	fleet *fleet
}

var _ egretflow.PeerClient = (*network)(nil)

// Pull implements egretflow.PeerClient.
func (n *network) Pull(ctx context.Context, to egretflow.Member, r *egretflow.PullRequest) (*egretflow.PullResponse, error) {
	n.fleet.mu.Lock()
	n.fleet.pulls++
	target := n.fleet.instances[to.Name]
	toLink, fromLink := n.fleet.links[to.Name], n.fleet.links[r.From]
	n.fleet.mu.Unlock()
	time.Sleep(oneWayLatency)
	if toLink == linkRefused || fromLink == linkRefused || target == nil {
		return nil, egretflow.ErrUnavailable
	}
	if toLink == linkSilent || fromLink == linkSilent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	response, err := target.HandlePull(ctx, r)
	time.Sleep(oneWayLatency)
	if response != nil {
		n.fleet.mu.Lock()
		n.fleet.bytes += len(response.Tables)
		for _, data := range response.Deltas {
			n.fleet.bytes += len(data)
		}
		n.fleet.mu.Unlock()
	}
	return response, err
}

var errNotUsed = errors.New("not used by the distributor")

// Exchange implements egretflow.PeerClient.
func (n *network) Exchange(context.Context, egretflow.Member, *egretflow.ExchangeRequest) (*egretflow.ExchangeResponse, error) {
	return nil, errNotUsed
}

// CommitClaims implements egretflow.PeerClient.
func (n *network) CommitClaims(context.Context, egretflow.Member, *egretflow.CommitRequest) (*egretflow.CommitResponse, error) {
	return nil, errNotUsed
}
