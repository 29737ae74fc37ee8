package admitter

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
)

// Guards against callers that are asked to return although their give-up time or
// deadline is unknown, or although they have returned already.
func TestCanRetryLater(t *testing.T) {
	now := time.Unix(1000, 0)
	fresh := egretflow.Work{GiveUpBy: now.Add(3 * time.Second), Deadline: now.Add(14 * time.Second)}
	returned, noGiveUpTime, noDeadline := fresh, fresh, fresh
	returned.AfterRefusal, noGiveUpTime.GiveUpBy, noDeadline.Deadline = true, time.Time{}, time.Time{}
	for _, test := range []struct {
		name string
		work egretflow.Work
		want bool
	}{{"fresh", fresh, true}, {"returned", returned, false}, {"no give-up time", noGiveUpTime, false}, {"no deadline", noDeadline, false}} {
		if got := CanRetryLater(&test.work); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

// Guards against refused callers that all come back at the same time.
func TestReturnsAreSpread(t *testing.T) {
	now := time.Unix(1000, 0)
	w := &egretflow.Work{Deadline: now.Add(10 * time.Second)}
	r := rand.New(rand.NewPCG(1, 2))
	first, last := time.Hour, time.Duration(0)
	for range 100 {
		after := RetryTime(w, now, r).Sub(now)
		first, last = min(first, after), max(last, after)
	}
	if first < 2*time.Second || last > 3300*time.Millisecond || last-first < time.Second {
		t.Errorf("callers with 10 s left return after %v to %v, want 2 to 3.3 s", first, last)
	}
}
