package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/picker"
)

// Guards against a call on a silent server that gets no other server, because it takes the last place of the call window itself.
func TestCallWindowLeavesRoomForSuccessor(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewStepper(Config{
		Instance: "i", Clock: func() time.Time { return now }, Rand: rand.New(rand.NewPCG(1, 2)), Recorder: fakeRecorder{},
		Checker: fakeChecker{t}, Sharing: picker.SharingCoordinated,
	})
	s.Apply(&egretflow.Tables{Revision: 1, Routes: []egretflow.Route{{Name: "r", Pool: "desk", Idempotent: true}}, Pools: []egretflow.Pool{{
		Name: "desk", Kind: egretflow.PoolKindService, Servers: []egretflow.Server{
			{Name: "s", Role: egretflow.RoleService, Slots: 8}, {Name: "u", Role: egretflow.RoleService, Slots: 8},
		},
	}}})
	work := func(id string) *egretflow.Work {
		return &egretflow.Work{Request: egretflow.RequestID(id), Route: "r", Pool: "desk", Importance: egretflow.ImportanceNormal, Idempotent: true,
			ArrivedAt: now, FirstTokenBy: now.Add(300 * time.Millisecond), GiveUpBy: now.Add(1700 * time.Millisecond)}
	}
	acquire := func(w *egretflow.Work) *egretflow.Assignment {
		a, _, err := s.Acquire(w).Result()
		if err != nil || a == nil {
			t.Fatalf("acquire: %v, %v", a, err)
		}
		return a
	}
	for n := range 100 { // earns retries
		s.Release(egretflow.Release{Attempt: acquire(work(fmt.Sprint(n))).Attempt})
	}
	refused := acquire(work("refused")) // the window shrinks to one call
	s.Observe(egretflow.Observation{Kind: egretflow.ObservationRefused, Server: refused.Decode.Name, Attempt: refused.Attempt, StartedAt: now, EndedAt: now})
	s.Release(egretflow.Release{Attempt: refused.Attempt})
	now = now.Add(2 * time.Second)
	s.Tick()
	first := work("silent")
	running := acquire(first)
	now = now.Add(1200 * time.Millisecond) // its server is silent
	s.Tick()
	next := *first
	next.Retry, next.Overlaps, next.FirstTokenBy, next.Avoid = true, true, first.GiveUpBy, []egretflow.ServerName{running.Decode.Name}
	wait := s.Acquire(&next)
	for range 100 {
		now = now.Add(5 * time.Millisecond)
		s.Tick()
	}
	if a, done, err := wait.Result(); a == nil {
		t.Errorf("no successor, though the other server is idle: done %v, %v", done, err)
	}
}
