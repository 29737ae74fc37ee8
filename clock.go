package egretflow

import "time"

// Clock returns the current time. It is passed in everywhere, so that decision
// packages are pure and tests run in virtual time.
type Clock func() time.Time

// SystemClock reads the clock of the machine.
var SystemClock Clock = time.Now

// NewSteadyClock returns a clock that starts at the time of c and then follows
// the monotonic clock alone, so that a step of the time of day changes nothing.
func NewSteadyClock(c Clock) Clock {
	base := c()
	return func() time.Time { return base.Add(c().Sub(base)) }
}
