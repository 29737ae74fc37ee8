package commander

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/stub/engine"
	"github.com/egretflow/egretflow/internal/stub/fault"
)

const (
	// firstCommandTime is the time after the start within which engines that do
	// not check the token get their first command.
	firstCommandTime = LeaseTTL + CommandTimeout + 3*PollInterval
	// takeoverTime is the time within which another commander replaces a holder
	// that stopped and commands all engines.
	takeoverTime = LeaseTTL + firstCommandTime
)

// Guards against a new holder that commands engines that ignore the token before
// the orders of an earlier holder have arrived or failed, and against orders that
// do not match the tables or are repeated although no engine differs.
func TestOrdersFollowTables(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks=%v", checks), func(t *testing.T) {
			runWithFleet(t, options{checksFencing: checks, engines: 4, model: "other", commanders: 2, maxLoads: 4}, func(t *testing.T, f *fleet) {
				time.Sleep(LeaseTTL)
				if ordered := f.state(0).Model == "m"; ordered != checks {
					t.Errorf("order sent within the lease TTL: %v, want %v", ordered, checks)
				}
				time.Sleep(firstCommandTime - LeaseTTL)
				f.wantRole(0, egretflow.RolePrefill)
				f.wantRole(3, egretflow.RoleDecode)
				f.setRole(3, egretflow.RolePrefill)
				time.Sleep(3 * PollInterval)
				f.wantRole(3, egretflow.RolePrefill)
				orders := f.transports[0].orderCount() + f.transports[1].orderCount()
				time.Sleep(time.Minute)
				if more := f.transports[0].orderCount() + f.transports[1].orderCount() - orders; more > 0 {
					t.Errorf("%d orders although no engine differs", more)
				}
			})
		})
	}
}

// Guards against an order that a holder, paused past the end of its lease, sends
// late. An engine that checks the token must reject it. An engine that ignores
// the token must be back at the order of the new holder after about a second.
func TestLateOrderOfPausedHolder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks=%v", checks), func(t *testing.T) {
			runWithFleet(t, options{checksFencing: checks, engines: 4, model: "m", commanders: 2}, func(t *testing.T, f *fleet) {
				time.Sleep(firstCommandTime)
				const pause = 2 * takeoverTime
				f.holderTransport().pauseAt(sendOrderCall, pause)
				f.setRole(3, egretflow.RolePrefill)
				time.Sleep(takeoverTime)
				f.setRole(3, egretflow.RoleDecode)
				time.Sleep(3 * PollInterval)
				f.wantRole(3, egretflow.RoleDecode)
				fencing := f.state(3).Fencing
				revertedFor := time.Duration(0)
				for range int(pause / (100 * time.Millisecond)) {
					time.Sleep(100 * time.Millisecond)
					if f.state(3).Role != egretflow.RoleDecode {
						revertedFor += 100 * time.Millisecond
					}
				}
				if checks && revertedFor > 0 {
					t.Errorf("the order of the new holder was reverted for %v", revertedFor)
				}
				if !checks && (revertedFor == 0 || revertedFor > 2*PollInterval) {
					t.Errorf("the late order was in effect for %v, want more than 0 and at most %v", revertedFor, 2*PollInterval)
				}
				if got := f.state(3).Fencing; got < fencing {
					t.Errorf("fencing token decreased from %d to %d", fencing, got)
				}
			})
		})
	}
}

// Guards against commands after the lease has expired: a holder is paused past
// the end of its lease after it read an engine that differs and before it checks
// the lease.
func TestNoCommandAfterLeaseExpires(t *testing.T) {
	runWithFleet(t, options{checksFencing: false, engines: 4, model: "m", commanders: 2}, func(t *testing.T, f *fleet) {
		time.Sleep(firstCommandTime)
		holder := f.holderTransport()
		holder.pauseAt(readLoadCall, 2*takeoverTime)
		wrong := strings.NewReader(`{"role":"Prefill","model":"m"}`)
		resp, err := f.hosts.Client("10.0.2.1").Post("http://10.0.0.4:80/orders", "application/json", wrong)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		orders := holder.orderCount()
		time.Sleep(3 * takeoverTime)
		if sent := holder.orderCount() - orders; sent > 0 {
			t.Errorf("%d orders after the lease ended", sent)
		}
		f.wantRole(3, egretflow.RoleDecode)
	})
}

// Guards against orders that follow from a desired state that could not be
// stored, and against a pool that has no holder after the store is back.
func TestNoNewOrdersDuringStoreOutage(t *testing.T) {
	runWithFleet(t, options{checksFencing: true, engines: 2, model: "m", commanders: 2}, func(t *testing.T, f *fleet) {
		time.Sleep(firstCommandTime)
		f.store.Faults.Add(fault.Fault{Kind: fault.Outage})
		before := f.transports[0].orderCount() + f.transports[1].orderCount()
		f.setRole(0, egretflow.RoleDecode)
		time.Sleep(time.Minute)
		if sent := f.transports[0].orderCount() + f.transports[1].orderCount() - before; sent > 0 {
			t.Errorf("%d orders during the outage", sent)
		}
		f.wantRole(0, egretflow.RolePrefill)
		f.store.Faults.Clear()
		time.Sleep(takeoverTime)
		f.wantRole(0, egretflow.RoleDecode)
	})
}

