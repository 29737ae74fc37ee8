package distributor

import (
	"math/rand/v2"
	"time"

	"github.com/egretflow/egretflow"
)

// WatchersPerDomain is the number of members of a failure domain that watch the
// store (6.2).
const WatchersPerDomain = 2

// StartupPeers is the number of peers that an instance asks for their revision
// at startup (rule 6).
const StartupPeers = 8

// Defaults of the fields of Timing.
const (
	// DefaultHeadInterval limits 30 watchers to 15 reads of the head per second.
	DefaultHeadInterval        = 2 * time.Second
	DefaultAntiEntropyInterval = time.Second
	// DefaultConfirmTTL keeps the revision of a non-watcher confirmed when two
	// confirmations in a row are lost. A non-watcher asks for one at every other
	// AntiEntropyInterval.
	DefaultConfirmTTL     = 10 * time.Second
	DefaultStartupTimeout = 3 * time.Second
	// DefaultPullTimeout leaves time to transfer 1 MB between regions.
	DefaultPullTimeout = 2 * time.Second
	// DefaultHedgeAfter is the time without a response after which a second peer
	// is asked as well.
	DefaultHedgeAfter = 250 * time.Millisecond
	// DefaultPushFanout reaches 98% of a large fleet by hints alone: the
	// fraction r of instances reached satisfies r = 1 - exp(-4r).
	DefaultPushFanout = 4
)

// Bounds of the wait before the store is read again after a failure, without
// jitter. The longest wait must leave time to propagate a revision within the
// 7 s of section 14.
const (
	minStoreBackoff = 200 * time.Millisecond
	maxStoreBackoff = 4 * time.Second
)

// Timing holds the intervals and limits of a Distributor. A zero field selects
// its default.
type Timing struct {
	// HeadInterval is the mean time between a watcher's reads of the head.
	HeadInterval time.Duration
	// AntiEntropyInterval is the mean time between comparisons with a peer.
	AntiEntropyInterval time.Duration
	// ConfirmTTL is how long a confirmation of the active revision is valid.
	ConfirmTTL time.Duration
	// StartupTimeout is the time after which an instance that holds tables
	// becomes ready although calls of its startup have not ended.
	StartupTimeout time.Duration
	// PullTimeout limits one call to a peer.
	PullTimeout time.Duration
	// HedgeAfter is the time without a response after which a second peer is
	// asked as well. The hints are also checked at this interval.
	HedgeAfter time.Duration
	// PushFanout is the number of random peers to which an instance announces a
	// new revision; a negative value disables the announcements.
	PushFanout int
}

// Config holds the settings and dependencies of a Distributor. All fields but
// Timing are required; Peers may be nil for an instance without peers.
type Config struct {
	// Self describes this instance.
	Self  egretflow.Member
	Store egretflow.Store
	Peers egretflow.PeerClient
	Clock egretflow.Clock
	// Rand must not be used elsewhere after the call of New.
	Rand     *rand.Rand
	Recorder egretflow.Recorder
	Checker  egretflow.Checker
	Timing   Timing
	// Quotas, if set, returns the quotas that this instance counts, for its status.
	Quotas func() []egretflow.QuotaStatus
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
