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
	firstCommand = LeaseTTL + CommandTimeout + 3*Interval
	takeover     = LeaseTTL + firstCommand
)

// A new holder must not command engines that ignore the token before the orders
// of an earlier holder have arrived or failed.
func TestOrdersFollowTables(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks=%v", checks), func(t *testing.T) {
			inFleet(t, options{checks: checks, engines: 4, model: "other", commanders: 2, maxLoads: 4}, func(t *testing.T, f *fleet) {
				time.Sleep(LeaseTTL)
				if ordered := f.state(0).Model == "m"; ordered != checks {
					t.Errorf("ordered %v within the lease TTL, want %v", ordered, checks)
				}
				time.Sleep(firstCommand - LeaseTTL)
				f.wantRole(0, egretflow.RolePrefill)
				f.wantRole(3, egretflow.RoleDecode)
				f.setRole(3, egretflow.RolePrefill)
				time.Sleep(3 * Interval)
				f.wantRole(3, egretflow.RolePrefill)
				orders := f.lines[0].count() + f.lines[1].count()
				time.Sleep(time.Minute)
				if more := f.lines[0].count() + f.lines[1].count() - orders; more > 0 {
					t.Errorf("%d orders although nothing differs", more)
				}
			})
		})
	}
}

// A holder that is paused past its lease sends its order late. An engine that
// checks the token must reject it; one that ignores it must be back at the
// successor's order after about a second.
func TestPausedHolder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks=%v", checks), func(t *testing.T) {
			inFleet(t, options{checks: checks, engines: 4, model: "m", commanders: 2}, func(t *testing.T, f *fleet) {
				time.Sleep(firstCommand)
				const pause = 2 * takeover
				f.holder().pauseAt(sendOrder, pause)
				f.setRole(3, egretflow.RolePrefill)
				time.Sleep(takeover)
				f.setRole(3, egretflow.RoleDecode)
				time.Sleep(3 * Interval)
				f.wantRole(3, egretflow.RoleDecode)
				fencing := f.state(3).Fencing
				undone := time.Duration(0)
				for range int(pause / (100 * time.Millisecond)) {
					time.Sleep(100 * time.Millisecond)
					if f.state(3).Role != egretflow.RoleDecode {
						undone += 100 * time.Millisecond
					}
				}
				if checks && undone > 0 {
					t.Errorf("the order of the successor was undone for %v", undone)
				}
				if !checks && (undone == 0 || undone > 2*Interval) {
					t.Errorf("the late order was in effect for %v, want more than 0 and at most %v", undone, 2*Interval)
				}
				if got := f.state(3).Fencing; got < fencing {
					t.Errorf("fencing token fell from %d to %d", fencing, got)
				}
			})
		})
	}
}

// A holder that is paused past its lease before it checks the lease must send
// nothing, also when it saw an engine that differs.
func TestPauseBeforeCheck(t *testing.T) {
	inFleet(t, options{checks: false, engines: 4, model: "m", commanders: 2}, func(t *testing.T, f *fleet) {
		time.Sleep(firstCommand)
		holder := f.holder()
		holder.pauseAt(readLoad, 2*takeover)
		wrong := strings.NewReader(`{"role":"Prefill","model":"m"}`)
		resp, err := f.hosts.Client("10.0.2.1").Post("http://10.0.0.4:80/orders", "application/json", wrong)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		orders := holder.count()
		time.Sleep(3 * takeover)
		if sent := holder.count() - orders; sent > 0 {
			t.Errorf("%d orders after the lease ended", sent)
		}
		f.wantRole(3, egretflow.RoleDecode)
	})
}

// Without the store no new desired state is commanded, and the pool has a
// holder again after the outage.
func TestStoreOutage(t *testing.T) {
	inFleet(t, options{checks: true, engines: 2, model: "m", commanders: 2}, func(t *testing.T, f *fleet) {
		time.Sleep(firstCommand)
		f.store.Faults.Add(fault.Fault{Kind: fault.Outage})
		before := f.lines[0].count() + f.lines[1].count()
		f.setRole(0, egretflow.RoleDecode)
		time.Sleep(time.Minute)
		if sent := f.lines[0].count() + f.lines[1].count() - before; sent > 0 {
			t.Errorf("%d orders during the outage", sent)
		}
		f.wantRole(0, egretflow.RolePrefill)
		f.store.Faults.Clear()
		time.Sleep(takeover)
		f.wantRole(0, egretflow.RoleDecode)
	})
}