// Guards against lost responses of the store and of engines that stop the
// commands or make an engine load its model again.
func TestLostResponses(t *testing.T) {
	runWithFleet(t, options{checksFencing: true, engines: 2, model: "other", loadSecs: 5, commanders: 2}, func(t *testing.T, f *fleet) {
		f.store.Faults.Add(fault.Fault{Kind: fault.LostAnswer, Count: 4})
		for _, l := range f.transports {
			l.loseNextResponses(2)
		}
		time.Sleep(2 * takeoverTime)
		for n := range 2 {
			f.wantRole(n, []egretflow.Role{egretflow.RolePrefill, egretflow.RoleDecode}[n])
			if s := f.state(n); s.State != engine.ModelReady {
				t.Errorf("server %d is %s", n, s.State)
			}
		}
	})
}

// Guards against more concurrent model loads than MaxConcurrentLoads. They share
// the throughput of the weight store, so that all of them would finish late.
func TestConcurrentLoadsAreBounded(t *testing.T) {
	runWithFleet(t, options{checksFencing: true, engines: 6, model: "other", loadSecs: 4, commanders: 1, maxLoads: 2}, func(t *testing.T, f *fleet) {
		maxLoading, ready := 0, 0
		for range 120 {
			time.Sleep(500 * time.Millisecond)
			loading := 0
			ready = 0
			for n := range 6 {
				switch s := f.state(n); {
				case s.State == engine.ModelLoading:
					loading++
				case s.Model == "m":
					ready++
				}
			}
			maxLoading = max(maxLoading, loading)
		}
		if maxLoading != 2 || ready != 6 {
			t.Errorf("up to %d loads at a time and %d engines ready, want 2 and 6", maxLoading, ready)
		}
	})
}

// Guards against role changes that take effect while the engine still runs
// requests, come earlier than RoleChangeInterval after the last one, take the last
// engine of a role, or leave the engine draining.
func TestRoleChangesFollowLastingLoad(t *testing.T) {
	runWithFleet(t, options{checksFencing: false, engines: 6, model: "m", commanders: 2}, func(t *testing.T, f *fleet) {
		time.Sleep(firstCommandTime)
		var changes []time.Duration
		start := time.Now()
		prefill := f.roles()[egretflow.RolePrefill]
		f.setLoad(RoleLoad{Prefill: 0.1, Decode: 0.95})
		const requestAt, requestTime = MinImbalanceTime - 5*time.Second, 15 * time.Second
		time.AfterFunc(requestAt, func() { f.startRequests(3, requestTime) })
		for time.Since(start) < 5*time.Minute {
			time.Sleep(time.Second)
			if now := f.roles()[egretflow.RolePrefill]; now != prefill {
				changes = append(changes, time.Since(start))
				prefill = now
			}
		}
		if len(changes) != 2 || prefill != 1 {
			t.Fatalf("changes at %v and %d prefill engines left, want 2 changes and 1", changes, prefill)
		}
		if changes[0] < requestAt+requestTime {
			t.Errorf("first change at %v, while each prefill engine ran a request", changes[0])
		}
		if changes[1]-changes[0] < RoleChangeInterval {
			t.Errorf("changes at %v are too early", changes)
		}
		for n := range 6 {
			var load engineLoad
			f.get(n, "/load", &load)
			if load.Draining {
				t.Errorf("server %d is still draining", n)
			}
		}
	})
}

// Guards against role changes when the busier role alternates, when the imbalance
// is interrupted, or when the change would only move the overload to the other
// role.
func TestRoleBalancer(t *testing.T) {
	decodeBusy, prefillBusy := RoleLoad{Prefill: 0.2, Decode: 0.9}, RoleLoad{Prefill: 0.9, Decode: 0.2}
	for _, tt := range []struct {
		name            string
		loads           []RoleLoad
		prefill, decode int
		want            egretflow.Role
	}{
		{"lasting", []RoleLoad{decodeBusy, decodeBusy, decodeBusy, decodeBusy}, 3, 3, egretflow.RoleDecode},
		{"lasting the other way", []RoleLoad{prefillBusy, prefillBusy, prefillBusy, prefillBusy}, 3, 3, egretflow.RolePrefill},
		{"alternating", []RoleLoad{decodeBusy, decodeBusy, prefillBusy, prefillBusy, decodeBusy, decodeBusy, prefillBusy}, 3, 3, ""},
		{"interrupted", []RoleLoad{decodeBusy, decodeBusy, {}, decodeBusy, decodeBusy}, 3, 3, ""},
		{"last engine", []RoleLoad{decodeBusy, decodeBusy, decodeBusy, decodeBusy}, 1, 3, ""},
		{"shifts the load", []RoleLoad{{0.55, 0.9}, {0.55, 0.9}, {0.55, 0.9}, {0.55, 0.9}}, 2, 3, ""},
		{"both idle", []RoleLoad{{0.1, 0.5}, {0.1, 0.5}, {0.1, 0.5}, {0.1, 0.5}}, 3, 3, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			d := desiredState{}
			for n := range tt.prefill + tt.decode {
				role := egretflow.RolePrefill
				if n >= tt.prefill {
					role = egretflow.RoleDecode
				}
				d.Engines = append(d.Engines, engineTarget{Role: role})
			}
			var b roleBalancer
			var got egretflow.Role
			for _, load := range tt.loads {
				if role := b.observe(load, &d, now); role != "" {
					got = role
				}
				now = now.Add(MinImbalanceTime / 3)
			}
			if got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}
