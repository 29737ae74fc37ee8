package scheduler

import (
	"testing"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/picker"
)

const (
	// simRate is the number of prompt tokens/s that four prefill servers
	// compute, simCapacity the requests/s at 3,750 tokens each.
	simRate     = 4 * 10000
	simCapacity = simRate / 3750.0
)

func all(*outcome) bool { return true }

func ofImportance(i egretflow.Importance) func(o *outcome) bool {
	return func(o *outcome) bool { return o.work.Importance == i }
}

// The targets of section 14 at 1.5 times capacity.
func TestPeakLoad(t *testing.T) {
	goodput := map[picker.Policy]float64{}
	for _, policy := range picker.Policies {
		v := &violations{}
		s := newSimulation(policy, 4, 4, v)
		s.stream(1, 0, 30*time.Second, 1.5*simCapacity)
		s.run(40 * time.Second)
		goodput[policy] = s.share(all)
		critical, low := s.share(ofImportance(egretflow.ImportanceCritical)), s.share(ofImportance(egretflow.ImportanceLow))
		waste := float64(s.wasted) / float64(s.tokens(0, 64))
		t.Logf("%s: in time %.3f, critical %.3f, low %.3f, wasted prefill %.4f, computed %d of %d tokens", policy, goodput[policy], critical, low, waste, s.tokens(0, 30), 30*simRate)
		if policy != picker.PolicyJoint {
			continue
		}
		if critical < 0.99 || waste > 0.01 {
			t.Errorf("critical in time %.3f, wasted prefill %.4f, want at least 0.99 and at most 0.01", critical, waste)
		}
		for _, violation := range v.list {
			t.Error(violation)
		}
	}
	if joint := goodput[picker.PolicyJoint]; joint < 1.5*goodput[picker.PolicyRoundRobin] || joint < 1.2*goodput[picker.PolicyPowerOfTwo] {
		t.Errorf("goodput %v, want 1.5 times RoundRobin and 1.2 times PowerOfTwo", goodput)
	}
}

// A surge of three times the capacity from 8 s to 14 s must keep the engines
// busy, and two seconds later, when its last request has left the queue, be
// without effect (5.7).
func TestSurgeRecovers(t *testing.T) {
	base := func(surge bool) (*simulation, map[time.Time]bool) {
		s := newSimulation(picker.PolicyJoint, 4, 4, &violations{})
		s.stream(1, 0, 30*time.Second, 0.6*simCapacity)
		if surge {
			s.stream(2, 8*time.Second, 14*time.Second, 2.4*simCapacity)
		}
		s.run(40 * time.Second)
		missed := map[time.Time]bool{}
		for _, o := range s.outcomes {
			if o.work.ArrivedAt.Sub(s.begin) > 16*time.Second && !o.inTime() {
				missed[o.work.ArrivedAt] = true
			}
		}
		return s, missed
	}
	_, without := base(false)
	s, with := base(true)
	t.Logf("missed after 16 s: %d without surge, %d with; computed in the surge %d of %d tokens", len(without), len(with), s.tokens(9, 14), 5*simRate)
	if got := s.tokens(9, 14); got < 5*simRate*9/10 {
		t.Errorf("computed %d of %d tokens during the surge", got, 5*simRate)
	}
	for at := range with {
		if !without[at] {
			t.Errorf("request at %v missed its target only because of the surge", at.Sub(s.begin))
		}
	}
}

// p99 time to first token with stragglers is at most 1.3 times without (14). A
// prefill and a decode server are five times slower for 5 s of every 15 s.
func TestStragglerIsAvoided(t *testing.T) {
	p99 := func(slow func(at time.Duration) float64) time.Duration {
		s := newSimulation(picker.PolicyJoint, 6, 6, &violations{})
		s.engines["b"].slow, s.engines["h"].slow = slow, slow
		s.stream(1, 0, 50*time.Second, 0.6*simCapacity)
		s.run(60 * time.Second)
		times := s.firstTokens()
		return times[len(times)*99/100]
	}
	without := p99(nil)
	with := p99(func(at time.Duration) float64 {
		if at%(15*time.Second) > 10*time.Second {
			return 5
		}
		return 1
	})
	t.Logf("p99 without %v, with %v", without, with)
	if with > without*13/10 {
		t.Errorf("p99 with a straggler %v, want at most 1.3 times %v", with, without)
	}
}
