package scheduler

import (
	"math"
	"testing"
	"time"
)

// Guards against means that are still those of the first request after several:
// the first requests to finish are the short ones.
func TestFirstRequestsWeighEqually(t *testing.T) {
	var r rates
	now := time.Unix(1000, 0)
	for _, seconds := range []int{1, 3, 5, 3} {
		r.end(now, 10*seconds, time.Duration(seconds)*time.Second, true)
	}
	if math.Abs(r.hold-3) > 1e-9 || math.Abs(r.places-30) > 1e-9 {
		t.Errorf("mean hold %v s of %v places, want 3 s of 30", r.hold, r.places)
	}
}
