package admitter

import (
	"math/rand/v2"
	"time"

	"github.com/egretflow/egretflow"
)

const (
	// A caller that was refused during a load peak is asked to return after a share
	// of its remaining time between minRetryShare and maxRetryShare. Load peaks
	// last for seconds, and a caller that returns during the same one is refused
	// again. Callers wait for at most a third of their remaining time.
	minRetryShare = 0.2
	maxRetryShare = 0.33
)

// CanRetryLater reports whether the caller of w, if refused, can return after
// the load peak: it has a deadline and a give-up time and was not refused
// before. For other callers, the retry time is when the backlog is expected
// to be short enough.
func CanRetryLater(w *egretflow.Work) bool {
	return !w.AfterRefusal && !w.GiveUpBy.IsZero() && !w.Deadline.IsZero()
}

// RetryTime returns when the caller of w should return after a refusal during a
// load peak. It is random, so that refused callers do not return together. The
// request must have a deadline.
func RetryTime(w *egretflow.Work, now time.Time, r *rand.Rand) time.Time {
	left := w.Deadline.Sub(now).Seconds()
	share := minRetryShare + (maxRetryShare-minRetryShare)*r.Float64()
	return now.Add(seconds(share * left))
}
