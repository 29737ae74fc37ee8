package gossiper

import (
	"net/netip"
	"testing"
	"time"
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
			if list, err := m.Directory().Servers(x.t.Context()); err != nil || list.Revision != 3 {
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
