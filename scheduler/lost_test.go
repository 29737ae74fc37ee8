package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/picker"
)

// newPeerStepper returns a Stepper with picker.SharingCoordinated and a pool of one
// prefill and three decode servers whose slots are counted in blocks. Its prompts
// take almost no time.
func newPeerStepper(t *testing.T, now *time.Time) *Stepper {
	s := NewStepper(Config{
		Instance: "i", Clock: func() time.Time { return *now }, Rand: rand.New(rand.NewPCG(1, 2)), Recorder: fakeRecorder{},
		Checker: fakeChecker{t}, Sharing: picker.SharingCoordinated,
	})
	tables := testTables(1, 3, 20)
	tables.Pools[0].Servers[0].Slots, tables.Pools[0].Servers[0].PrefillTokensPerSecond = 100, 1e6
	s.Apply(tables)
	return s
}

// assignmentsOn sends 40 requests and returns how many were assigned to the decode
// server.
func assignmentsOn(t *testing.T, s *Stepper, now time.Time, server egretflow.ServerName) (assigned int) {
	t.Helper()
	for range 40 {
		w := testWork("q")
		w.Idempotent, w.ArrivedAt, w.FirstTokenBy = true, now, now.Add(5*time.Second)
		wait := s.Acquire(w)
		a, done, err := wait.Result()
		if !done || err != nil {
			t.Fatalf("no assignment: %v", err)
		}
		if a.Decode.Name == server {
			assigned++
		}
		s.Release(egretflow.Release{Attempt: a.Attempt})
	}
	return assigned
}

// Guards against requests that are all sent first to an engine without a process,
// because its memory looks free: each of them loses an attempt, at every instance.
func TestLostServerTakesNoWork(t *testing.T) {
	tests := []struct {
		name     string
		o        egretflow.Observation
		period   time.Duration
		reported bool
	}{
		{"connection refused", egretflow.Observation{Kind: egretflow.ObservationCrashed, Unsent: true}, lostPeriod, true},
		{"crashed during a request", egretflow.Observation{Kind: egretflow.ObservationCrashed}, lostPeriod, true},
		{"another server at the address", egretflow.Observation{Kind: egretflow.ObservationReplaced}, replacedPeriod, true},
		{"silent", egretflow.Observation{Kind: egretflow.ObservationSilent}, lostPeriod, false},
		{"broken connection", egretflow.Observation{Kind: egretflow.ObservationFailed}, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			s, peer := newPeerStepper(t, &now), newPeerStepper(t, &now)
			test.o.Server = "b"
			s.Observe(test.o)
			hints := s.task.serverHints(now)
			if reported := len(hints.Lost) > 0; reported != test.reported {
				t.Errorf("the loss is reported to peers: %v, want %v", reported, test.reported)
			}
			peer.task.applyServerHints(&hints)
			if test.period > 0 && assignmentsOn(t, s, now, "b") > 0 {
				t.Error("the lost server took work")
			}
			if test.reported && assignmentsOn(t, peer, now, "b") > 0 {
				t.Error("the lost server took work of a peer that received the report")
			}
			now = now.Add(test.period + time.Millisecond)
			s.Tick()
			peer.Tick()
			if assignmentsOn(t, peer, now, "b") == 0 {
				t.Error("the server takes no work of a peer after the period")
			}
			if len(s.task.serverHints(now).Lost) > 0 {
				t.Error("a loss that is over is reported to peers")
			}
		})
	}
}

// Guards against a loss that two instances report to each other without end.
func TestPeerLossIsNotForwarded(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newPeerStepper(t, &now)
	s.task.applyServerHints(&egretflow.ServerHints{Lost: []egretflow.LostServer{{Server: "b", RemainingMS: 500}}})
	if lost := s.task.serverHints(now).Lost; len(lost) > 0 {
		t.Errorf("losses that a peer reported are forwarded: %v", lost)
	}
}
