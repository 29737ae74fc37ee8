package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/limiter"
	"github.com/egretflow/egretflow/picker"
)

// Guards against retries that find no budget because refused ones have spent it.
func TestRefusedRetrySpendsNoBudget(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewStepper(Config{
		Instance: "i", Clock: func() time.Time { return now }, Rand: rand.New(rand.NewPCG(1, 2)), Recorder: fakeRecorder{},
		Checker: fakeChecker{t}, Sharing: picker.SharingCoordinated,
		SharedRetryBudget: &SharedRetryBudget{
			SharedBudgetConfig: limiter.SharedBudgetConfig{Ratio: 0.1, Window: 10 * time.Second},
			Share:              func(egretflow.PoolName, egretflow.PoolKind) float64 { return 1 },
		},
	})
	s.Apply(&egretflow.Tables{Revision: 1, Routes: []egretflow.Route{{Name: "r", Pool: "desk"}}, Pools: []egretflow.Pool{{
		Name: "desk", Kind: egretflow.PoolKindService, Servers: []egretflow.Server{{Name: "s", Role: egretflow.RoleService, Slots: 2}},
	}}})
	work := func(id string, retry bool) *egretflow.Work {
		return &egretflow.Work{Request: egretflow.RequestID(id), Route: "r", Pool: "desk", Importance: egretflow.ImportanceNormal, ArrivedAt: now, Retry: retry}
	}
	for n := range 50 { // earns 5 extra attempts
		a, _, err := s.Acquire(work(fmt.Sprint(n), false)).Result()
		if err != nil {
			t.Fatal(err)
		}
		s.Release(egretflow.Release{Attempt: a.Attempt})
	}
	if _, _, err := s.Acquire(work("running", false)).Result(); err != nil {
		t.Fatal(err)
	}
	for n := range 5 {
		late := work(fmt.Sprint("late", n), true)
		late.ArrivedAt, late.FirstTokenBy, late.GiveUpBy = now.Add(-3*time.Second), now.Add(-time.Second), now.Add(-time.Second)
		if _, done, err := s.Acquire(late).Result(); !done || err == nil {
			t.Fatalf("late retry %d: done %v, error %v; want a refusal", n, done, err)
		}
	}
	if _, done, err := s.Acquire(work("retry", true)).Result(); !done || err != nil {
		t.Errorf("retry while no extra attempt was made: done %v, error %v", done, err)
	}
}
