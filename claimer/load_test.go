package claimer

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
)

var loadSeconds = flag.Int("claimer.seconds", 3, "virtual seconds of the load in TestWritesPerSecond")

const (
	claimsPerSecond         = 470
	maxShardWritesPerSecond = 20
	outcomeBytes            = 200
	retriesPer100           = 5
	minRunTime              = 50 * time.Millisecond
	maxRunTime              = 450 * time.Millisecond
)

// Guards against more store writes than planned for: 470 claims/s with their
// outcomes may take at most 20 writes/s for each of the 16 shards (7.5).
func TestWritesPerSecond(t *testing.T) {
	for _, instances := range []int{8, 64} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			withFleet(t, instances, func(t *testing.T, f *fleet) {
				rng := rand.New(rand.NewPCG(1, 1))
				var mu sync.Mutex
				var waits []time.Duration
				var done sync.WaitGroup
				start := time.Now()
				for n := range *loadSeconds * claimsPerSecond {
					time.Sleep(time.Until(start.Add(time.Duration(n) * time.Second / claimsPerSecond)))
					at, other := rng.IntN(instances), rng.IntN(instances)
					run := minRunTime + time.Duration(rng.Int64N(int64(maxRunTime-minRunTime)))
					retry := rng.IntN(100) < retriesPer100
					done.Go(func() {
						key, began := keyAt(time.Now(), n), time.Now()
						ticket := f.mustBegin(at, key)
						mu.Lock()
						waits = append(waits, time.Since(began))
						mu.Unlock()
						time.Sleep(run)
						outcome := createdOutcome(strings.Repeat("x", outcomeBytes))
						if err := f.claimer(instanceName(at)).Finish(t.Context(), ticket, outcome); err != nil {
							t.Errorf("finish: %v", err)
						}
						if retry {
							_, _, _ = f.claimer(instanceName(other)).Begin(context.Background(), key, time.Time{})
						}
					})
				}
				done.Wait()
				seconds := time.Since(start).Seconds()
				slices.Sort(waits)
				perSecond := float64(f.store.writes) / seconds
				t.Logf("instances %d: %.0f writes/s, %.1f reads/s, %d conflicts, %.1f MB/s written, largest document %d KB, Begin p50 %v p99 %v",
					instances, perSecond, float64(f.store.reads)/seconds, f.store.conflicts,
					float64(f.store.writtenBytes)/seconds/1e6, f.store.largest()>>10,
					waits[len(waits)/2].Round(time.Millisecond), waits[len(waits)*99/100].Round(time.Millisecond))
				if limit := float64(Shards * maxShardWritesPerSecond); perSecond > limit {
					t.Errorf("%.0f writes/s, want at most %.0f", perSecond, limit)
				}
			})
		})
	}
}

// largest returns the size in bytes of the largest value.
func (s *fakeStore) largest() int {
	largest := 0
	for _, e := range s.entries {
		largest = max(largest, len(e.Value))
	}
	return largest
}

// Guards against a second run when a holder is paused past the retention of a
// plain key. The key can be claimed again then, so the ticket must have expired
// and giving it back must fail.
func TestTicketVoidAfterRetention(t *testing.T) {
	withFleet(t, 2, func(t *testing.T, f *fleet) {
		key := egretflow.ClaimKey{Caller: "desk", Route: "orders", Key: "plain"}
		ticket := f.mustBegin(0, key)
		time.Sleep(Retention + RetentionMargin + time.Minute)
		if !time.Now().After(ticket.RunBy) {
			t.Errorf("ticket is valid until %v", ticket.RunBy)
		}
		second := f.mustBegin(1, key)
		if err := f.claimer(instanceName(0)).MarkNotRun(t.Context(), ticket); err == nil {
			t.Error("give back after the retention: want an error")
		}
		if err := f.claimer(instanceName(1)).Finish(t.Context(), second, createdOutcome("second")); err != nil {
			t.Errorf("finish: %v", err)
		}
	})
}
