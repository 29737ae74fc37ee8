package registrar_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/registrar"
)

// fakeDirectory is an in-memory platform.
type fakeDirectory struct {
	mu      sync.Mutex
	config  *egretflow.Configuration
	servers []egretflow.ServerEntry
	invalid []egretflow.ServerName
	down    bool
	reads   int
	// revision counts the changes; staleList, if set, is returned instead of servers.
	revision  int64
	era       egretflow.Era
	staleList *egretflow.ServerList
	changed   chan struct{}
}

func newDirectory() *fakeDirectory { return &fakeDirectory{changed: make(chan struct{}, 1)} }

func (d *fakeDirectory) set(change func(d *fakeDirectory)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(d)
	d.revision++
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

func (d *fakeDirectory) Configuration(context.Context) (*egretflow.Configuration, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.down:
		return nil, egretflow.ErrUnavailable
	case d.config == nil:
		return nil, egretflow.ErrNotFound
	}
	return d.config, nil
}

func (d *fakeDirectory) AwaitChange(ctx context.Context) (egretflow.WatchResult, error) {
	select {
	case <-d.changed:
	case <-ctx.Done():
	}
	return egretflow.WatchResult{Changed: true}, nil
}

func (d *fakeDirectory) Servers(context.Context) (egretflow.ServerList, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reads++
	if d.down {
		return egretflow.ServerList{}, egretflow.ErrUnavailable
	}
	if d.staleList != nil {
		return *d.staleList, nil
	}
	return egretflow.ServerList{Entries: append([]egretflow.ServerEntry(nil), d.servers...), Invalid: d.invalid, Version: egretflow.StoreVersion{Era: d.era, Revision: d.revision}}, nil
}

func (d *fakeDirectory) readCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reads
}

type discard struct{}

func (discard) Record(egretflow.Event) {}

func server(n int) egretflow.ServerEntry {
	return egretflow.ServerEntry{Pool: "desk", Server: egretflow.Server{
		Name: egretflow.ServerName(fmt.Sprintf("s%d", n)), Role: egretflow.RoleService, Slots: 6,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80),
	}}
}

func configuration(version uint64) *egretflow.Configuration {
	return &egretflow.Configuration{
		Version: version, Pools: []egretflow.Pool{{Name: "desk", Kind: egretflow.PoolKindService}},
		Routes: []egretflow.Route{{Name: "r", Host: "h", PathPrefix: "/", Pool: "desk", Importance: egretflow.ImportanceNormal, Patience: egretflow.Duration(version)}},
	}
}

func start(t *testing.T, d egretflow.Directory, rank func() int) *registrar.Registrar {
	r := registrar.New(registrar.Config{Instance: "i", Directory: d, Clock: time.Now, Recorder: discard{}, Rank: rank})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return r
}

func versionOf(r *registrar.Registrar) int {
	if t := r.Tables(); t != nil {
		return int(t.Routes[0].Patience)
	}
	return 0
}

// Guards against a configuration that reverts to a lower version, one that takes
// effect too late, and an instance that fails on a platform without a
// configuration.
func TestConfigurationNeverReverts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory()
		r := start(t, d, nil)
		time.Sleep(time.Second)
		if r.Tables() != nil {
			t.Fatal("tables without a configuration")
		}
		for _, step := range []struct{ set, want int }{{3, 3}, {2, 3}, {5, 5}, {4, 5}} {
			d.set(func(d *fakeDirectory) { d.config = configuration(uint64(step.set)) })
			time.Sleep(time.Second)
			if got := versionOf(r); got != step.want {
				t.Errorf("version %d in force 1 s after %d was written, want %d", got, step.set, step.want)
			}
		}
	})
}

