package estimator

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// feed gives every server of the group the same ratio, rounds times.
func feed(servers []*Server, ratio float64, rounds int) {
	for range rounds {
		for _, s := range servers {
			s.Observe(ratio, start)
		}
	}
}

func newServers(n int) []*Server {
	g := NewGroup()
	servers := make([]*Server, n)
	for i := range servers {
		servers[i] = g.Add()
	}
	return servers
}

func TestSuspectIsRelativeToMedian(t *testing.T) {
	tests := []struct {
		name  string
		fleet float64
		first []float64
		want  bool
	}{
		{"nominal speed", 1, []float64{1, 1}, false},
		{"one outlier in noise", 1, []float64{2.5}, false},
		{"straggler is found by its second request", 1, []float64{4, 4}, true},
		{"straggler in a slow fleet", 3, []float64{9, 9, 9}, true},
		{"slow fleet has no straggler", 3, []float64{3, 3}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			servers := newServers(6)
			feed(servers, test.fleet, 20)
			for _, ratio := range test.first {
				servers[0].Observe(ratio, start)
			}
			if got := servers[0].Suspect(); got != test.want {
				t.Errorf("Suspect = %v, want %v", got, test.want)
			}
		})
	}
}

// A fleet that turns slow at once must not stay suspect, or nothing is left to
// choose from.
func TestSlowFleetIsNotSuspectForLong(t *testing.T) {
	servers := newServers(6)
	feed(servers, 1, 20)
	feed(servers, 4, 20)
	for n, s := range servers {
		if s.Suspect() {
			t.Errorf("server %d is still suspect", n)
		}
	}
}

// A straggler that is probed too often slows one request per probe; one that is
// never probed is lost capacity.
func TestProbesGrowApartAndRecover(t *testing.T) {
	servers := newServers(6)
	feed(servers, 1, 20)
	s := servers[0]
	s.Fail(start)
	now := start
	var gaps []time.Duration
	for last := start; len(gaps) < 8; {
		now = now.Add(10 * time.Millisecond)
		if s.ProbeDue(now) {
			gaps = append(gaps, now.Sub(last))
			last = now
			s.StartProbe(now)
			s.Observe(5, now)
		}
	}
	for n := 1; n < len(gaps); n++ {
		if gaps[n] < gaps[n-1] || gaps[n] > LastProbe+10*time.Millisecond {
			t.Errorf("gaps between probes %v do not grow up to %v", gaps, LastProbe)
		}
	}
	s.StartProbe(now)
	if got := s.Observe(1, now); got != ChangeRecovered || s.Suspect() {
		t.Errorf("fast probe: change %q, suspect %v, want recovered", got, s.Suspect())
	}
}

// Work that never finishes gives no observation of its own.
func TestOverdueWorkMakesSuspect(t *testing.T) {
	servers := newServers(6)
	feed(servers, 1, 20)
	if got := servers[0].Overdue(3, start); got != ChangeSuspect {
		t.Errorf("Overdue(3) = %q, want %q", got, ChangeSuspect)
	}
	if got := servers[1].Overdue(0.5, start); got != ChangeNone || servers[1].Factor() != 1 {
		t.Errorf("Overdue(0.5) = %q with factor %v, want no change", got, servers[1].Factor())
	}
}
