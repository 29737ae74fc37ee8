// Package crashkeeper keeps the verdicts on requests and parts of prompts that crash
// servers in the store, so that they outlast all instances (5.6).
//
// # Usage
//
//	k := crashkeeper.New(crashkeeper.Config{Instance: "entry-1", Store: store, Memory: scheduler, Clock: time.Now, Rand: r, Recorder: x})
//	go k.Run(ctx)
//	<-k.Loaded() // the verdicts were read, or cannot be read now
//	k.Wake()     // a verdict of this instance has changed
//
// # Rules
//
//  1. The verdicts of all instances are one value at Key. At its start an instance reads it
//     once and adds what it holds to its own memory. If the store is away it goes on
//     without, and reads again later.
//  2. Only an instance that made or changed a verdict itself writes, once for all changes
//     of saveDelay, and not if the value has the verdict already. A write replaces the value
//     that was read, under the condition that it is the newest, by the union of both, so
//     that of two writers neither is lost.
//  3. An instance whose verdict is in the store reads the value again every
//     checkInterval while the verdict counts. If the store has lost it, it is written again.
//  4. The value is bounded by egretflow.CrashRecord, and each verdict ends at a time of its
//     own. Nothing waits for the store but Loaded.
package crashkeeper

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/egretflow/egretflow"
)

const (
	// Key is the key of the verdicts in the store.
	Key = "crashes/verdicts"
	// saveDelay is the time from a change of a verdict to the call that saves it, before
	// jitter of the same length is added. Several instances may have made the same
	// verdict, and the first one to save it saves the others a write.
	saveDelay = 100 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed call, which doubles
	// each time.
	minRetryDelay = time.Second
	maxRetryDelay = 16 * time.Second
	// checkInterval is how often an instance reads whether the store still has its
	// verdicts.
	checkInterval = time.Minute
)

// Config holds the settings and dependencies of a Keeper.
type Config struct {
	Instance egretflow.InstanceName
	Store    egretflow.Store
	Memory   egretflow.CrashMemory
	Clock    egretflow.Clock
	Rand     *rand.Rand
	Recorder egretflow.Recorder
}

// Keeper keeps the verdicts of one instance.
type Keeper struct {
	cfg    Config
	loaded chan struct{}
	wake   chan struct{}

	// The fields below belong to the goroutine of Run.

	// restored reports whether the verdicts in the store were added to the memory, and
	// saves whether this instance has some to save.
	restored bool
	saves    bool
	failures int
}

// New returns a Keeper that does nothing until Run is called.
func New(cfg Config) *Keeper {
	return &Keeper{cfg: cfg, loaded: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// Loaded is closed once the verdicts were read or the first read has failed.
func (k *Keeper) Loaded() <-chan struct{} { return k.loaded }

// Wake makes Run save the verdicts of this instance soon. It does not block.
func (k *Keeper) Wake() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Run reads and saves verdicts until ctx ends. It must be called once. The returned error
// is always nil.
func (k *Keeper) Run(ctx context.Context) error {
	loaded := sync.OnceFunc(func() { close(k.loaded) })
	defer loaded()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-k.wake:
			k.saves = true
			timer.Reset(k.jitter(saveDelay))
			continue
		case <-timer.C:
		}
		next := k.step(ctx)
		loaded()
		if next > 0 {
			timer.Reset(next)
		}
	}
}

// jitter returns a random time between d and twice d.
func (k *Keeper) jitter(d time.Duration) time.Duration {
	return d + time.Duration(k.cfg.Rand.Int64N(int64(d)))
}

// step reads the verdicts and saves those that the store lacks. It returns the delay until
// the next step, or 0 if none is due.
func (k *Keeper) step(ctx context.Context) time.Duration {
	err := k.sync(ctx)
	switch {
	case errors.Is(err, egretflow.ErrConflict):
		return k.jitter(saveDelay)
	case err != nil:
		if k.failures == 0 && ctx.Err() == nil {
			k.cfg.Recorder.Record(egretflow.NewEvent(egretflow.EventCrashesUnsaved, k.cfg.Clock(), k.cfg.Instance, "Error", err.Error()))
		}
		delay := min(maxRetryDelay, minRetryDelay<<min(k.failures, 10))
		k.failures++
		return k.jitter(delay)
	}
	k.failures = 0
	if k.saves {
		return k.jitter(checkInterval)
	}
	return 0
}

// sync reads the verdicts in the store, adds them to the memory if that was not done yet,
// and writes those of this instance that are missing.
func (k *Keeper) sync(ctx context.Context) error {
	stored, version, err := k.read(ctx)
	if err != nil {
		return err
	}
	if !k.restored {
		k.cfg.Memory.RestoreCrashes(stored)
		k.restored = true
	}
	if !k.saves {
		return nil
	}
	now := k.cfg.Clock()
	own := k.cfg.Memory.CrashRecord(now)
	if len(own.Verdicts) == 0 {
		k.saves = false
		return nil
	}
	if stored.Includes(&own) {
		return nil
	}
	return k.write(ctx, stored.Union(&own, now), version)
}

// read returns the verdicts in the store, and the version of their value. Ones that cannot
// be decoded count as none, so that the next write replaces them.
func (k *Keeper) read(ctx context.Context) (egretflow.CrashRecord, egretflow.StoreVersion, error) {
	var record egretflow.CrashRecord
	entry, err := k.cfg.Store.Get(ctx, Key)
	if errors.Is(err, egretflow.ErrNotFound) {
		return record, egretflow.StoreVersion{}, nil
	}
	if err != nil {
		return record, egretflow.StoreVersion{}, fmt.Errorf("read verdicts on crashes: %w", err)
	}
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		k.cfg.Recorder.Record(egretflow.NewEvent(egretflow.EventCrashesUnsaved, k.cfg.Clock(), k.cfg.Instance, "Error", err.Error()))
		return egretflow.CrashRecord{}, entry.Modified, nil
	}
	return record, entry.Modified, nil
}

func (k *Keeper) write(ctx context.Context, record egretflow.CrashRecord, version egretflow.StoreVersion) error {
	value, err := json.Marshal(record)
	if err != nil {
		return fmt.Errorf("encode verdicts on crashes: %w", err)
	}
	_, err = k.cfg.Store.Commit(ctx, egretflow.StoreTxn{
		Conditions: []egretflow.StoreCondition{{Key: Key, Modified: version}},
		Writes:     []egretflow.StoreWrite{{Key: Key, Value: value}},
	})
	if err != nil {
		return fmt.Errorf("write verdicts on crashes: %w", err)
	}
	return nil
}