// Guards against new work for a server that has been leaving or gone for longer than
// ReadInterval.
func TestLeavingServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory()
		d.config = configuration(1)
		d.servers = []egretflow.ServerEntry{server(1), server(2)}
		r := start(t, d, nil)
		time.Sleep(time.Second)
		if !r.AcceptsWork("s1") || !r.AcceptsWork("s2") {
			t.Fatal("a registered server takes no work")
		}
		leaving := server(1)
		leaving.Leaving = true
		d.set(func(d *fakeDirectory) { d.servers = []egretflow.ServerEntry{leaving} })
		time.Sleep(registrar.ReadInterval + 10*time.Millisecond)
		if r.AcceptsWork("s1") || r.AcceptsWork("s2") {
			t.Error("a server that is leaving or gone takes work")
		}
		servers := r.Tables().Pools[0].Servers
		if len(servers) != 1 || !servers[0].Drain {
			t.Errorf("servers in the tables: %+v", servers)
		}
	})
}

// Guards against the loss of all servers when their registrations expire during an
// outage of the platform, and against servers that are kept although they did not
// register again within the grace period.
func TestServersReregisterAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory()
		d.config = configuration(1)
		d.servers = []egretflow.ServerEntry{server(1), server(2)}
		r := start(t, d, nil)
		time.Sleep(time.Second)
		d.set(func(d *fakeDirectory) { d.down = true })
		time.Sleep(5 * time.Second)
		if !r.AcceptsWork("s1") {
			t.Error("a server is dropped during the outage of the platform")
		}
		d.set(func(d *fakeDirectory) { d.down, d.servers = false, nil })
		time.Sleep(1500 * time.Millisecond)
		if !r.AcceptsWork("s1") || !r.AcceptsWork("s2") {
			t.Error("a server is dropped before it can register again")
		}
		d.set(func(d *fakeDirectory) { d.servers = []egretflow.ServerEntry{server(2)} })
		time.Sleep(registrar.ReregistrationGrace + registrar.ReadInterval)
		if r.AcceptsWork("s1") || !r.AcceptsWork("s2") {
			t.Errorf("after the grace: s1 %v, s2 %v; want only s2", r.AcceptsWork("s1"), r.AcceptsWork("s2"))
		}
	})
}

// unreachableDirectory is one instance's access to a directory, which can be cut off.
type unreachableDirectory struct {
	*fakeDirectory
	unreachable atomic.Bool
}

func (d *unreachableDirectory) Servers(ctx context.Context) (egretflow.ServerList, error) {
	if d.unreachable.Load() {
		return egretflow.ServerList{}, egretflow.ErrUnavailable
	}
	return d.fakeDirectory.Servers(ctx)
}

// fleet starts n registrars with the ranks 0 to n-1 and connects them.
func fleet(t *testing.T, d *fakeDirectory, n int, blocked func(from, to int) bool) []*registrar.Registrar {
	members := make([]*registrar.Registrar, n)
	for rank := range n {
		members[rank] = start(t, d, func() int { return rank })
	}
	connect(t, members, blocked)
	return members
}

// connect delivers the confirmation of each member to all others every 50 ms, except
// where blocked returns true.
func connect(t *testing.T, members []*registrar.Registrar, blocked func(from, to int) bool) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	t.Cleanup(func() { cancel(); <-done })
	go func() {
		defer close(done)
		for tick := time.Tick(50 * time.Millisecond); ; {
			select {
			case <-ctx.Done():
				return
			case <-tick:
			}
			for from, m := range members {
				c := m.Confirmation()
				for to, other := range members {
					if from != to && !blocked(from, to) && !c.ReadAt.IsZero() {
						other.ApplyConfirmation(c)
					}
				}
			}
		}
	}()
}

