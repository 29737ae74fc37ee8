package registrar_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/gossiper"
	"github.com/egretflow/egretflow/internal/fakestore"
	"github.com/egretflow/egretflow/internal/packetnet"
	"github.com/egretflow/egretflow/internal/pipenet"
	"github.com/egretflow/egretflow/registrar"
)

const (
	// readTimeout and watchTimeout are how long the platform's client waits for a store
	// that is silent, and watchTime how long a watch without a change lasts.
	readTimeout  = 900 * time.Millisecond
	watchTimeout = 1400 * time.Millisecond
	watchTime    = time.Second
	storeLatency = 4 * time.Millisecond
	// registeredServers is the number of servers at the start.
	registeredServers = 20
	// settleTime is how long a fleet takes to start.
	settleTime = 10 * time.Second
)

// refusal is how the store treats an instance.
type refusal string

const (
	refusalNone        refusal = ""
	refusalSilent      refusal = "Silent"
	refusalUnavailable refusal = "Unavailable"
	// refusalSilentWatch means that only watches get no answer.
	refusalSilentWatch refusal = "SilentWatch"
)

// sharedStore is the store of the platform, with its configuration.
type sharedStore struct {
	mu      sync.Mutex
	version uint64
	changed chan struct{}
	reads   int
	watches int
	// gone is the number of servers that are no longer registered.
	gone int
	// serversTake is how long a read of the servers takes.
	serversTake time.Duration
}

func (s *sharedStore) write(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = version
	close(s.changed)
	s.changed = make(chan struct{})
}

// remove removes server n, which is the first one that is left.
func (s *sharedStore) remove(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gone = n + 1
}

func (s *sharedStore) calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads + s.watches
}

// access is the way of one instance to the store. It implements egretflow.Directory.
type access struct {
	*sharedStore
	mu sync.Mutex
	// how is what the store does to the instance; changedHow is closed when it changes.
	how        refusal
	changedHow chan struct{}
	// read is the version that the instance has read last.
	read uint64
}

func (a *access) refuse(how refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.how = how
	close(a.changedHow)
	a.changedHow = make(chan struct{})
}

func (a *access) treatment() (refusal, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.how, a.changedHow
}

// call returns nil after took, or the error of a call that is refused.
func (a *access) call(ctx context.Context, took time.Duration) error {
	how, _ := a.treatment()
	if how == refusalSilent {
		took = readTimeout
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(took):
	}
	if how == refusalSilent || how == refusalUnavailable {
		return egretflow.ErrUnavailable
	}
	return nil
}

func (a *access) Configuration(ctx context.Context) (*egretflow.Configuration, error) {
	if err := a.call(ctx, storeLatency); err != nil {
		return nil, err
	}
	a.sharedStore.mu.Lock()
	defer a.sharedStore.mu.Unlock()
	a.reads++
	a.read = a.version
	return configuration(a.version), nil
}

func (a *access) Servers(ctx context.Context) (egretflow.ServerList, error) {
	a.sharedStore.mu.Lock()
	took := max(storeLatency, a.serversTake)
	a.sharedStore.mu.Unlock()
	if err := a.call(ctx, took); err != nil {
		return egretflow.ServerList{}, err
	}
	a.sharedStore.mu.Lock()
	defer a.sharedStore.mu.Unlock()
	list := egretflow.ServerList{Version: egretflow.StoreVersion{Revision: int64(1 + a.gone)}}
	for n := a.gone; n < registeredServers; n++ {
		list.Entries = append(list.Entries, server(n))
	}
	return list, nil
}

// await waits until the configuration has another version than the one read, and
// reports whether it has within watchTime. A refusal that begins meanwhile silences it.
func (a *access) await(ctx context.Context) (bool, error) {
	timeout, ended := time.After(watchTimeout), time.After(watchTime)
	a.sharedStore.mu.Lock()
	a.watches++
	a.sharedStore.mu.Unlock()
	for {
		how, changedHow := a.treatment()
		if how == refusalUnavailable {
			return false, a.call(ctx, storeLatency)
		}
		a.sharedStore.mu.Lock()
		changed, event := a.version != a.read, a.changed
		a.sharedStore.mu.Unlock()
		if how != refusalNone {
			event, ended, changed = nil, nil, false
		}
		if changed {
			return true, nil
		}
		select {
		case <-ctx.Done():
			return false, ctx.Err()
		case <-timeout:
			return false, egretflow.ErrUnavailable
		case <-ended:
			return false, nil
		case <-event:
		case <-changedHow:
		}
	}
}

