package loadgen

import (
	"time"

	"github.com/egretflow/egretflow/internal/stub/fault"
)

// restartAfter is how long a crashed stand-in engine stays down.
const restartAfter = 2 * time.Second

// faultSchedule sets one random fault on a random engine at each interval. The
// fault lasts for duration.
type faultSchedule struct {
	interval time.Duration
	duration time.Duration
	faults   []fault.Fault
}

var faultSchedules = map[Shape]faultSchedule{
	ShapeStragglers: {
		interval: 1500 * time.Millisecond,
		duration: 2 * time.Second,
		faults:   []fault.Fault{{Kind: fault.Slow, Factor: 4}},
	},
	ShapeFaults: {
		interval: 2 * time.Second,
		duration: time.Second,
		faults: []fault.Fault{
			{Kind: fault.Slow, Factor: 4},
			{Kind: fault.Stall},
			{Kind: fault.Crash, Count: 1},
			{Kind: fault.Silent, Count: 1},
		},
	},
}
