package scheduler

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"

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

// Guards against a request that is lost after its target because the other prefill server is full for a moment.
func TestReplaceWaitsWhileCallerWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		tables := testTables(2, 1, 4)
		tables.Pools[0].Servers[0].Slots, tables.Pools[0].Servers[1].Slots = 1, 1
		s := startScheduler(ctx, t, picker.SharingNone, tables)
		w := testWork("1")
		w.GiveUpBy = time.Now().Add(5 * time.Second)
		first, err := s.Acquire(ctx, w)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(1200 * time.Millisecond) // its prefill server is silent
		other, err := s.Acquire(ctx, testWork("2"))
		if err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(300*time.Millisecond, func() { s.Release(egretflow.Release{Attempt: other.Attempt, PrefillOnly: true}) })
		next := *first
		work := *first.Work
		work.Avoid = []egretflow.ServerName{first.Prefill.Name}
		next.Work = &work
		if _, err := s.Replace(ctx, &next); err != nil {
			t.Errorf("replace %v before the caller gives up: %v", time.Until(w.GiveUpBy), err)
		}
	})
}