func (a *access) AwaitChange(ctx context.Context) (egretflow.WatchResult, error) {
	startedAt := time.Now()
	changed, err := a.await(ctx)
	if changed || err != nil {
		return egretflow.WatchResult{Changed: changed}, err
	}
	return egretflow.WatchResult{ConfirmedAt: startedAt.Add(watchTime)}, nil
}

// idleState stands for a scheduler without requests.
type idleState struct{}

func (idleState) ServerHints(time.Time) egretflow.ServerHints    { return egretflow.ServerHints{} }
func (idleState) ApplyServerHints(egretflow.ServerHints)         {}
func (idleState) CrashReports(time.Time) []egretflow.CrashReport { return nil }
func (idleState) MergeCrashReports([]egretflow.CrashReport)      {}

// node is one instance of a connectedFleet.
type node struct {
	*registrar.Registrar
	gossiper *gossiper.Gossiper
	access   *access
	address  netip.AddrPort
}

// connectedFleet is a fleet of registrars that are connected by gossipers, in virtual
// time.
type connectedFleet struct {
	store     *sharedStore
	registry  *fakestore.Store
	packets   *packetnet.Network
	streams   *pipenet.Network
	instances []*node
}

// startFleet starts domains times perDomain instances and waits until they are settled.
func startFleet(t *testing.T, domains, perDomain int) *connectedFleet {
	x := &connectedFleet{
		store: &sharedStore{version: 1, changed: make(chan struct{})}, registry: &fakestore.Store{},
		packets: packetnet.New(rand.New(rand.NewPCG(1, 2))), streams: pipenet.New(time.Now),
	}
	x.registry.SetFaults(fakestore.Faults{Latency: storeLatency})
	for n := range domains * perDomain {
		x.instances = append(x.instances, x.startNode(t, n, n%domains))
	}
	time.Sleep(settleTime)
	return x
}

func (x *connectedFleet) startNode(t *testing.T, n, domain int) *node {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n / 200), byte(1 + n%200)}), 7000)
	listener, err := x.streams.Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	i := &node{address: address, access: &access{sharedStore: x.store, changedHow: make(chan struct{})}}
	name := egretflow.InstanceName(fmt.Sprintf("i%d", n))
	i.gossiper = gossiper.New(gossiper.Config{
		Self: egretflow.Member{
			Name: name, Address: address, FailureDomain: egretflow.FailureDomain(fmt.Sprint(domain)), State: egretflow.MemberStateLive, ProcessorShare: 0.4,
		},
		Incarnation: uint64(time.Now().UnixNano()), Conn: x.packets.Listen(address), Listener: listener, Dial: x.streams.Dialer(address.Addr()),
		Store: x.registry, Source: i.access, State: idleState{}, Bootstrap: true, Clock: time.Now,
		Rand: rand.New(rand.NewPCG(3, uint64(n))), Recorder: discard{},
	})
	i.Registrar = registrar.New(registrar.Config{
		Instance: name, Directory: i.gossiper.Directory(), Clock: time.Now, Recorder: discard{},
		Rank: i.gossiper.Rank, Watches: i.gossiper.Watches, Relayed: i.gossiper.Relayed, OnRead: i.gossiper.Wake,
	})
	i.gossiper.Follow(i.Registrar)
	runUntilEnd(t, i.gossiper.Run, i.Run)
	return i
}

// runUntilEnd runs tasks until the test ends.
func runUntilEnd(t *testing.T, tasks ...func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for _, run := range tasks {
		wg.Go(func() { _ = run(ctx) })
	}
	t.Cleanup(func() { cancel(); wg.Wait() })
}

// byRank returns the instances in the order in which they read for all.
func (x *connectedFleet) byRank() []*node {
	ranked := make([]*node, 0, len(x.instances))
	for rank := range len(x.instances) + 2 {
		for _, i := range x.instances {
			if i.gossiper.Rank() == rank {
				ranked = append(ranked, i)
			}
		}
	}
	return ranked
}

