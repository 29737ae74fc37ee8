package gossiper

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"os"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/fakestore"
	"github.com/egretflow/egretflow/internal/packetnet"
	"github.com/egretflow/egretflow/internal/pipenet"
)

// runFleetOn is runFleet with a store that prepare has written to.
func runFleetOn(t *testing.T, domains, perDomain int, prepare func(s *fakestore.Store), f func(x *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		x := &fleet{
			t: t, store: &fakestore.Store{}, packets: packetnet.New(rand.New(rand.NewPCG(1, 2))), streams: pipenet.New(time.Now), source: &source{},
		}
		prepare(x.store)
		for n := range domains * perDomain {
			x.start(n, n%domains)
		}
		time.Sleep(10 * time.Second)
		f(x)
		for _, i := range x.instances {
			i.stop()
		}
		time.Sleep(time.Minute)
	})
}

// oddRegistrations are values under the key of a slot that name no instance.
func oddRegistrations(t *testing.T) map[string]string {
	data, err := os.ReadFile("testdata/odd-registrations.json")
	if err != nil {
		t.Fatal(err)
	}
	var odd map[string]string
	if err := json.Unmarshal(data, &odd); err != nil {
		t.Fatal(err)
	}
	odd["nested"] = `{"Name":"odd","Address":"10.0.0.9:7000","Region":` + strings.Repeat("[", 100_000)
	odd["domain-long"] = `{"Name":"odd","Address":"10.0.0.9:7000","FailureDomain":"` + strings.Repeat("0", 100_000) + `"}`
	return odd
}

// Guards against odd registrations that make instances refuse the datagrams of each
// other, or call the store without a pause for a slot.
func TestOddRegistrationsCostOnlyThemselves(t *testing.T) {
	const maxCommits, maxLists = 12, 60
	odd := oddRegistrations(t)
	runFleetOn(t, 2, 4, func(s *fakestore.Store) {
		txn := egretflow.StoreTxn{Writes: []egretflow.StoreWrite{{Key: slotKey("0", 0), Value: []byte(odd["address-missing"])}}}
		for name, value := range odd {
			txn.Writes = append(txn.Writes, egretflow.StoreWrite{Key: instancePrefix + "0/" + name, Value: []byte(value)})
		}
		if _, err := s.Commit(context.Background(), txn); err != nil {
			t.Fatal(err)
		}
	}, func(x *fleet) {
		x.reader().follower.read(7)
		x.reader().Wake()
		time.Sleep(20 * time.Second)
		for _, i := range x.instances {
			if i.follower.known() != 7 {
				t.Errorf("%s does not follow the reader", i.cfg.Self.Name)
			}
		}
		if calls := x.store.Calls(); calls["Commit"] > maxCommits || calls["List"] > maxLists {
			t.Errorf("store calls in 30 s: %v", calls)
		}
	})
}

// Guards against an odd registration that counts as a member: the other instances would
// refuse each datagram that lists it.
func TestOddRegistrationIsNoMember(t *testing.T) {
	for name, value := range oddRegistrations(t) {
		store := &fakestore.Store{}
		txn := egretflow.StoreTxn{Writes: []egretflow.StoreWrite{{Key: slotKey("0", 0), Value: []byte(value)}}}
		if _, err := store.Commit(t.Context(), txn); err != nil {
			t.Fatal(err)
		}
		g := New(Config{Self: egretflow.Member{Name: "b", FailureDomain: "0"}, Store: store, Clock: time.Now, Recorder: discard{}})
		taken, err := newRegistration(g).list(t.Context())
		if _, ok := taken[slotKey("0", 0)]; err != nil || !ok {
			t.Errorf("%s: the slot counts as vacant, error %v", name, err)
		}
		m := g.memberMessage(ownState{}, time.Now()).message
		data, err := encode(m)
		if err != nil || len(data) > maxDatagramBytes || len(m.Members) > 0 {
			t.Errorf("%s: %d bytes with %d members, %v", name, len(data), len(m.Members), err)
		}
		if _, err := decode(data); err != nil {
			t.Errorf("%s: other instances refuse the datagram: %v", name, err)
		}
	}
}

// Guards against changes that make a datagram too large: without it, no other instance
// learns that the list is current.
func TestLargeChangesAreLeftOut(t *testing.T) {
	runFleet(t, 2, 3, func(x *fleet) {
		entry := egretflow.ServerEntry{Pool: "p", Server: egretflow.Server{Name: egretflow.ServerName(strings.Repeat("s", maxDatagramBytes))}}
		from := x.reader()
		from.follower.mu.Lock()
		from.follower.deltas = []egretflow.ServersDelta{{Changed: []egretflow.ServerEntry{entry}}}
		from.follower.mu.Unlock()
		from.follower.read(7)
		from.Wake()
		time.Sleep(time.Second)
		for _, i := range x.instances {
			if i.follower.known() != 7 {
				t.Errorf("%s does not follow the reader", i.cfg.Self.Name)
			}
		}
	})
}

// Guards against changes of servers that arrive with another start time: they do not
// lead to the fingerprint of the sender, so that each receiver reads the platform.
func TestDeltasKeepTheStartTime(t *testing.T) {
	sent := egretflow.ServersDelta{Version: egretflow.StoreVersion{Era: 2, Revision: 5}, Changed: []egretflow.ServerEntry{{Pool: "p", Server: egretflow.Server{
		Name: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Role: egretflow.RoleService, Slots: 6,
		StartedAt: time.UnixMilli(1_700_000_000_123).UTC(),
	}}}}
	data, err := encode(&message{Kind: kindUpdate, From: "i", Confirmed: confirmation{Deltas: []egretflow.ServersDelta{sent}}})
	if err != nil {
		t.Fatal(err)
	}
	m, err := decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if got := m.Confirmed.Deltas[0]; !reflect.DeepEqual(got, sent) {
		t.Errorf("received %+v, sent %+v", got, sent)
	}
}
