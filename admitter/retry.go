package admitter

import (
	"math/rand/v2"
	"time"

	"github.com/egretflow/egretflow"
)

const (
	// A caller that was refused at a crest returns after a share of the time that it
	// has left, between these. Crests last for seconds: a caller that returns within
	// the same one is refused again. Callers honour at most a third.
	minReturnShare = 0.2
	maxReturnShare = 0.33
)

// MayReturn reports whether the caller of w, if refused, has the time to return
// after the crest. Callers whose patience is not known are told when the backlog is
// short enough instead.
func MayReturn(w *egretflow.Work) bool {
	return !w.Returned && !w.GiveUpBy.IsZero() && !w.Deadline.IsZero()
}

// ReturnAt is when the caller of w should return after a refusal at a crest. The
// times of several callers are spread.
func ReturnAt(w *egretflow.Work, now time.Time, r *rand.Rand) time.Time {
	left := w.Deadline.Sub(now).Seconds()
	share := minReturnShare + (maxReturnShare-minReturnShare)*r.Float64()
	return now.Add(seconds(share * left))
}
