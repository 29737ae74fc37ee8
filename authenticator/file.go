package authenticator

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/egretflow/egretflow"
)

// checkInterval is the time between two checks of a file for changes.
const checkInterval = 2 * time.Second

// watchedFile calls load when the modification time or size of the file at path
// changes.
type watchedFile struct {
	path     string
	clock    egretflow.Clock
	recorder egretflow.Recorder
	load     func() error

	modTime time.Time
	size    int64
	// loadErr is the error of the last load, nil if it succeeded.
	loadErr error
	// lastReason is the error text of the last check, empty if it succeeded.
	lastReason string
}

// reload loads the file if it changed since the last call, and returns the error
// of the last load.
func (f *watchedFile) reload() error {
	info, err := os.Stat(f.path)
	if err != nil {
		return fmt.Errorf("check file: %w", err)
	}
	if info.ModTime().Equal(f.modTime) && info.Size() == f.size {
		return f.loadErr
	}
	f.modTime, f.size = info.ModTime(), info.Size()
	f.loadErr = f.load()
	return f.loadErr
}

// run checks the file every checkInterval until ctx ends. Without a path it only
// waits for the end of ctx.
func (f *watchedFile) run(ctx context.Context) error {
	if f.path == "" {
		<-ctx.Done()
		return nil
	}
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		f.check()
	}
}

// check reloads the file if it changed, and records an event for each successful
// reload and, once, for each error that differs from the previous one.
func (f *watchedFile) check() {
	before := f.modTime
	reason := ""
	if err := f.reload(); err != nil {
		reason = err.Error()
	}
	if reason != f.lastReason || reason == "" && !f.modTime.Equal(before) {
		f.report(reason)
	}
	f.lastReason = reason
}

// report records a reload event. reason is the error, empty after success.
func (f *watchedFile) report(reason string) {
	fields := []egretflow.EventField{{Key: "file", Value: f.path}}
	if reason != "" {
		fields = append(fields, egretflow.EventField{Key: "error", Value: reason})
	}
	f.recorder.Record(egretflow.Event{Name: egretflow.EventReloaded, At: f.clock(), Fields: fields})
}

// Run watches the key file until ctx ends.
func (k *Keys) Run(ctx context.Context) error { return k.file.run(ctx) }
