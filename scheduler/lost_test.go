package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/picker"
)

// peerStepper returns a scheduler with peers and a pool of one prefill and three
// decode servers whose places are counted in blocks; prompts take no time.
func peerStepper(t *testing.T, now *time.Time) *Stepper {
	s := NewStepper(Config{
		Instance: "i", Clock: func() time.Time { return *now }, Rand: rand.New(rand.NewPCG(1, 2)), Recorder: fakeRecorder{},
		Checker: fakeChecker{t}, Sharing: picker.SharingPeers,
	})
	tables := testTables(1, 3, 20)
	tables.Pools[0].Servers[0].Slots, tables.Pools[0].Servers[0].PrefillTokensPerSecond = 100, 1e6
	s.Apply(tables)
	return s
}

// placesOn returns how many of the requests were placed on the server.
func placesOn(t *testing.T, s *Stepper, now time.Time, server egretflow.ServerName) (placed int) {
	t.Helper()
	for range 40 {
		w := testWork("q")
		w.Idempotent, w.ArrivedAt, w.FirstTokenBy = true, now, now.Add(5*time.Second)
		wait := s.Acquire(w)
		a, done, err := wait.Result()
		if !done || err != nil {
			t.Fatalf("no place: %v", err)
		}
		if a.Decode.Name == server {
			placed++
		}
		s.Release(egretflow.Release{Attempt: a.Attempt})
	}
	return placed
}

// Guards against requests that all try an engine without a process, because its
// memory looks free: each of them loses a try, and at each instance anew.
func TestLostServerTakesNoWork(t *testing.T) {
	tests := []struct {
		name   string
		o      egretflow.Observation
		period time.Duration
		told   bool
	}{
		{"connection refused", egretflow.Observation{Kind: egretflow.ObservationCrashed, Unsent: true}, lostPeriod, true},
		{"another server at the address", egretflow.Observation{Kind: egretflow.ObservationReplaced}, replacedPeriod, true},
		{"silent", egretflow.Observation{Kind: egretflow.ObservationSilent}, lostPeriod, false},
		{"broken connection", egretflow.Observation{Kind: egretflow.ObservationFailed}, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			s, peer := peerStepper(t, &now), peerStepper(t, &now)
			test.o.Server = "b"
			s.Observe(test.o)
			load := s.task.prefillLoad(now)
			if told := len(load.Lost) > 0; told != test.told {
				t.Errorf("peers are told: %v, want %v", told, test.told)
			}
			peer.task.applyPrefillLoad("i", &load)
			if test.period > 0 && placesOn(t, s, now, "b") > 0 {
				t.Error("the lost server took work")
			}
			if test.told && placesOn(t, peer, now, "b") > 0 {
				t.Error("the server took work of a peer that was told")
			}
			now = now.Add(test.period + time.Millisecond)
			s.Tick()
			peer.Tick()
			if placesOn(t, peer, now, "b") == 0 {
				t.Error("the server takes no work of a peer after the period")
			}
			if len(s.task.prefillLoad(now).Lost) > 0 {
				t.Error("peers are told of a loss that is over")
			}
		})
	}
}

// Guards against losses that two instances tell each other for ever.
func TestHeardLossIsNotToldOn(t *testing.T) {
	now := time.Unix(1000, 0)
	s := peerStepper(t, &now)
	s.task.applyPrefillLoad("i", &egretflow.PrefillLoad{Lost: []egretflow.LostServer{{Server: "b", LeftMS: 500}}})
	if lost := s.task.prefillLoad(now).Lost; len(lost) > 0 {
		t.Errorf("told on: %v", lost)
	}
}
