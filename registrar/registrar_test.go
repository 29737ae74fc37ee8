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

// directory is a platform in memory.
type directory struct {
	mu      sync.Mutex
	config  *egretflow.Configuration
	servers []egretflow.ServerEntry
	down    bool
	reads   int
	// revision counts the changes; old, if set, is returned instead of servers.
	revision int64
	old      *egretflow.ServerList
	changed  chan struct{}
}

func newDirectory() *directory { return &directory{changed: make(chan struct{}, 1)} }

func (d *directory) set(change func(d *directory)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(d)
	d.revision++
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

func (d *directory) Configuration(context.Context) (*egretflow.Configuration, error) {
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

func (d *directory) AwaitChange(ctx context.Context) error {
	select {
	case <-d.changed:
	case <-ctx.Done():
	}
	return nil
}

func (d *directory) Servers(context.Context) (egretflow.ServerList, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reads++
	if d.down {
		return egretflow.ServerList{}, egretflow.ErrUnavailable
	}
	if d.old != nil {
		return *d.old, nil
	}
	return egretflow.ServerList{Entries: append([]egretflow.ServerEntry(nil), d.servers...), Revision: d.revision}, nil
}

func (d *directory) readings() int {
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
		Routes: []egretflow.Route{{Name: "r", Host: "h", PathPrefix: "/", Pool: "desk", Patience: egretflow.Duration(version)}},
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

// Guards against a configuration that reverts, one that is in force too late,
// and an instance that does not survive a platform without any.
func TestConfigurationNeverReverts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory()
		r := start(t, d, nil)
		time.Sleep(time.Second)
		if r.Tables() != nil {
			t.Fatal("tables without a configuration")
		}
		for _, step := range []struct{ set, want int }{{3, 3}, {2, 3}, {5, 5}, {4, 5}} {
			d.set(func(d *directory) { d.config = configuration(uint64(step.set)) })
			time.Sleep(time.Second)
			if got := versionOf(r); got != step.want {
				t.Errorf("version %d in force 1 s after %d was written, want %d", got, step.set, step.want)
			}
		}
	})
}

// Guards against new work for a server that is leaving or gone, later than the
// platform allows.
func TestLeavingServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory()
		d.config = configuration(1)
		d.servers = []egretflow.ServerEntry{server(1), server(2)}
		r := start(t, d, nil)
		time.Sleep(time.Second)
		if !r.TakesWork("s1") || !r.TakesWork("s2") {
			t.Fatal("a registered server takes no work")
		}
		leaving := server(1)
		leaving.Leaving = true
		d.set(func(d *directory) { d.servers = []egretflow.ServerEntry{leaving} })
		time.Sleep(registrar.ReadInterval + 10*time.Millisecond)
		if r.TakesWork("s1") || r.TakesWork("s2") {
			t.Error("a server that is leaving or gone takes work")
		}
		servers := r.Tables().Pools[0].Servers
		if len(servers) != 1 || !servers[0].Drain {
			t.Errorf("servers in the tables: %+v", servers)
		}
	})
}

// Guards against the loss of all servers when their entries expired while the
// platform was away, and against servers that stay although they did not return.
func TestEntriesReturnAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory()
		d.config = configuration(1)
		d.servers = []egretflow.ServerEntry{server(1), server(2)}
		r := start(t, d, nil)
		time.Sleep(time.Second)
		d.set(func(d *directory) { d.down = true })
		time.Sleep(5 * time.Second)
		if !r.TakesWork("s1") {
			t.Error("a server is lost with the platform")
		}
		d.set(func(d *directory) { d.down, d.servers = false, nil })
		time.Sleep(1500 * time.Millisecond)
		if !r.TakesWork("s1") || !r.TakesWork("s2") {
			t.Error("a server is lost before its entry can be back")
		}
		d.set(func(d *directory) { d.servers = []egretflow.ServerEntry{server(2)} })
		time.Sleep(registrar.ReturnGrace + registrar.ReadInterval)
		if r.TakesWork("s1") || !r.TakesWork("s2") {
			t.Errorf("after the grace: s1 %v, s2 %v; want only s2", r.TakesWork("s1"), r.TakesWork("s2"))
		}
	})
}