// Lost answers of the store and of engines must not stop commands or repeat a
// model load.
func TestLostAnswers(t *testing.T) {
	inFleet(t, options{checks: true, engines: 2, model: "other", loadSecs: 5, commanders: 2}, func(t *testing.T, f *fleet) {
		f.store.Faults.Add(fault.Fault{Kind: fault.LostAnswer, Count: 4})
		for _, l := range f.lines {
			l.loseNext(2)
		}
		time.Sleep(2 * takeover)
		for n := range 2 {
			f.wantRole(n, []egretflow.Role{egretflow.RolePrefill, egretflow.RoleDecode}[n])
			if s := f.state(n); s.State != engine.LoadReady {
				t.Errorf("server %d is %s", n, s.State)
			}
		}
	})
}

// More loads than the weight store's rate allows make all of them late.
func TestBoundedLoads(t *testing.T) {
	inFleet(t, options{checks: true, engines: 6, model: "other", loadSecs: 4, commanders: 1, maxLoads: 2}, func(t *testing.T, f *fleet) {
		most, ready := 0, 0
		for range 120 {
			time.Sleep(500 * time.Millisecond)
			loading := 0
			ready = 0
			for n := range 6 {
				switch s := f.state(n); {
				case s.State == engine.LoadLoading:
					loading++
				case s.Model == "m":
					ready++
				}
			}
			most = max(most, loading)
		}
		if most != 2 || ready != 6 {
			t.Errorf("up to %d loads at a time and %d engines ready, want 2 and 6", most, ready)
		}
	})
}

// Role changes follow a lasting load, drain first, keep the distance of
// ChangeInterval and leave an engine in each role.
func TestRoleChanges(t *testing.T) {
	inFleet(t, options{checks: false, engines: 6, model: "m", commanders: 2}, func(t *testing.T, f *fleet) {
		time.Sleep(firstCommand)
		var changes []time.Duration
		start := time.Now()
		prefill := f.roles()[egretflow.RolePrefill]
		f.setLoad(RoleLoad{Prefill: 0.1, Decode: 0.95})
		const requestAt, requestTime = HoldTime - 5*time.Second, 15 * time.Second
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
		if changes[1]-changes[0] < ChangeInterval {
			t.Errorf("changes at %v are too early", changes)
		}
		for n := range 6 {
			var load engineLoad
			f.get(n, "/load", &load)
			if load.Draining {
				t.Errorf("server %d still drains", n)
			}
		}
	})
}

// A load that changes sides, or one that a change would only shift to the other
// role, must not change roles.
func TestBalance(t *testing.T) {
	low, high := RoleLoad{Prefill: 0.2, Decode: 0.9}, RoleLoad{Prefill: 0.9, Decode: 0.2}
	for _, tt := range []struct {
		name            string
		loads           []RoleLoad
		prefill, decode int
		want            egretflow.Role
	}{
		{"lasting", []RoleLoad{low, low, low, low}, 3, 3, egretflow.RoleDecode},
		{"lasting the other way", []RoleLoad{high, high, high, high}, 3, 3, egretflow.RolePrefill},
		{"alternating", []RoleLoad{low, low, high, high, low, low, high}, 3, 3, ""},
		{"interrupted", []RoleLoad{low, low, {}, low, low}, 3, 3, ""},
		{"last engine", []RoleLoad{low, low, low, low}, 1, 3, ""},
		{"shifts the load", []RoleLoad{{0.55, 0.9}, {0.55, 0.9}, {0.55, 0.9}, {0.55, 0.9}}, 2, 3, ""},
		{"both idle", []RoleLoad{{0.1, 0.5}, {0.1, 0.5}, {0.1, 0.5}, {0.1, 0.5}}, 3, 3, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			d := desired{}
			for n := range tt.prefill + tt.decode {
				role := egretflow.RolePrefill
				if n >= tt.prefill {
					role = egretflow.RoleDecode
				}
				d.Engines = append(d.Engines, engineTarget{Role: role})
			}
			var b balance
			var got egretflow.Role
			for _, load := range tt.loads {
				if role := b.observe(load, &d, now); role != "" {
					got = role
				}
				now = now.Add(HoldTime / 3)
			}
			if got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}
