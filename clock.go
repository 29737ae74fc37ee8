package egretflow

import "time"

// Clock returns the current time. Packages take a Clock instead of calling
// time.Now, so that decisions depend on their inputs alone and tests run in
// virtual time.
type Clock func() time.Time

// SystemClock reads the wall clock of the machine.
var SystemClock Clock = time.Now

// NewMonotonicClock returns a clock that starts at the time of c and then
// follows the monotonic clock alone, so that a step of the wall clock has no
// effect.
func NewMonotonicClock(c Clock) Clock {
	base := c()
	return func() time.Time { return base.Add(c().Sub(base)) }
}
