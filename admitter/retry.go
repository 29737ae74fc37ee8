package admitter

import (
	"math/rand/v2"
	"time"

	"github.com/egretflow/egretflow"
)

const (
	// A caller that was refused during a load peak is told to return after a share
	// of its remaining time between minReturnShare and maxReturnShare. Load peaks
	// last for seconds, and a caller that returns during the same one is refused
	// again. Callers wait for at most a third of their remaining time.
	minReturnShare = 0.2
	maxReturnShare = 0.33
)

// MayReturn reports whether the caller of w, if refused, can return after the load
// peak: it has a deadline and a give-up time and was not refused before. Other
// callers are told when the backlog is expected to be short enough instead.
func MayReturn(w *egretflow.Work) bool {
	return !w.Returned && !w.GiveUpBy.IsZero() && !w.Deadline.IsZero()
}

// ReturnAt returns when the caller of w should return after a refusal during a
// load peak. It is random, so that refused callers do not return together. The
// request must have a deadline.
func ReturnAt(w *egretflow.Work, now time.Time, r *rand.Rand) time.Time {
	left := w.Deadline.Sub(now).Seconds()
	share := minReturnShare + (maxReturnShare-minReturnShare)*r.Float64()
	return now.Add(seconds(share * left))
}
