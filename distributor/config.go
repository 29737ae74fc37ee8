package distributor

import (
	"math/rand/v2"
	"time"

	"github.com/egretflow/egretflow"
)

// WatchersPerDomain is the number of members of a failure domain that watch the
// store (6.2).
const WatchersPerDomain = 2

// StartupPeers is the number of peers that a starting instance asks.
const StartupPeers = 8

// The default timing.
const (
	// DefaultHeadInterval keeps the reads of 30 watchers at 15 per second.
	DefaultHeadInterval        = 2 * time.Second
	DefaultAntiEntropyInterval = time.Second
	// DefaultConfirmTTL outlasts two lost confirmations of a non-watcher, which
	// come every second AntiEntropyInterval.
	DefaultConfirmTTL     = 10 * time.Second
	DefaultStartupTimeout = 3 * time.Second
	// DefaultPullTimeout leaves time to transfer 1 MB between regions.
	DefaultPullTimeout = 2 * time.Second
	// DefaultHedgeAfter is when a second peer is asked beside a silent one.
	DefaultHedgeAfter = 250 * time.Millisecond
	// DefaultPushFanout reaches 98% of a large fleet by hints alone: the
	// fraction r reached satisfies r = 1 - exp(-4r).
	DefaultPushFanout = 4
)

// Bounds of the wait before the store is asked again after a failure. The
// longest wait must leave most of the 7 s of section 14 for propagation.
const (
	minStoreBackoff = 200 * time.Millisecond
	maxStoreBackoff = 4 * time.Second
)

// Timing holds the periods and bounds of a Distributor. A zero field means its
// default.
type Timing struct {
	HeadInterval        time.Duration
	AntiEntropyInterval time.Duration
	ConfirmTTL          time.Duration
	StartupTimeout      time.Duration
	PullTimeout         time.Duration
	HedgeAfter          time.Duration
	// PushFanout is the number of peers told of a new revision; negative for
	// none.
	PushFanout int
}

// Config holds what a Distributor works with. All fields but Timing are
// required; Peers may be nil for an instance without peers.
type Config struct {
	// Self describes the own instance.
	Self  egretflow.Member
	Store egretflow.Store
	Peers egretflow.Peers
	Clock egretflow.Clock
	// Rand belongs to the Distributor from then on.
	Rand     *rand.Rand
	Recorder egretflow.Recorder
	Checker  egretflow.Checker
	Timing   Timing
}

func (t Timing) withDefaults() Timing {
	setDefault(&t.HeadInterval, DefaultHeadInterval)
	setDefault(&t.AntiEntropyInterval, DefaultAntiEntropyInterval)
	setDefault(&t.ConfirmTTL, DefaultConfirmTTL)
	setDefault(&t.StartupTimeout, DefaultStartupTimeout)
	setDefault(&t.PullTimeout, DefaultPullTimeout)
	setDefault(&t.HedgeAfter, DefaultHedgeAfter)
	setDefault(&t.PushFanout, DefaultPushFanout)
	return t
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
