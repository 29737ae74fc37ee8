package allocator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/allocator"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// harness holds one owner and several holders, and lets time pass with each exchange.
type harness struct {
	now     time.Time
	owner   *allocator.Owner
	holders map[egretflow.InstanceName]*allocator.Holder
	names   []egretflow.InstanceName
}

func newHarness(holders int, servers ...allocator.Capacity) *harness {
	h := &harness{now: start, owner: allocator.NewOwner(), holders: map[egretflow.InstanceName]*allocator.Holder{}}
	owned := map[egretflow.ServerName]bool{}
	var names []egretflow.ServerName
	for _, s := range servers {
		owned[s.Server] = true
		names = append(names, s.Server)
	}
	for n := range holders {
		name := egretflow.InstanceName(fmt.Sprintf("i%d", n))
		h.names = append(h.names, name)
		h.holders[name] = allocator.NewHolder()
		h.holders[name].SetServers(names)
	}
	h.owner.SetView(allocator.View{Holders: h.names, Servers: servers, Owned: owned}, h.now)
	return h
}

// exchange makes each named holder exchange once with the owner, half a second after the
// last round.
func (h *harness) exchange(names ...egretflow.InstanceName) {
	h.now = h.now.Add(500 * time.Millisecond)
	for n, name := range names {
		at := h.now.Add(time.Duration(n) * time.Millisecond)
		holder := h.holders[name]
		holder.Apply(h.owner.Answer(&egretflow.ExchangeRequest{From: name, Incarnation: 1, SentAt: at, Demands: holder.Demands(at)}, at))
	}
}

func (h *harness) rounds(n int, names ...egretflow.InstanceName) {
	for range n {
		h.exchange(names...)
	}
}

func (h *harness) free(name egretflow.InstanceName, server egretflow.ServerName) int {
	return h.holders[name].Free(server, h.now.Add(10*time.Millisecond))
}

func decode(name egretflow.ServerName, slots int) allocator.Capacity {
	return allocator.Capacity{Server: name, Slots: slots, Group: allocator.Group{Pool: "p", Role: egretflow.RoleDecode}}
}

// Guards against a holder without any slot of a role when each server has fewer slots than
// there are holders.
func TestBaselineGivesEveryHolderASlot(t *testing.T) {
	h := newHarness(8, decode("a", 3), decode("b", 3), decode("c", 3))
	h.rounds(6, h.names...)
	total := 0
	for _, name := range h.names {
		slots := h.free(name, "a") + h.free(name, "b") + h.free(name, "c")
		total += slots
		if slots < 1 {
			t.Errorf("holder %s has no slot", name)
		}
	}
	if total != 9 {
		t.Errorf("granted %d slots, want all 9", total)
	}
}

// Guards against new requests on a draining server. Only the owner reads its load report,
// so the holders depend on the grants, also right after a change of the owner (9.2).
func TestDrainingServerIsNotGranted(t *testing.T) {
	for _, rounds := range []int{0, 6} {
		h := newHarness(2, decode("a", 16))
		h.rounds(rounds, h.names...)
		for _, draining := range []bool{true, false} {
			h.owner.ObserveLoad(egretflow.LoadReport{Server: "a", MeasuredAt: h.now, Draining: draining}, h.now)
			h.rounds(1, h.names...)
			if draining {
				for _, name := range h.names {
					if got := h.free(name, "a"); got != 0 {
						t.Errorf("after %d rounds: holder %s may start %d requests", rounds, name, got)
					}
				}
			}
		}
		h.rounds(6, h.names...)
		if got := h.free("i0", "a"); got != 8 {
			t.Errorf("after %d rounds and the drain: %d slots, want 8", rounds, got)
		}
	}
}

// Guards against a holder that may start requests on a draining server until its demand
// changes or is sent again, because its requests do not name the server (9.2).
func TestDrainRevokesSlotsOfUnnamedServer(t *testing.T) {
	h := newHarness(2, decode("a", 16))
	h.rounds(6, h.names...)
	h.owner.ObserveLoad(egretflow.LoadReport{Server: "a", MeasuredAt: h.now, Draining: true}, h.now)
	h.now = h.now.Add(500 * time.Millisecond)
	h.holders["i0"].Apply(h.owner.Answer(&egretflow.ExchangeRequest{From: "i0", Incarnation: 1, SentAt: h.now}, h.now))
	if got := h.free("i0", "a"); got != 0 {
		t.Errorf("the holder may start %d requests", got)
	}
}

