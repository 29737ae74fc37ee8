package claimer

import (
	"math/rand/v2"
	"time"

	"github.com/egretflow/egretflow"
)

const (
	// Shards is the number of shards into which claims are divided by key hash.
	// Each shard has its own committers (7.5).
	Shards = 16
	// PlainDocumentsPerShard is the number of documents of a shard for plain
	// keys, which are not version 7 UUIDs and carry no time. They cannot be
	// assigned to a time bucket, so their capacity is fixed at about 3,000
	// records per document.
	PlainDocumentsPerShard = 4
	// BucketLength is the length of a time bucket. Keys of a shard that were
	// created in the same bucket share a document (7.2).
	BucketLength = 10 * time.Second
	// Retention is how long the outcome of a request is kept (7.7).
	Retention = 24 * time.Hour
	// MaxClockSkew is the largest difference between two clocks that is
	// tolerated, including the clocks of callers.
	MaxClockSkew = 10 * time.Minute
	// RetentionMargin is how long a document is kept beyond Retention. It allows
	// MaxClockSkew for the claiming instance and again for the deleting one, and
	// the time for which a ticket is valid.
	RetentionMargin = 2*MaxClockSkew + TicketLifetime
	// TicketLifetime is the longest time from the start of Begin until the
	// request must be sent.
	TicketLifetime = time.Minute
	// MaxOutcomeBytes is the largest body of a recorded outcome. A document
	// holds about 300 claims at 470 claims/s, and is at most 1 MB large.
	MaxOutcomeBytes = 2048

	// batchDelay is how long a writer waits after the first operation for others
	// on the same document, so that they are committed in one write (7.5).
	batchDelay = 50 * time.Millisecond
	// batchIdleThreshold is the time since the last write of a document after
	// which an operation is written without batchDelay. At 470 claims/s this
	// never applies, in a small deployment nearly always.
	batchIdleThreshold = 500 * time.Millisecond
	// attemptTimeout bounds one attempt to commit at one instance. It is long
	// enough for a call during a slow period of the store.
	attemptTimeout = 2 * time.Second
	// backgroundUpdateTimeout bounds the retries of an update in the background.
	backgroundUpdateTimeout = 10 * time.Minute
	// callTimeout bounds one call of the store.
	callTimeout = 2 * time.Second
	// initialBackoff and maxBackoff bound the delay after a failed call of the
	// store and after a failed round over the committers.
	initialBackoff = 25 * time.Millisecond
	maxBackoff     = time.Second
	// maxQueued bounds the operations that wait for one document, and those of
	// one batch.
	maxQueued = 1024
	// maxBackgroundUpdates bounds the updates that run in the background at the
	// same time.
	maxBackgroundUpdates = 1024
	// writerIdleTimeout is how long the writer of an unused document, with the
	// document in memory, is kept. It is also the interval of the check.
	writerIdleTimeout = 30 * time.Second
	// avoidFor is how long no request is sent to a committer that did not
	// respond.
	avoidFor = time.Second
	// maxCachedRecords is the capacity of a recordCache.
	maxCachedRecords = 4 << 10
	// claimedMaxAge is how long a cached record in the state Claimed is used.
	claimedMaxAge = time.Second
	// sweepInterval is the time between two sweeps, which delete old documents.
	sweepInterval = time.Minute
	// maxSweepDocuments bounds the documents of a shard that one sweep deletes
	// in one transaction.
	maxSweepDocuments = 100
	// drainTimeout bounds how long Run waits for background updates before it
	// returns.
	drainTimeout = 2 * time.Second
	// DefaultUpdateTimeout is the default of Config.UpdateTimeout.
	DefaultUpdateTimeout = 5 * time.Second
	// DefaultBeginTimeout is the default of Config.BeginTimeout.
	DefaultBeginTimeout = 5 * time.Second
)

// Config holds the dependencies and settings of a Claimer. All fields but the
// timeouts are required.
type Config struct {
	Instance egretflow.InstanceName
	Store    egretflow.Store
	Peers    egretflow.PeerClient
	// Members returns the reachable instances; this instance may be among them
	// or not. It must not block.
	Members func() []egretflow.Member
	Clock   egretflow.Clock
	// Rand adds jitter to retry delays; the Claimer uses it under a lock. Tokens
	// are not generated from it, because two instances with the same seed would
	// generate the same tokens and could both hold a claim.
	Rand     *rand.Rand
	Recorder egretflow.Recorder
	Checker  egretflow.Checker
	// BeginTimeout bounds how long Begin waits for the store; 0 means
	// DefaultBeginTimeout.
	BeginTimeout time.Duration
	// UpdateTimeout bounds how long Finish, MarkNotRun and MarkUnknown wait for
	// the store. The update then continues in the background. 0 means
	// DefaultUpdateTimeout.
	UpdateTimeout time.Duration
}

// check returns an error for a missing field and sets the default timeouts.
func (c *Config) check() error {
	err := egretflow.CheckRequired([]egretflow.RequiredField{
		{Name: "Instance", Missing: c.Instance == ""},
		{Name: "Store", Missing: c.Store == nil},
		{Name: "Peers", Missing: c.Peers == nil},
		{Name: "Members", Missing: c.Members == nil},
		{Name: "Clock", Missing: c.Clock == nil},
		{Name: "Rand", Missing: c.Rand == nil},
		{Name: "Recorder", Missing: c.Recorder == nil},
		{Name: "Checker", Missing: c.Checker == nil},
	})
	if err != nil {
		return err
	}
	if c.BeginTimeout == 0 {
		c.BeginTimeout = DefaultBeginTimeout
	}
	if c.UpdateTimeout == 0 {
		c.UpdateTimeout = DefaultUpdateTimeout
	}
	return nil
}
