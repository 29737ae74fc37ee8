package gossiper

import (
	"reflect"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
)

// Guards against crash reports and hints that do not spread, or that are sent without
// end.
func TestReportsSpread(t *testing.T) {
	runFleet(t, 2, 5, func(x *fleet) {
		from := x.members()[0]
		from.state.mu.Lock()
		from.state.hints.Changing = []egretflow.ServerName{"d0"}
		from.state.crashes = []egretflow.CrashReport{{Fingerprint: 9, Servers: []egretflow.ServerName{"d0"}, ExpiresAt: time.Now().Add(time.Minute)}}
		from.state.mu.Unlock()
		time.Sleep(10 * MemberInterval)
		for _, m := range x.members()[1:] {
			if len(m.state.received) == 0 || m.state.merged == 0 || m.state.merged > crashSends {
				t.Errorf("%s received %d hints and %d crash reports", m.cfg.Self.Name, len(m.state.received), m.state.merged)
			}
		}
	})
}

// Guards against instances that run a request which crashes servers for seconds after
// another one has found that: a subscriber's report passes its relay, the other members
// and their subscribers.
func TestCrashReportReachesAllSoon(t *testing.T) {
	for _, perDomain := range []int{3, 100} {
		runFleet(t, 3, perDomain, func(x *fleet) {
			for _, i := range x.instances {
				i.state.forwards = true
			}
			from, before := x.instances[len(x.instances)-1], x.datagrams()
			from.state.MergeCrashReports([]egretflow.CrashReport{{Fingerprint: 9, Servers: []egretflow.ServerName{"d0"}, ExpiresAt: time.Now().Add(time.Minute)}})
			from.Wake()
			time.Sleep(MemberInterval / 2)
			missing := 0
			for _, i := range x.instances {
				if n, _ := i.state.mergedReports(); n == 0 {
					missing++
				}
			}
			if missing > 0 {
				t.Errorf("%d of %d instances have not learned of the crash", missing, len(x.instances))
			}
			members := len(x.members())
			if sent, most := x.datagrams()-before, 5*len(x.instances)+4*members*members; sent > most {
				t.Errorf("%d datagrams for one report, want at most %d", sent, most)
			}
		})
	}
}

// Guards against an instance that restarts after the first reports of a crashing part
// and lets requests with it crash servers again, and against a report that turns from
// one about a part into one about a request.
func TestReportsOfSeveralLossesAreRepeated(t *testing.T) {
	runFleet(t, 2, 5, func(x *fleet) {
		from, to := x.members()[0], x.members()[1]
		report := egretflow.CrashReport{Fingerprint: 9, Part: true, Servers: []egretflow.ServerName{"d0", "d1"}, ExpiresAt: time.Now().Add(time.Minute)}
		from.state.mu.Lock()
		from.state.crashes = []egretflow.CrashReport{report}
		from.state.mu.Unlock()
		time.Sleep(10 * MemberInterval)
		before, _ := to.state.mergedReports()
		time.Sleep(crashRepeatInterval + MemberInterval)
		after, part := to.state.mergedReports()
		if sent := after - before; sent == 0 || sent > 2 {
			t.Errorf("%d reports in %v, want one", sent, crashRepeatInterval+MemberInterval)
		}
		if !part {
			t.Error("the report does not say that it is about a part")
		}
	})
}

// Guards against a suspect set of which peers know one member only, so that they refuse
// every request with it, and against names of other parts that are taken for servers.
func TestReportKeepsOtherParts(t *testing.T) {
	now := time.Unix(1000, 0)
	sent := egretflow.CrashReport{
		Fingerprint: 7, Others: []egretflow.PartHash{5, 0xdead}, Servers: []egretflow.ServerName{"a", "b"}, ExpiresAt: now.Add(time.Minute), Part: true, Shared: true,
	}
	g := &Gossiper{sendCounts: map[crashKey]crashSent{}}
	data, err := encode(&message{Kind: kindMember, From: "a", Crashes: g.crashesToSend([]egretflow.CrashReport{sent}, now)})
	if err != nil {
		t.Fatal(err)
	}
	m, err := decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if got := crashReports(m.Crashes, now); !reflect.DeepEqual(got, []egretflow.CrashReport{sent}) {
		t.Errorf("received %+v, want %+v", got, sent)
	}
}
