// Package erafollower knows the latest era of the platform's store. It is the one place
// where an instance decides whether what it is told of the store is still valid.
//
// # Usage
//
//	eras := erafollower.New(erafollower.Config{Instance: "entry-1", Clock: time.Now, Recorder: x})
//	store := platform.NewStore(platform.StoreConfig{Eras: eras, ...})
//	if !eras.Learn(list.Version.Era, peer) {
//		// the list is of an earlier era
//	}
//
// # Rules
//
//  1. The latest era is the highest one that the store or another instance has named. It
//     never falls: what is told of an earlier era is ignored, however late it arrives.
//  2. An era is learnt at the first answer or message that names it. It may have begun
//     long before, so that the time since then is the least age of the era.
//  3. Era 0 is what a store, or an instance of an earlier version, says that names none. It
//     is never later than another one.
package erafollower

import (
	"strconv"
	"sync"

	"github.com/egretflow/egretflow"
)

// Config holds the settings and dependencies of a Follower.
type Config struct {
	Instance egretflow.InstanceName
	Clock    egretflow.Clock
	Recorder egretflow.Recorder
	// OnChange, if set, is called for each change from one era to a later one.
	OnChange func()
}

// Follower implements egretflow.EraFollower.
type Follower struct {
	cfg Config

	mu     sync.Mutex
	latest egretflow.KnownEra
}

var _ egretflow.EraFollower = (*Follower)(nil)

// New returns a Follower that knows of no era.
func New(cfg Config) *Follower { return &Follower{cfg: cfg} }

// Latest implements egretflow.EraFollower.
func (f *Follower) Latest() egretflow.KnownEra {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latest
}

// Learn implements egretflow.EraFollower.
func (f *Follower) Learn(era egretflow.Era, from egretflow.InstanceName) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if era <= f.latest.Era {
		return era == f.latest.Era
	}
	known := f.latest.Era
	f.latest = egretflow.KnownEra{Era: era, LearntAt: f.cfg.Clock()}
	if known == 0 {
		// The first era that an instance learns of is no change.
		return true
	}
	f.cfg.Recorder.Record(egretflow.NewEvent(egretflow.EventStoreEraChanged, f.latest.LearntAt, f.cfg.Instance,
		"Era", format(era), "Known", format(known), "From", string(from)))
	if f.cfg.OnChange != nil {
		f.cfg.OnChange()
	}
	return true
}

func format(era egretflow.Era) string { return strconv.FormatUint(uint64(era), 10) }
