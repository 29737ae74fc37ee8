package gossiper

import (
	"fmt"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/packetnet"
)

// shortestBound is the shortest time that deployments allow from a change to the last
// instance that acts on it.
const shortestBound = 2 * time.Second

// cutShare cuts a share of the instances off, but not the reader, which is the reading of
// others. It returns those that are cut.
func (x *fleet) cutShare(share float64) map[*instance]bool {
	reader, cut := x.reader(), map[*instance]bool{}
	for _, i := range x.members() {
		if i != reader && float64(len(cut)) < share*float64(len(x.members())) {
			cut[i] = true
		}
	}
	for _, i := range x.instances {
		if i.Relayed() && float64(len(cut)) < share*float64(len(x.instances)) {
			cut[i] = true
		}
	}
	for i := range cut {
		x.packets.Cut(i.cfg.Self.Address.Addr(), true)
	}
	return cut
}

// Guards against instances that act on an old reading for seconds because their relay was
// cut off just before: the time in which they learn of a change must leave room for its
// reading. It also bounds what that costs in datagrams and reads of the platform.
func TestSilentRelayDelaysNoChange(t *testing.T) {
	for _, perDomain := range []int{8, 20, 100} {
		t.Run(fmt.Sprint(perDomain), func(t *testing.T) {
			runFleet(t, 3, perDomain, func(x *fleet) {
				version := uint64(1)
				// The cuts come at different times after the last updates.
				for phase := range time.Duration(4) {
					time.Sleep(phase * MemberInterval / 4)
					version++
					x.changeBesideCut(version)
				}
				if x.source.reads > 0 {
					t.Errorf("%d reads of the platform", x.source.reads)
				}
			})
		})
	}
}

// changeBesideCut lets the reader read a version while some instances are cut off, and
// checks when the others learn of it.
func (x *fleet) changeBesideCut(version uint64) {
	x.t.Helper()
	before, members := x.datagrams(), len(x.members())
	cut := x.cutShare(0.35)
	changed := time.Now()
	time.Sleep(SendInterval)
	x.reader().follower.read(version)
	x.reader().Wake()
	for time.Since(changed) < shortestBound-2*SendInterval && x.countBehind(cut, version) > 0 {
		time.Sleep(SendInterval)
	}
	if n := x.countBehind(cut, version); n > 0 {
		x.t.Errorf("%d of %d instances do not know the change after %v", n, len(x.instances)-len(cut), time.Since(changed))
	}
	time.Sleep(time.Until(changed.Add(shortestBound)))
	// Beside the usual ones: a few questions and answers for each instance whose relay is
	// silent. Members all send to each other.
	if sent, most := x.datagrams()-before, 10*len(x.instances)+8*members*members; sent > most {
		x.t.Errorf("%d datagrams in %v, want at most %d", sent, shortestBound, most)
	}
	for i := range cut {
		x.packets.Cut(i.cfg.Self.Address.Addr(), false)
	}
	time.Sleep(forgetTimeout)
}

// datagrams returns the number of datagrams that all instances have sent.
func (x *fleet) datagrams() int {
	total := 0
	for _, i := range x.instances {
		total += x.packets.Sent(i.cfg.Self.Address)
	}
	return total
}

// countBehind returns how many instances do not know a version, except for some.
func (x *fleet) countBehind(except map[*instance]bool, version uint64) int {
	behind := 0
	for _, i := range x.instances {
		if !except[i] && i.follower.known() < version {
			behind++
		}
	}
	return behind
}

// Guards against relays that are exchanged because single datagrams are lost or late.
func TestLossOfDatagramsKeepsRelays(t *testing.T) {
	runFleet(t, 3, 10, func(x *fleet) {
		relays := map[*instance]egretflow.InstanceName{}
		for _, i := range x.instances {
			relays[i] = i.relayName()
		}
		x.packets.SetFaults(packetnet.Faults{Loss: 0.02, Jitter: 20 * time.Millisecond})
		time.Sleep(20 * time.Second)
		changed := 0
		for i, was := range relays {
			if i.relayName() != was {
				changed++
			}
		}
		if changed > len(x.instances)/5 {
			t.Errorf("%d of %d instances have another relay after 20 s", changed, len(x.instances))
		}
	})
}

func (g *Gossiper) relayName() egretflow.InstanceName {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.relay.name
}

// Guards against an instance that reaches no member and waits, although it reaches the
// platform, and against one that goes on reading the platform when it reaches them again.
func TestIsolatedSubscriberReadsPlatform(t *testing.T) {
	runFleet(t, 3, 4, func(x *fleet) {
		var alone *instance
		for _, i := range x.instances {
			if i.Relayed() {
				alone = i
			}
		}
		x.packets.Cut(alone.cfg.Self.Address.Addr(), true)
		time.Sleep(shortestBound + askInterval)
		if alone.Relayed() || alone.follower.rechecked == 0 {
			t.Errorf("it still waits for a relay: relayed %t, asked to read %d times", alone.Relayed(), alone.follower.rechecked)
		}
		started := time.Now()
		if _, err := alone.Directory().Servers(x.t.Context()); err != nil || time.Since(started) > aheadReadTimeout || x.source.reads == 0 {
			t.Errorf("a read took %v with %d reads of the platform, error %v", time.Since(started), x.source.reads, err)
		}
		x.packets.Cut(alone.cfg.Self.Address.Addr(), false)
		time.Sleep(2 * MemberInterval)
		if !alone.Relayed() {
			t.Error("it does not use a relay again")
		}
	})
}

// Guards against a read that waits for a silent relay although another member answers.
func TestReadOfSilentRelayIsHedged(t *testing.T) {
	runFleet(t, 3, 4, func(x *fleet) {
		for _, m := range x.members() {
			m.follower.read(3)
		}
		var reading *instance
		for _, i := range x.instances {
			if i.Relayed() {
				reading = i
			}
		}
		for _, i := range x.instances {
			if i.cfg.Self.Name == reading.relayName() {
				x.streams.Partition(i.cfg.Self.Address.Addr(), reading.cfg.Self.Address.Addr())
				// A dial of http.Transport goes on when its request has ended.
				defer x.streams.Heal(i.cfg.Self.Address.Addr(), reading.cfg.Self.Address.Addr())
			}
		}
		started := time.Now()
		list, err := reading.Directory().Servers(x.t.Context())
		if err != nil || list.Version.Revision != 3 || time.Since(started) > aheadReadTimeout || x.source.reads > 0 {
			t.Errorf("read %+v after %v with %d reads of the platform, error %v", list, time.Since(started), x.source.reads, err)
		}
	})
}
