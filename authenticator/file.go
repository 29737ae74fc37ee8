package authenticator

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/egretflow/egretflow"
)

// reloadPeriod is how often files are checked for changes.
const reloadPeriod = 2 * time.Second

// watchedFile calls load when the file at path changes.
type watchedFile struct {
	path     string
	clock    egretflow.Clock
	recorder egretflow.Recorder
	load     func() error

	modTime time.Time
	size    int64
	// loaded is the error of the last load.
	loaded error
	// failure is the last error that was reported.
	failure string
}

// reload loads the file if it changed since the last call, and returns the error
// of the last load.
func (f *watchedFile) reload() error {
	info, err := os.Stat(f.path)
	if err != nil {
		return fmt.Errorf("check file: %w", err)
	}
	if info.ModTime().Equal(f.modTime) && info.Size() == f.size {
		return f.loaded
	}
	f.modTime, f.size = info.ModTime(), info.Size()
	f.loaded = f.load()
	return f.loaded
}

// run follows the file until ctx ends.
func (f *watchedFile) run(ctx context.Context) error {
	if f.path == "" {
		<-ctx.Done()
		return nil
	}
	ticker := time.NewTicker(reloadPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		f.follow()
	}
}

// follow reloads the file and reports new keys, and each new error once.
func (f *watchedFile) follow() {
	before := f.modTime
	failure := ""
	if err := f.reload(); err != nil {
		failure = err.Error()
	}
	if failure != f.failure || failure == "" && !f.modTime.Equal(before) {
		f.report(failure)
	}
	f.failure = failure
}

func (f *watchedFile) report(reason string) {
	fields := []egretflow.EventField{{Key: "file", Value: f.path}}
	if reason != "" {
		fields = append(fields, egretflow.EventField{Key: "error", Value: reason})
	}
	f.recorder.Record(egretflow.Event{Name: egretflow.EventReloaded, At: f.clock(), Fields: fields})
}

// Run follows the key file until ctx ends.
func (k *Keys) Run(ctx context.Context) error { return k.file.run(ctx) }