// wait waits until all instances know a change, at most for longest. It returns how long
// that took and how many do not know it then.
func (x *connectedFleet) wait(longest time.Duration, knows func(i *node) bool) (time.Duration, int) {
	started, behind := time.Now(), len(x.instances)
	for behind > 0 && time.Since(started) < longest {
		time.Sleep(10 * time.Millisecond)
		behind = 0
		for _, i := range x.instances {
			if !knows(i) {
				behind++
			}
		}
	}
	return time.Since(started), behind
}

// refusalCase is a fleet of which the store refuses some instances.
type refusalCase struct {
	Name               string
	Domains, PerDomain int
	// Refuses is Reader or Half, which are those that read first.
	Refuses       string
	How           refusal
	ServersTakeMS int
	Changes       int
	// BoundMS is the time that deployments of this size allow from the acknowledgement of
	// a change until all instances act on it.
	BoundMS int
}

// play makes changes at different times after the last reading, and checks that all
// instances know each of them in time.
func (c *refusalCase) play(t *testing.T, change func(x *connectedFleet, n int), knows func(i *node, n int) bool) {
	x := startFleet(t, c.Domains, c.PerDomain)
	bound, ranked, refused := time.Duration(c.BoundMS)*time.Millisecond, x.byRank(), 1
	if c.Refuses == "Half" {
		refused = len(ranked) / 2
	}
	x.store.mu.Lock()
	x.store.serversTake = time.Duration(c.ServersTakeMS) * time.Millisecond
	x.store.mu.Unlock()
	for _, i := range ranked[:refused] {
		i.access.refuse(c.How)
	}
	for n := range c.Changes {
		time.Sleep(time.Duration(n) * 170 * time.Millisecond)
		change(x, n)
		if took, behind := x.wait(2*bound, func(i *node) bool { return knows(i, n) }); took > bound {
			t.Errorf("change %d is known after %v (%d of %d instances are behind then), want at most %v", n, took, behind, len(ranked), bound)
		}
		time.Sleep(time.Second)
	}
}

// playRefusals runs f for each case of testdata/refusals.json in virtual time.
func playRefusals(t *testing.T, f func(t *testing.T, c *refusalCase)) {
	data, err := os.ReadFile("testdata/refusals.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []refusalCase
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for n := range cases {
		switch cases[n].How {
		case refusalSilent, refusalUnavailable, refusalSilentWatch:
		default:
			t.Fatalf("%s: unknown refusal %q", cases[n].Name, cases[n].How)
		}
		t.Run(cases[n].Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { f(t, &cases[n]) })
		})
	}
}

// Guards against a configuration that is in force late while the store refuses some
// instances, on them and on the others.
func TestChangeIsInForceInTimeWhileStoreRefusesInstances(t *testing.T) {
	playRefusals(t, func(t *testing.T, c *refusalCase) {
		c.play(t, func(x *connectedFleet, n int) { x.store.write(uint64(2 + n)) },
			func(i *node, n int) bool { return versionOf(i.Registrar) >= 2+n })
	})
}

// Guards against work for a server that is gone, from instances that the store refuses
// or whose reader it refuses.
func TestGoneServerIsKnownInTimeWhileStoreRefusesInstances(t *testing.T) {
	playRefusals(t, func(t *testing.T, c *refusalCase) {
		c.play(t, func(x *connectedFleet, n int) { x.store.remove(n) },
			func(i *node, n int) bool { return !i.AcceptsWork(server(n).Server.Name) })
	})
}

// Guards against calls of the store for the configuration that grow with the number of
// instances.
func TestConfigurationCallsStayFlat(t *testing.T) {
	const (
		period = 10 * time.Second
		// calmCalls is the number of calls of two watchers, each of which watches for watchTime.
		calmCalls = 2 * int(period/watchTime)
	)
	for _, perDomain := range []int{3, 20, 60} {
		t.Run(strconv.Itoa(perDomain), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := startFleet(t, 5, perDomain)
				before := x.store.calls()
				time.Sleep(period)
				if calls := x.store.calls() - before; calls > calmCalls {
					t.Errorf("%d calls in %v, want at most %d", calls, period, calmCalls)
				}
			})
		})
	}
}