// Guards against a fleet in which each instance reads the directory itself, and
// against changes that reach the other instances late, also when the one that reads
// for all stops sending.
func TestOneInstanceReadsForFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory()
		d.config = configuration(1)
		d.servers = []egretflow.ServerEntry{server(1), server(2)}
		var silent atomic.Bool
		members := fleet(t, d, 8, func(from, _ int) bool { return silent.Load() && from == 0 })
		time.Sleep(2 * time.Second)
		before := d.readCount()
		time.Sleep(7 * time.Second)
		if reads := d.readCount() - before; reads > 11 {
			t.Errorf("%d reads in 7 s by 8 instances, want those of one", reads)
		}
		before = d.readCount()
		d.set(func(d *fakeDirectory) { d.servers, d.config = []egretflow.ServerEntry{server(2)}, configuration(2) })
		time.Sleep(time.Second)
		if reads := d.readCount() - before; reads > 3 {
			t.Errorf("%d reads for one change that was sent to all", reads)
		}
		for n, m := range members {
			if m.AcceptsWork("s1") || versionOf(m) != 2 {
				t.Errorf("instance %d after 1 s: s1 takes work %v, version %d", n, m.AcceptsWork("s1"), versionOf(m))
			}
		}
		silent.Store(true)
		d.set(func(d *fakeDirectory) { d.servers, d.config = nil, configuration(3) })
		time.Sleep(1900 * time.Millisecond)
		for n, m := range members[1:] {
			if m.AcceptsWork("s2") || versionOf(m) != 3 {
				t.Errorf("instance %d, 1.9 s after a change that the reader did not send: s2 takes work %v, version %d", n+1, m.AcceptsWork("s2"), versionOf(m))
			}
		}
	})
}

// Guards against reads by the whole fleet after a change, caused by one instance that
// has not received the change and still sends its old confirmation.
func TestOldConfirmationsCauseNoReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory()
		d.config = configuration(1)
		d.servers = []egretflow.ServerEntry{server(1), server(2)}
		const isolated = 7
		members := fleet(t, d, 8, func(_, to int) bool { return to == isolated })
		time.Sleep(2 * time.Second)
		d.set(func(d *fakeDirectory) { d.servers = []egretflow.ServerEntry{server(2)} })
		before := d.readCount()
		time.Sleep(time.Second)
		// Only the instance with rank 0 and the isolated one read the directory.
		if reads := d.readCount() - before; reads > 4 {
			t.Errorf("%d reads in 1 s after a change that one of 8 instances did not receive", reads)
		}
		for n, m := range members[:isolated] {
			if m.AcceptsWork("s1") {
				t.Errorf("instance %d does not know of the change after 1 s", n)
			}
		}
	})
}

// Guards against a removed server that takes work again because the platform returns
// a list of an older revision.
func TestStaleServerListIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory()
		d.config = configuration(1)
		d.servers = []egretflow.ServerEntry{server(1), server(2)}
		r := start(t, d, nil)
		time.Sleep(time.Second)
		before, err := d.Servers(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		d.set(func(d *fakeDirectory) { d.servers = []egretflow.ServerEntry{server(2)} })
		time.Sleep(time.Second)
		d.set(func(d *fakeDirectory) { d.staleList = &before })
		time.Sleep(time.Second)
		if r.AcceptsWork("s1") {
			t.Error("a server that is gone takes work after a stale list was read")
		}
		d.set(func(d *fakeDirectory) { d.staleList, d.servers = nil, []egretflow.ServerEntry{server(3)} })
		time.Sleep(time.Second)
		if r.AcceptsWork("s2") || !r.AcceptsWork("s3") {
			t.Error("a new list after a stale one has no effect")
		}
	})
}

// Guards against reads by the whole fleet while the servers change continuously, and
// against instances that miss one of these changes.
func TestPeersApplyDeltas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory()
		d.config = configuration(1)
		for n := range 30 {
			d.servers = append(d.servers, server(n))
		}
		members := fleet(t, d, 20, func(int, int) bool { return false })
		time.Sleep(3 * time.Second)
		before := d.readCount()
		for n := range 20 {
			d.set(func(d *fakeDirectory) { d.servers = append(d.servers[1:len(d.servers):len(d.servers)], server(100+n)) })
			time.Sleep(250 * time.Millisecond)
		}
		time.Sleep(time.Second)
		// The instance with rank 0 reads every 700 ms for 6 s.
		if reads := d.readCount() - before; reads > 20 {
			t.Errorf("%d reads in 6 s of changes by 20 instances", reads)
		}
		for n, m := range members {
			if m.AcceptsWork("s19") || !m.AcceptsWork("s119") {
				t.Errorf("instance %d missed a change", n)
			}
		}
	})
}

