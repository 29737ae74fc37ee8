package scheduler

import (
	"math"
	"testing"
	"time"
)

// Guards against means that stay close to the first request after several have
// finished: the requests that finish first are the short ones.
func TestFirstRequestsWeighEqually(t *testing.T) {
	var r rates
	now := time.Unix(1000, 0)
	for _, seconds := range []int{1, 3, 5, 3} {
		r.countEnd(now, 10*seconds, time.Duration(seconds)*time.Second, true)
	}
	if math.Abs(r.meanHold-3) > 1e-9 || math.Abs(r.meanSlots-30) > 1e-9 {
		t.Errorf("mean hold %v s of %v slots, want 3 s of 30", r.meanHold, r.meanSlots)
	}
}
