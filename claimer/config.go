package claimer

import (
	"math/rand/v2"
	"time"

	"github.com/egretflow/egretflow"
)

const (
	// Shards is the number of parts of the claims that are committed
	// independently of each other (7.5).
	Shards = 16
	// PlainDocuments is the number of documents of a shard for keys without a
	// time. Such keys need records that are found without a time bucket, so
	// they have a fixed capacity of about 3,000 records per document.
	PlainDocuments = 4
	// BucketLength is the span of key times that share a document (7.2).
	BucketLength = 10 * time.Second
	// Retention is how long the outcome of a request is known (7.7).
	Retention = 24 * time.Hour
	// MaxClockSkew bounds the difference of two clocks, of callers included.
	MaxClockSkew = 10 * time.Minute
	// KeepMargin is how long a document outlives Retention: the clocks of the
	// claiming and of the deleting instance can both be off.
	KeepMargin = 2*MaxClockSkew + RunWindow
	// RunWindow bounds the time from Begin to the dispatch.
	RunWindow = time.Minute
	// MaxOutcomeBytes bounds the body of a recorded outcome. A document of a
	// shard holds about 300 claims at 470 claims/s, and 1 MB at most.
	MaxOutcomeBytes = 2048

	// batchDelay is how long a claim waits for others of the same document, so
	// that they are committed together (7.5).
	batchDelay = 50 * time.Millisecond
	// quietAfter is the time without a write after which a claim does not wait.
	// A document at 470 claims/s is never quiet, and one of a small deployment
	// nearly always.
	quietAfter = 500 * time.Millisecond
	// attemptWait bounds one attempt to commit at one instance. It leaves room
	// for a call in a slow period of the store.
	attemptWait = 2 * time.Second
	// settleWait bounds the background retries of an outcome.
	settleWait = 10 * time.Minute
	// callTimeout bounds one call of the store.
	callTimeout = 2 * time.Second
	// firstBackoff and longestBackoff bound the delay between failed calls of the
	// store and between failed rounds over the committers.
	firstBackoff   = 25 * time.Millisecond
	longestBackoff = time.Second
	// maxQueued bounds the claims that wait for one document.
	maxQueued = 1024
	// maxSettling bounds the updates that are retried in the background.
	maxSettling = 1024
	// writerIdle is how long a document without claims stays in memory.
	writerIdle = 30 * time.Second
	// avoidFor is how long an unreachable committer is not asked again.
	avoidFor = time.Second
	// indexEntries bounds the index of known records.
	indexEntries = 4 << 10
	// claimedFreshness is how long a record in the state Claimed is believed.
	claimedFreshness = time.Second
	// sweepInterval is the time between deletions of old documents.
	sweepInterval = time.Minute
	// maxSweep bounds the documents deleted in one transaction.
	maxSweep = 100
	// drainWait bounds the wait for background updates at the end of Run.
	drainWait = 2 * time.Second
	// DefaultUpdateWait is the default of Config.UpdateWait.
	DefaultUpdateWait = 5 * time.Second
	// DefaultMaxWait is the default of Config.MaxWait.
	DefaultMaxWait = 5 * time.Second
)

// Config holds what a Claimer needs.
type Config struct {
	Instance egretflow.InstanceName
	Store    egretflow.Store
	Peers    egretflow.Peers
	// Members lists the reachable members, with or without this instance. It
	// must not block.
	Members func() []egretflow.Member
	Clock   egretflow.Clock
	// Rand spreads retries; it is used under a lock of the Claimer. Tokens do not
	// come from it, because two instances with the same seed could then take each
	// other's claims for their own.
	Rand     *rand.Rand
	Recorder egretflow.Recorder
	Checker  egretflow.Checker
	// MaxWait bounds how long Begin waits for the store; 0 means
	// DefaultMaxWait.
	MaxWait time.Duration
	// UpdateWait bounds how long Finish, NotRun and Unknown wait for the store
	// before the update goes on in the background; 0 means DefaultUpdateWait.
	UpdateWait time.Duration
}

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
	if c.MaxWait == 0 {
		c.MaxWait = DefaultMaxWait
	}
	if c.UpdateWait == 0 {
		c.UpdateWait = DefaultUpdateWait
	}
	return nil
}