// Guards against an instance that, after an outage that affected only itself, keeps
// missing servers for the whole grace period although a peer that could read the
// platform all the time confirms the new list.
func TestPeersEndTheGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory()
		d.config = configuration(1)
		d.servers = []egretflow.ServerEntry{server(1), server(2), server(3)}
		disconnecting := &unreachableDirectory{fakeDirectory: d}
		var partitioned atomic.Bool
		members := []*registrar.Registrar{start(t, d, nil), start(t, disconnecting, func() int { return 1 })}
		connect(t, members, func(int, int) bool { return partitioned.Load() })
		time.Sleep(2 * time.Second)
		disconnecting.unreachable.Store(true)
		partitioned.Store(true)
		time.Sleep(4 * time.Second)
		d.set(func(d *fakeDirectory) { d.servers = []egretflow.ServerEntry{server(2), server(3)} })
		time.Sleep(time.Second)
		disconnecting.unreachable.Store(false)
		partitioned.Store(false)
		time.Sleep(time.Second)
		if members[1].AcceptsWork("s1") {
			t.Error("a server that left during the outage takes work 1 s after its end")
		}
		d.set(func(d *fakeDirectory) { d.servers = []egretflow.ServerEntry{server(3)} })
		time.Sleep(time.Second)
		if members[1].AcceptsWork("s2") || !members[1].AcceptsWork("s3") {
			t.Error("a change 1 s after the end of the outage is not known 1 s later")
		}
	})
}

// Guards against a server that takes work after an outage although its registration is
// there and no longer names a server to use.
func TestInvalidRegistrationHasNoGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory()
		d.config = configuration(1)
		d.servers = []egretflow.ServerEntry{server(1), server(2), server(3)}
		r := start(t, d, nil)
		time.Sleep(time.Second)
		d.set(func(d *fakeDirectory) { d.down = true })
		time.Sleep(3 * time.Second)
		d.set(func(d *fakeDirectory) {
			d.down, d.servers, d.invalid = false, []egretflow.ServerEntry{server(3)}, []egretflow.ServerName{"s1"}
		})
		time.Sleep(time.Second)
		if r.AcceptsWork("s1") || !r.AcceptsWork("s2") || !r.AcceptsWork("s3") {
			t.Errorf("1 s after an outage the invalid server takes work %v, the missing one %v, the listed one %v",
				r.AcceptsWork("s1"), r.AcceptsWork("s2"), r.AcceptsWork("s3"))
		}
	})
}

// Guards against forwarding a confirmation that was received from a peer. Its age does
// not include the time on the network, so it would stay recent while instances forward
// it, and nobody would take over from a reader that cannot reach the platform.
func TestReceivedConfirmationIsNotForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory()
		d.config = configuration(1)
		d.servers = []egretflow.ServerEntry{server(1)}
		r := start(t, d, func() int { return 5 })
		time.Sleep(500 * time.Millisecond)
		local := r.Confirmation()
		received := local
		received.ReadAt = time.Now()
		r.ApplyConfirmation(received)
		if got := r.Confirmation().ReadAt; !got.Equal(local.ReadAt) {
			t.Errorf("peers are sent a read at %v, want the local one at %v", got, local.ReadAt)
		}
		if got := r.Current().ConfirmedAt; !got.Equal(received.ReadAt) {
			t.Errorf("confirmed at %v, want the time that a peer sent, %v", got, received.ReadAt)
		}
	})
}
