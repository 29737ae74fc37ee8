package scheduler

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/picker"
)

type fakeRecorder struct{}

func (fakeRecorder) Record(egretflow.Event) {}

// fakeChecker fails the test on a violation.
type fakeChecker struct{ t *testing.T }

func (c fakeChecker) Check(i egretflow.Invariant, holds bool, _ egretflow.RequestID, detail string) {
	if !holds {
		c.t.Errorf("invariant %s violated: %s", i, detail)
	}
}

// testTables returns tables with one model pool of prefill servers with four slots
// each and decode servers with the given slots each, named "a", "b" and so on,
// prefill servers first.
func testTables(prefill, decode, slots int) *egretflow.Tables {
	p := egretflow.Pool{Name: "letters", Kind: egretflow.PoolKindModel, Model: "letter-writers", KVBytesPerToken: 1 << 10, TokenGap: egretflow.Duration(30 * time.Millisecond)}
	for n := range prefill + decode {
		s := egretflow.Server{Name: egretflow.ServerName(rune('a' + n)), Role: egretflow.RolePrefill, Slots: 4, Blocks: 4000, PrefillTokensPerSecond: 10000, LinkBytesPerSecond: 1 << 30}
		if n >= prefill {
			s.Role, s.Slots = egretflow.RoleDecode, slots
		}
		p.Servers = append(p.Servers, s)
	}
	return &egretflow.Tables{Revision: 1, Pools: []egretflow.Pool{p}}
}

// startScheduler returns a Scheduler with the given tables that runs until ctx ends.
func startScheduler(ctx context.Context, t *testing.T, sharing picker.Sharing, tables *egretflow.Tables) *Scheduler {
	s := New(Config{Instance: "entry-1", Clock: time.Now, Rand: rand.New(rand.NewPCG(1, 2)), Recorder: fakeRecorder{}, Checker: fakeChecker{t}, Sharing: sharing})
	go s.Run(ctx) //nolint:errcheck // Run always returns nil.
	s.Apply(tables)
	return s
}

func testWork(id string) *egretflow.Work {
	return &egretflow.Work{
		Request: egretflow.RequestID(id), Caller: "c", Route: "r", Pool: "letters", Importance: egretflow.ImportanceNormal,
		PromptTokens: 1000, MaxTokens: 100, ArrivedAt: time.Now(), FirstTokenBy: time.Now().Add(time.Second),
	}
}

// Guards against a slot that is never free again because the caller that waited for
// it was cancelled.
func TestCancelledWaitLeaksNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		s := startScheduler(ctx, t, picker.SharingNone, testTables(1, 1, 1))
		first, err := s.Acquire(ctx, testWork("1"))
		if err != nil {
			t.Fatalf("first acquire: %v", err)
		}
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		if _, err := s.Acquire(short, testWork("2")); err == nil {
			t.Fatal("second acquire got the only slot as well")
		}
		s.Release(egretflow.Release{Attempt: first.Attempt})
		third, err := s.Acquire(ctx, testWork("3"))
		if err != nil {
			t.Fatalf("acquire after release: %v", err)
		}
		s.Release(egretflow.Release{Attempt: third.Attempt})
	})
}

// Guards against work that starts without an unexpired grant and so puts more work
// on a server than it has slots (5.3).
func TestWorkNeedsUnexpiredGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		s := startScheduler(ctx, t, picker.SharingGrants, testTables(1, 1, 2))
		if _, err := s.Acquire(ctx, testWork("1")); err == nil {
			t.Fatal("work started without a grant")
		}
		expires := time.Now().Add(2 * time.Second)
		s.ApplyGrants([]egretflow.Grant{{Server: "a", Slots: 1, ExpiresAt: expires}, {Server: "b", Slots: 1, ExpiresAt: expires}})
		a, err := s.Acquire(ctx, testWork("2"))
		if err != nil {
			t.Fatalf("acquire under grant: %v", err)
		}
		if !a.GrantExpiresAt.Equal(expires) {
			t.Errorf("GrantExpiresAt = %v, want %v", a.GrantExpiresAt, expires)
		}
		s.Release(egretflow.Release{Attempt: a.Attempt})
		time.Sleep(3 * time.Second)
		if _, err := s.Acquire(ctx, testWork("3")); err == nil {
			t.Fatal("work started under an expired grant")
		}
	})
}
