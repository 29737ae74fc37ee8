package loader

import (
	"context"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/egretflow/egretflow"
)

// checkInterval is the time between two checks of the file without a signal.
const checkInterval = 2 * time.Second

// Follower watches a settings file after the start and records an event for each
// change. The changed settings, such as new addresses, take effect only at the
// next start of the process, because its listeners and the address at which peers
// reach it depend on them.
type Follower struct {
	Path string
	// Signals triggers a reload at each signal; nil for none.
	Signals  <-chan os.Signal
	Clock    egretflow.Clock
	Recorder egretflow.Recorder
	// Settings are those that the process was started with.
	Settings *Settings

	// modTime is the modification time of the file at the last check.
	modTime time.Time
}

// Run watches the file until ctx ends.
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

// changed reports whether the file was written since the last check. The first
// check reports false.
func (f *Follower) changed() bool {
	info, err := os.Stat(f.Path)
	if err != nil || info.ModTime().Equal(f.modTime) {
		// A file that is missing while it is replaced is checked again later.
		return false
	}
	first := f.modTime.IsZero()
	f.modTime = info.ModTime()
	return !first
}

// reload loads the file and records the names of the changed fields, or the
// error. cause is Signal or File.
func (f *Follower) reload(cause string) {
	next, err := Load(f.Path)
	if err != nil {
		f.record(egretflow.EventReloadFailed, "Cause", cause, "Error", err.Error())
		return
	}
	f.record(egretflow.EventReloaded, "Cause", cause, "Changed", strings.Join(changedFields(f.Settings, next), ","))
}

// changedFields returns the names of the fields in which a and b differ.
func changedFields(a, b *Settings) []string {
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
