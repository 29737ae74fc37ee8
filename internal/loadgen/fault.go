package loadgen

import (
	"time"

	"github.com/egretflow/egretflow/internal/stub/fault"
)

// restartAfter is how long a crashed stand-in engine is down.
const restartAfter = 2 * time.Second

// faultSchedule sets one fault at a time on a random engine.
type faultSchedule struct {
	every  time.Duration
	length time.Duration
	faults []fault.Fault
}

var faultSchedules = map[Shape]faultSchedule{
	ShapeStragglers: {
		every:  1500 * time.Millisecond,
		length: 2 * time.Second,
		faults: []fault.Fault{{Kind: fault.Slow, Factor: 4}},
	},
	ShapeFaults: {
		every:  2 * time.Second,
		length: time.Second,
		faults: []fault.Fault{
			{Kind: fault.Slow, Factor: 4},
			{Kind: fault.Stall},
			{Kind: fault.Crash, Count: 1},
			{Kind: fault.Silent, Count: 1},
		},
	},
}
