package loader

import (
	"context"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/egretflow/egretflow"
)

// checkInterval is how often the file is looked at without a signal.
const checkInterval = 2 * time.Second

// Follower follows a settings file after the start. What it finds is recorded;
// a process takes new addresses at its next start only, because its listeners
// and its place in the fleet depend on them.
type Follower struct {
	Path string
	// Signals wakes the follower; nil for none.
	Signals  <-chan os.Signal
	Clock    egretflow.Clock
	Recorder egretflow.Recorder
	// Settings are those in force.
	Settings *Settings

	seen time.Time
}

// Run follows the file until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.changed()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.Signals:
			f.changed()
			f.reload("Signal")
		case <-ticker.C:
			if f.changed() {
				f.reload("File")
			}
		}
	}
}

// changed reports whether the file was written since the last look.
func (f *Follower) changed() bool {
	info, err := os.Stat(f.Path)
	if err != nil || info.ModTime().Equal(f.seen) {
		// A file that is being replaced is looked at again.
		return false
	}
	first := f.seen.IsZero()
	f.seen = info.ModTime()
	return !first
}

func (f *Follower) reload(cause string) {
	next, err := Load(f.Path)
	if err != nil {
		f.record(egretflow.EventReloadFailed, "Cause", cause, "Error", err.Error())
		return
	}
	f.record(egretflow.EventReloaded, "Cause", cause, "Changed", strings.Join(differences(f.Settings, next), ","))
}

// differences lists the fields that differ.
func differences(a, b *Settings) []string {
	var names []string
	before, after := reflect.ValueOf(*a), reflect.ValueOf(*b)
	for n := range before.NumField() {
		if !reflect.DeepEqual(before.Field(n).Interface(), after.Field(n).Interface()) {
			names = append(names, before.Type().Field(n).Name)
		}
	}
	return names
}

func (f *Follower) record(name egretflow.EventName, pairs ...string) {
	f.Recorder.Record(egretflow.NewEvent(name, f.Clock(), f.Settings.Name, pairs...))
}
