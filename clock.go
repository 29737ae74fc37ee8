package egretflow

import "time"

// Clock returns the current time. It is passed in everywhere, so that decision
// packages are pure and tests run in virtual time.
type Clock func() time.Time

// SystemClock reads the clock of the machine.
var SystemClock Clock = time.Now
