package configwatcher

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
)

// scheduleCase is a state, and what is due next in it. Ages are before the present time.
type scheduleCase struct {
	Name  string
	State struct {
		Version, Known               uint64
		ConfirmedMS                  int
		ReadDue                      bool
		Failures, ReadMS             int
		WatchFailures, WatchFailedMS int
	}
	Position struct {
		Rank             int
		Watches, Relayed bool
		SpreadMS         int
	}
	Want struct {
		Do   activity
		InMS int
	}
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func (c *scheduleCase) state(now time.Time) state {
	return state{
		ConfigurationState: egretflow.ConfigurationState{
			Version: c.State.Version, KnownVersion: max(c.State.Known, c.State.Version), ConfirmedAt: now.Add(-milliseconds(c.State.ConfirmedMS)),
		},
		readDue: c.State.ReadDue, failures: c.State.Failures, readEndedAt: now.Add(-milliseconds(c.State.ReadMS)),
		watchFailures: c.State.WatchFailures, watchFailedAt: now.Add(-milliseconds(c.State.WatchFailedMS)),
	}
}

// Guards against instances that wait although they know of a newer version, that read
// although others do it for them, or that retry without pauses.
func TestSchedule(t *testing.T) {
	data, err := os.ReadFile("testdata/schedule.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []scheduleCase
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	for _, c := range cases {
		s := c.state(now)
		p := position{rank: c.Position.Rank, watches: c.Position.Watches, relayed: c.Position.Relayed, spread: milliseconds(c.Position.SpreadMS)}
		do, at := s.next(p)
		if in := max(0, at.Sub(now)); do != c.Want.Do || in != milliseconds(c.Want.InMS) {
			t.Errorf("%s: %s in %v, want %s in %v", c.Name, do, in, c.Want.Do, milliseconds(c.Want.InMS))
		}
	}
}
