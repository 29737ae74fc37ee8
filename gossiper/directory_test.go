package gossiper

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
)

// Guards against a member that the store refuses and that keeps an old configuration,
// with all its subscribers, although other members have read a newer one.
func TestRefusedMemberReadsFromAnother(t *testing.T) {
	runFleet(t, 3, 4, func(x *fleet) {
		for _, m := range x.members() {
			m.follower.read(3)
		}
		x.source.mu.Lock()
		x.source.refuses = true
		x.source.mu.Unlock()
		for _, m := range x.members() {
			c, err := m.Directory().Configuration(x.t.Context())
			if err != nil || c.Version != 3 {
				t.Errorf("%s read configuration %+v, error %v", m.cfg.Self.Name, c, err)
			}
			if list, err := m.Directory().Servers(x.t.Context()); err != nil || list.Version.Revision != 3 {
				t.Errorf("%s read servers %+v, error %v", m.cfg.Self.Name, list, err)
			}
		}
	})
}

// Guards against instances that keep an old configuration while the store is silent for
// them, although a member has read the new one.
func TestSilentStoreDelaysNoConfiguration(t *testing.T) {
	runFleet(t, 3, 4, func(x *fleet) {
		for _, i := range x.instances {
			i.follower.mu.Lock()
			i.follower.behind = true
			i.follower.mu.Unlock()
		}
		x.source.mu.Lock()
		x.source.silent = true
		x.source.mu.Unlock()
		x.reader().follower.read(9)
		x.reader().Wake()
		time.Sleep(SendInterval + repeatDelay)
		for _, i := range x.members() {
			if i == x.reader() {
				continue
			}
			started := time.Now()
			c, err := i.Directory().Configuration(x.t.Context())
			if took := time.Since(started); err != nil || c.Version != 9 || took > aheadReadTimeout {
				t.Errorf("%s read configuration %+v after %v, error %v", i.cfg.Self.Name, c, took, err)
			}
		}
	})
}

// Guards against an instance that the store refuses and that always asks the same
// member, which the store refuses as well.
func TestOtherMembersTakeTurns(t *testing.T) {
	runFleet(t, 3, 3, func(x *fleet) {
		x.source.refuses = true
		d, seen := x.members()[0].Directory().(*relayDirectory), map[netip.AddrPort]bool{}
		for range len(x.members()) - 1 {
			if at, ok := d.otherMember(netip.AddrPort{}); ok {
				seen[at] = true
			}
		}
		if len(seen) != len(x.members())-1 {
			t.Errorf("%d members were asked in turn, want %d", len(seen), len(x.members())-1)
		}
	})
}

// Guards against a rolling upgrade in which an instance takes a configuration from one of
// an earlier version, which does not know organisations: it would serve requests without a
// key until the next version of the configuration.
func TestConfigurationOfEarlierVersionIsRefused(t *testing.T) {
	runFleet(t, 1, 2, func(x *fleet) {
		earlier := netip.MustParseAddrPort("10.0.9.9:7000")
		ln, err := x.streams.Listen(earlier)
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			data, err := compress(&egretflow.Configuration{Version: 9})
			if err != nil {
				t.Error(err)
			}
			_, _ = w.Write(data)
		})}
		go server.Serve(ln) //nolint:errcheck // it ends with the test
		defer func() { _ = server.Close() }()
		reader, other := x.instances[0], x.instances[1]
		d := reader.Directory().(*relayDirectory)
		if c, err := d.readConfiguration(x.t.Context(), earlier); err == nil {
			t.Errorf("took %+v from an earlier version", c)
		}
		other.follower.read(9)
		if c, err := d.readConfiguration(x.t.Context(), other.cfg.Self.Address); err != nil || c.Version != 9 {
			t.Errorf("read %+v from the present version, error %v", c, err)
		}
	})
}
