package picker

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
)

// grantedPool returns a pool whose slots come from grants: all slots of d0 and
// the given number of each prefill server.
func grantedPool(granted ...int) *Pool {
	_, table := testPool(len(granted), 1, nil)
	p := NewPool(rand.New(rand.NewPCG(1, 2)), SharingGrants)
	p.Apply(table, start)
	expires := start.Add(2 * time.Second)
	p.Grant(egretflow.Grant{Server: "d0", Slots: 20, ExpiresAt: expires}, start)
	for n, slots := range granted {
		p.Grant(egretflow.Grant{Server: table.Servers[n].Name, Slots: slots, ExpiresAt: expires}, start)
	}
	return p
}

// Guards against instances that together overload a prefill server because
// starts beyond the grant are not bounded, and against an important request
// that waits for the next exchange because none are allowed.
func TestStartsBeyondGrantAreBounded(t *testing.T) {
	busy := []egretflow.Backlog{{Server: "p0", Tokens: 3000}}
	tests := []struct {
		name       string
		granted    int
		importance egretflow.Importance
		after      time.Duration
		prepare    func(p *Pool)
		want       int
	}{
		{"critical beyond a grant of one", 1, egretflow.ImportanceCritical, 0, func(p *Pool) { p.ApplyBacklogs("b", busy, start) }, 2},
		{"critical with a grant of none", 0, egretflow.ImportanceCritical, 0, nil, 0},
		{"high on a busy server", 0, egretflow.ImportanceHigh, 0, func(p *Pool) { p.ApplyBacklogs("b", busy, start) }, 0},
		{"low on an idle server", 1, egretflow.ImportanceLow, 0, nil, 1},
		{"expired grant", 1, egretflow.ImportanceCritical, 3 * time.Second, nil, 0},
		{"draining server", 1, egretflow.ImportanceCritical, 0, func(p *Pool) {
			p.ApplyLoadReport(p.servers["p0"], &egretflow.LoadReport{MeasuredAt: start, Draining: true}, start)
		}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := grantedPool(test.granted)
			if test.prepare != nil {
				test.prepare(p)
			}
			w, now := testWork(300), start.Add(test.after)
			w.Importance = test.importance
			started := 0
			for range 3 {
				pl, ok := p.Pick(w, Options{}, now)
				if !ok {
					break
				}
				p.Reserve(&pl, w, now)
				started++
			}
			if started != test.want {
				t.Errorf("%d prefills started, want %d", started, test.want)
			}
		})
	}
}

// Guards against a prompt that queues behind prefills of other instances while
// another server is idle.
func TestPickAvoidsPeerBacklog(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(p *Pool)
		after   time.Duration
		want    float64
	}{
		{"sum of two peers", func(p *Pool) {
			p.ApplyBacklogs("b", []egretflow.Backlog{{Server: "p0", Tokens: 2000}}, start)
			p.ApplyBacklogs("c", []egretflow.Backlog{{Server: "p0", Tokens: 1000}}, start)
		}, 0, 0.3},
		{"computed meanwhile", func(p *Pool) {
			p.ApplyBacklogs("b", []egretflow.Backlog{{Server: "p0", Tokens: 2000}}, start)
		}, 50 * time.Millisecond, 0.15},
		{"replaced by the next message", func(p *Pool) {
			p.ApplyBacklogs("b", []egretflow.Backlog{{Server: "p0", Tokens: 2000}}, start)
			p.ApplyBacklogs("b", nil, start)
		}, 0, 0},
		{"peer whose last report has expired", func(p *Pool) {
			p.ApplyBacklogs("b", []egretflow.Backlog{{Server: "p0", Tokens: 20000}}, start)
		}, 1100 * time.Millisecond, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := grantedPool(2, 2)
			test.prepare(p)
			now := start.Add(test.after)
			if got := p.servers["p0"].backlog(now); got < test.want-0.001 || got > test.want+0.001 {
				t.Errorf("backlog %v s, want %v", got, test.want)
			}
			if pl, ok := p.Pick(testWork(300), Options{}, now); test.want > 0 && (!ok || pl.Prefill.Spec.Name != "p1") {
				t.Errorf("picked %v, want the server without a backlog", pl.Prefill)
			}
		})
	}
}

// Guards against servers that are taken for stragglers, and lose their capacity
// for a second or more, because a prompt of another instance ran first.
func TestPeerPromptDoesNotRaisePrefillRatio(t *testing.T) {
	p := grantedPool(2)
	p.meanUncachedTokens = 3000
	w := testWork(3000)
	pl := mustPick(t, p, w, Options{})
	p.Reserve(&pl, w, start)
	for _, test := range []struct{ took, want float64 }{{0.31, 1}, {0.61, 1}, {1.23, 3}} {
		got, ok := pl.PrefillRatio(toDuration(test.took), 3000)
		if !ok || got < test.want-0.01 || got > test.want+0.01 {
			t.Errorf("ratio of %v s = %v, want %v", test.took, got, test.want)
		}
	}
}
