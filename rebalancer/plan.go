package rebalancer

import (
	"github.com/egretflow/egretflow"
)

const (
	// minSamples is the number of finished requests from which on the rates
	// count. The first requests that finish are the short ones.
	minSamples = 25
	// prefillHeadroom is the capacity of prefill servers per request served:
	// arrivals come in clumps and a prompt must not wait long.
	prefillHeadroom = 1.2
	// toDecodeGain and toPrefillGain are the least ratios of what the pool would
	// serve after a change, during which an engine is without use for seconds. One
	// that leaves decode is for longer, because its streams run to their end first.
	toDecodeGain  = 1.5
	toPrefillGain = 2.0
	// maxShare of the servers of a role may change at a time.
	maxShare = 0.2
)

// Rates is what one server of each role serves, in requests per second.
type Rates struct {
	Prefill float64
	Decode  float64
	// Samples counts the requests that the rates were learned from.
	Samples int
}

// serves returns the requests per second of a pool.
func (r Rates) serves(prefill, decode int) float64 {
	return min(float64(prefill)*r.Prefill/prefillHeadroom, float64(decode)*r.Decode)
}

// Change is a number of servers that should take another role.
type Change struct {
	To    egretflow.Role
	Count int
}

// Plan returns the change after which the pool serves the most requests; Count
// is 0 when the division is good enough.
func Plan(prefill, decode int, r Rates) Change {
	if r.Samples < minSamples || prefill+decode < 2 {
		return Change{}
	}
	best := prefill
	for n := 1; n < prefill+decode; n++ {
		if r.serves(n, prefill+decode-n) > r.serves(best, prefill+decode-best) {
			best = n
		}
	}
	now, then := r.serves(prefill, decode), r.serves(best, prefill+decode-best)
	switch {
	case best < prefill && then >= toDecodeGain*now:
		return Change{To: egretflow.RoleDecode, Count: min(prefill-best, atOnce(prefill))}
	case best > prefill && then >= toPrefillGain*now:
		return Change{To: egretflow.RolePrefill, Count: min(best-prefill, atOnce(decode))}
	}
	return Change{}
}

func atOnce(servers int) int { return max(1, int(maxShare*float64(servers))) }