// Guards against idle baseline slots that stay with a holder while another one has queued
// requests, and against slots that go to requests of low importance before those of high
// importance.
func TestSlotsFollowDemand(t *testing.T) {
	tests := []struct {
		name   string
		wanted map[egretflow.InstanceName][4]int
		want   []int
	}{
		{"idle", nil, []int{4, 4, 4, 4}},
		{"one wants all", map[egretflow.InstanceName][4]int{"i0": {0, 0, 20, 0}}, []int{13, 1, 1, 1}},
		{"equal classes share", map[egretflow.InstanceName][4]int{"i0": {0, 0, 20, 0}, "i1": {0, 0, 20, 0}}, []int{7, 7, 1, 1}},
		{"critical before low", map[egretflow.InstanceName][4]int{"i0": {0, 0, 0, 20}, "i1": {9, 0, 0, 0}}, []int{1, 13, 1, 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(4, decode("a", 16))
			h.rounds(6, h.names...)
			for name, wanted := range test.wanted {
				h.holders[name].SetWanted("a", wanted)
			}
			h.rounds(3, h.names...)
			for n, name := range h.names {
				if got := h.free(name, "a"); got != test.want[n] {
					t.Errorf("holder %s has %d slots, want %d", name, got, test.want[n])
				}
			}
		})
	}
}

// Guards against a new owner that grants slots on which requests of a member still run
// that does not report to this owner.
func TestRunningRequestsOfSilentMemberAreWithheld(t *testing.T) {
	tests := []struct {
		name    string
		running int
		want    int
	}{
		{"only the share of the silent member is withheld", 0, 12},
		{"more running than the share", 10, 6},
		{"everything runs elsewhere", 16, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(4, decode("a", 16))
			for range 10 {
				h.owner.ObserveLoad(egretflow.LoadReport{Server: "a", MeasuredAt: h.now, Running: test.running}, h.now)
				h.exchange("i0", "i1", "i2")
			}
			if got := h.free("i0", "a") + h.free("i1", "a") + h.free("i2", "a"); got != test.want {
				t.Errorf("granted %d slots, want %d", got, test.want)
			}
		})
	}
}

// Guards against two instances that both grant slots of a server for longer than one TTL
// because the members disagree about its owner.
func TestFormerOwnerRenewsForOneLifetime(t *testing.T) {
	h := newHarness(2, decode("a", 16))
	h.rounds(6, h.names...)
	h.owner.SetView(allocator.View{Holders: h.names, Servers: []allocator.Capacity{decode("a", 16)}}, h.now)
	h.holders["i0"].SetWanted("a", [4]int{9})
	h.rounds(3, h.names...)
	if got := h.free("i0", "a"); got != 8 {
		t.Errorf("former owner granted %d slots, want the reported 8", got)
	}
	h.rounds(8, h.names...)
	if got := h.free("i0", "a"); got != 0 {
		t.Errorf("holder still has %d slots of the former owner", got)
	}
}

// Guards against a delayed request that replaces what a later one reported, and against
// slots that are granted to another holder before the first has reported its smaller
// grant.
func TestReportsCountInOrder(t *testing.T) {
	h := newHarness(2, decode("a", 4))
	h.rounds(6, h.names...)
	request := func(name egretflow.InstanceName, sentAt time.Time, d egretflow.Demand) []egretflow.Grant {
		d.Server = "a"
		return h.owner.Answer(&egretflow.ExchangeRequest{From: name, Incarnation: 1, SentAt: sentAt, Demands: []egretflow.Demand{d}}, h.now)
	}
	h.now = h.now.Add(100 * time.Millisecond)
	request("i1", h.now, egretflow.Demand{Held: 2, InUse: 1})
	if got := request("i0", h.now, egretflow.Demand{Held: 2, InUse: 2, Wanted: [4]int{9}})[0].Slots; got != 2 {
		t.Errorf("granted %d slots while the other holder may still use 2 of 4", got)
	}
	later := h.now.Add(time.Millisecond)
	if got := request("i1", later, egretflow.Demand{Held: 2, InUse: 2}); len(got) != 1 {
		t.Errorf("got %d grants for a new request", len(got))
	}
	if got := request("i1", h.now, egretflow.Demand{}); got != nil {
		t.Errorf("got grants %v for a request sent before the newest one", got)
	}
	if got := request("i0", later, egretflow.Demand{Held: 2, InUse: 2, Wanted: [4]int{9}})[0].Slots; got != 2 {
		t.Errorf("granted %d slots after a delayed request, want 2", got)
	}
}

// Guards against requests that start after the grant has expired, for example after a pause
// of the process.
func TestHolderStartsOnlyUnderUnexpiredGrant(t *testing.T) {
	h := allocator.NewHolder()
	h.Apply([]egretflow.Grant{{Server: "a", Slots: 2, ExpiresAt: start.Add(allocator.TTL)}})
	if !h.Start("a", 1, start) {
		t.Error("a request did not start under a grant")
	}
	if h.Start("a", 2, start) {
		t.Error("a request started beyond the grant")
	}
	if h.Start("a", 1, start.Add(allocator.TTL)) {
		t.Error("a request started under an expired grant")
	}
	want := egretflow.Demand{Server: "a", InUse: 1}
	if got := h.Demands(start.Add(allocator.TTL)); len(got) != 1 || got[0] != want {
		t.Errorf("demands after expiry are %v, want %v", got, want)
	}
}
