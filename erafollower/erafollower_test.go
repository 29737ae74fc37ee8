package erafollower

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
)

type events struct{ recorded []egretflow.Event }

func (e *events) Record(x egretflow.Event) { e.recorded = append(e.recorded, x) }

// Guards against an era that falls, and against a change of era that no log line or
// counter shows, or that is shown more than once.
func TestEras(t *testing.T) {
	data, err := os.ReadFile("testdata/eras.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		Name    string
		Learnt  []egretflow.Era
		Valid   []bool
		Latest  egretflow.Era
		Changes int
	}
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			now, changes, recorded := time.Unix(100, 0), 0, &events{}
			f := New(Config{Instance: "a", Clock: func() time.Time { return now }, Recorder: recorded, OnChange: func() { changes++ }})
			for n, era := range c.Learnt {
				now = now.Add(time.Second)
				before := f.Latest()
				if valid := f.Learn(era, "b"); valid != c.Valid[n] {
					t.Errorf("era %d after %v: valid %t, want %t", era, c.Learnt[:n], valid, c.Valid[n])
				}
				if latest := f.Latest(); latest != before && !latest.LearntAt.Equal(now) {
					t.Errorf("era %d learnt at %v, want %v", latest.Era, latest.LearntAt, now)
				}
			}
			if f.Latest().Era != c.Latest || changes != c.Changes || len(recorded.recorded) != c.Changes {
				t.Errorf("latest %d, %d changes, %d events, want %d and %d of both", f.Latest().Era, changes, len(recorded.recorded), c.Latest, c.Changes)
			}
		})
	}
}