// cutDirectory is a directory that one instance may not reach.
type cutDirectory struct {
	*directory
	cut atomic.Bool
}

func (d *cutDirectory) Servers(ctx context.Context) (egretflow.ServerList, error) {
	if d.cut.Load() {
		return egretflow.ServerList{}, egretflow.ErrUnavailable
	}
	return d.directory.Servers(ctx)
}

// fleet joins registrars as messages do: every 50 ms each hears the others.
func fleet(t *testing.T, d *directory, n int, cut func(from, to int) bool) []*registrar.Registrar {
	members := make([]*registrar.Registrar, n)
	for rank := range n {
		members[rank] = start(t, d, func() int { return rank })
	}
	join(t, members, cut)
	return members
}

func join(t *testing.T, members []*registrar.Registrar, cut func(from, to int) bool) {
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
					if from != to && !cut(from, to) && !c.ReadAt.IsZero() {
						other.Hear(c)
					}
				}
			}
		}
	}()
}

// Guards against a fleet in which each instance reads for itself, and against
// changes that reach the others late when one reads for all or when it dies.
func TestOneReadsForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory()
		d.config = configuration(1)
		d.servers = []egretflow.ServerEntry{server(1), server(2)}
		var silent atomic.Bool
		members := fleet(t, d, 8, func(from, _ int) bool { return silent.Load() && from == 0 })
		time.Sleep(2 * time.Second)
		before := d.readings()
		time.Sleep(7 * time.Second)
		if reads := d.readings() - before; reads > 11 {
			t.Errorf("%d readings in 7 s by 8 instances, want those of one", reads)
		}
		before = d.readings()
		d.set(func(d *directory) { d.servers, d.config = []egretflow.ServerEntry{server(2)}, configuration(2) })
		time.Sleep(time.Second)
		if reads := d.readings() - before; reads > 3 {
			t.Errorf("%d readings for one change that was told", reads)
		}
		for n, m := range members {
			if m.TakesWork("s1") || versionOf(m) != 2 {
				t.Errorf("instance %d after 1 s: s1 takes work %v, version %d", n, m.TakesWork("s1"), versionOf(m))
			}
		}
		silent.Store(true)
		d.set(func(d *directory) { d.servers, d.config = nil, configuration(3) })
		time.Sleep(1900 * time.Millisecond)
		for n, m := range members[1:] {
			if m.TakesWork("s2") || versionOf(m) != 3 {
				t.Errorf("instance %d, 1.9 s after a change that the first did not tell: s2 takes work %v, version %d", n+1, m.TakesWork("s2"), versionOf(m))
			}
		}
	})
}

// Guards against readings by the whole fleet because one instance has not yet
// heard of a change and still tells what it knew before.
func TestOldConfirmationsCauseNoReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory()
		d.config = configuration(1)
		d.servers = []egretflow.ServerEntry{server(1), server(2)}
		const deaf = 7
		members := fleet(t, d, 8, func(_, to int) bool { return to == deaf })
		time.Sleep(2 * time.Second)
		d.set(func(d *directory) { d.servers = []egretflow.ServerEntry{server(2)} })
		before := d.readings()
		time.Sleep(time.Second)
		// The first instance and the deaf one read for themselves.
		if reads := d.readings() - before; reads > 4 {
			t.Errorf("%d readings in 1 s after a change that one of 8 instances did not hear of", reads)
		}
		for n, m := range members[:deaf] {
			if m.TakesWork("s1") {
				t.Errorf("instance %d does not know of the change after 1 s", n)
			}
		}
	})
}

