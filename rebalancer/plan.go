package rebalancer

import (
	"github.com/egretflow/egretflow"
)

const (
	// minSamples is the number of finished requests below which Plan changes
	// nothing. The first requests that finish are the short ones.
	minSamples = 25
	// prefillHeadroom is the ratio of prefill capacity to served requests:
	// arrivals are bursty and a prompt must not wait long.
	prefillHeadroom = 1.2
	// toDecodeGain and toPrefillGain are the least ratios of the pool's throughput
	// after a change to that before it. During a change the engine serves nothing
	// for seconds; a decode server takes longer, because its streams run to their
	// end first.
	toDecodeGain  = 1.5
	toPrefillGain = 2.0
	// maxChangeShare is the largest share of the servers of a role that one plan
	// changes; one server may always change.
	maxChangeShare = 0.2
)

// Rates holds the requests per second that one server of each role serves.
type Rates struct {
	Prefill float64
	Decode  float64
	// Samples counts the finished requests that the rates were measured with.
	Samples int
}

// throughput returns the requests per second that a pool with the given numbers of
// servers serves (rule 1).
func (r Rates) throughput(prefill, decode int) float64 {
	return min(float64(prefill)*r.Prefill/prefillHeadroom, float64(decode)*r.Decode)
}

// Change is a number of servers that should take another role.
type Change struct {
	To    egretflow.Role
	Count int
}

// Plan returns the next step towards the division of servers with the highest
// throughput. Count is 0 when the gain would be too small, when there are too few
// samples, or when the pool has fewer than two servers.
func Plan(prefill, decode int, r Rates) Change {
	if r.Samples < minSamples || prefill+decode < 2 {
		return Change{}
	}
	best := prefill
	for n := 1; n < prefill+decode; n++ {
		if r.throughput(n, prefill+decode-n) > r.throughput(best, prefill+decode-best) {
			best = n
		}
	}
	current, achievable := r.throughput(prefill, decode), r.throughput(best, prefill+decode-best)
	switch {
	case best < prefill && achievable >= toDecodeGain*current:
		return Change{To: egretflow.RoleDecode, Count: min(prefill-best, maxChanges(prefill))}
	case best > prefill && achievable >= toPrefillGain*current:
		return Change{To: egretflow.RolePrefill, Count: min(best-prefill, maxChanges(decode))}
	}
	return Change{}
}

// maxChanges returns how many of the servers of a role may change in one plan.
func maxChanges(servers int) int { return max(1, int(maxChangeShare*float64(servers))) }
