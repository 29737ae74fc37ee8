package admitter

import "time"

// maxWait stands for a wait that is unknown because nothing is being served.
const maxWait = time.Minute

// Capacity is what the pool can serve for this instance.
type Capacity struct {
	// PrefillTokensPerSecond is the rate at which prompt tokens are computed;
	// 0 for a service pool.
	PrefillTokensPerSecond float64
	// PrefillOutstanding counts the prompt tokens placed and not computed yet.
	PrefillOutstanding float64
	// FreeSlots is the number of decode slots that are free now.
	FreeSlots int
	// SlotsPerSecond is the rate at which decode slots become free.
	SlotsPerSecond float64
}

// wait returns the time until work behind the given load can start.
func (c Capacity) wait(tokens, slots float64) time.Duration {
	var wait time.Duration
	if c.PrefillTokensPerSecond > 0 {
		wait = seconds((c.PrefillOutstanding + tokens) / c.PrefillTokensPerSecond)
	}
	if missing := slots - float64(c.FreeSlots); missing > 0 {
		if c.SlotsPerSecond <= 0 {
			return maxWait
		}
		wait = max(wait, seconds(missing/c.SlotsPerSecond))
	}
	return min(wait, maxWait)
}

func seconds(s float64) time.Duration {
	if s >= maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(s * float64(time.Second))
}