// Guards against a server that takes work again because the platform answered
// with what it knew some seconds ago.
func TestOldReadingIsIgnored(t *testing.T) {
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
		d.set(func(d *directory) { d.servers = []egretflow.ServerEntry{server(2)} })
		time.Sleep(time.Second)
		d.set(func(d *directory) { d.old = &before })
		time.Sleep(time.Second)
		if r.TakesWork("s1") {
			t.Error("a server that is gone takes work after an old reading")
		}
		d.set(func(d *directory) { d.old, d.servers = nil, []egretflow.ServerEntry{server(3)} })
		time.Sleep(time.Second)
		if r.TakesWork("s2") || !r.TakesWork("s3") {
			t.Error("a new reading after an old one has no effect")
		}
	})
}

// Guards against readings by the whole fleet while servers change all the time,
// and against instances that miss a change then.
func TestChangesAreFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory()
		d.config = configuration(1)
		for n := range 30 {
			d.servers = append(d.servers, server(n))
		}
		members := fleet(t, d, 20, func(int, int) bool { return false })
		time.Sleep(3 * time.Second)
		before := d.readings()
		for n := range 20 {
			d.set(func(d *directory) { d.servers = append(d.servers[1:len(d.servers):len(d.servers)], server(100+n)) })
			time.Sleep(250 * time.Millisecond)
		}
		time.Sleep(time.Second)
		// The first instance reads every 700 ms for 6 s.
		if reads := d.readings() - before; reads > 20 {
			t.Errorf("%d readings in 6 s of changes by 20 instances", reads)
		}
		for n, m := range members {
			if m.TakesWork("s19") || !m.TakesWork("s119") {
				t.Errorf("instance %d missed a change", n)
			}
		}
	})
}

// Guards against an instance that keeps servers for long after it could not read
// the platform for a while, although its peers could all the time and tell what
// left.
func TestPeersEndTheGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory()
		d.config = configuration(1)
		d.servers = []egretflow.ServerEntry{server(1), server(2), server(3)}
		lonely := &cutDirectory{directory: d}
		var apart atomic.Bool
		members := []*registrar.Registrar{start(t, d, nil), start(t, lonely, func() int { return 1 })}
		join(t, members, func(int, int) bool { return apart.Load() })
		time.Sleep(2 * time.Second)
		lonely.cut.Store(true)
		apart.Store(true)
		time.Sleep(4 * time.Second)
		d.set(func(d *directory) { d.servers = []egretflow.ServerEntry{server(2), server(3)} })
		time.Sleep(time.Second)
		lonely.cut.Store(false)
		apart.Store(false)
		time.Sleep(time.Second)
		if members[1].TakesWork("s1") {
			t.Error("a server that left meanwhile takes work 1 s after the return")
		}
		d.set(func(d *directory) { d.servers = []egretflow.ServerEntry{server(3)} })
		time.Sleep(time.Second)
		if members[1].TakesWork("s2") || !members[1].TakesWork("s3") {
			t.Error("a change 1 s after the return is not known 1 s later")
		}
	})
}

// Guards against a confirmation that stays young while it is passed on among the
// instances: each time its age loses the time on the way, so nobody takes over from
// a reader that has lost the platform.
func TestHeardConfirmationIsNotPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory()
		d.config = configuration(1)
		d.servers = []egretflow.ServerEntry{server(1)}
		r := start(t, d, func() int { return 5 })
		time.Sleep(500 * time.Millisecond)
		own := r.Confirmation()
		heard := own
		heard.ReadAt = time.Now()
		r.Hear(heard)
		if got := r.Confirmation().ReadAt; !got.Equal(own.ReadAt) {
			t.Errorf("peers are told of a reading at %v, want the own one at %v", got, own.ReadAt)
		}
		if got := r.Current().ConfirmedAt; !got.Equal(heard.ReadAt) {
			t.Errorf("confirmed at %v, want the time that a peer told, %v", got, heard.ReadAt)
		}
	})
}
