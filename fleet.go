package egretflow

import (
	"context"
	"time"
)

// ExchangeState is the part of a scheduler that the exchange with peers reads
// and writes (3.1, 5.3). All methods are safe for concurrent use.
type ExchangeState interface {
	// Demands lists use and want for every server that the instance knows.
	Demands(now time.Time) []Demand
	// ApplyGrants replaces the grants of the named servers. Servers not named
	// keep theirs until they expire.
	ApplyGrants(grants []Grant)
	// PrefillLoad returns the own prefill work, ApplyPrefillLoad replaces that of
	// a peer (5.2).
	PrefillLoad(now time.Time) PrefillLoad
	ApplyPrefillLoad(from InstanceName, load PrefillLoad)
	// SetUnavailable names the servers that must get no new work: leaving,
	// draining or gone (9.2).
	SetUnavailable(servers []ServerName)
	// Crashes lists the crash reports to pass on, MergeCrashes takes those of a
	// peer (5.6).
	Crashes(now time.Time) []CrashReport
	MergeCrashes(reports []CrashReport)
}

// TablesInForce is the state of the tables at one instance.
type TablesInForce struct {
	Tables *Tables
	// Confirmed says that the instance knows the revision to be current (6.2).
	Confirmed bool
	// ConfirmedAt is when it was last known to be current.
	ConfirmedAt time.Time
}

// Confirmation is what an instance knows to be current on the platform.
type Confirmation struct {
	// Servers identifies the set of backend servers, and Revision is that of the
	// platform's store as of which it is known. Version is the configuration.
	Servers  uint64
	Revision int64
	Version  uint64
	// ReadAt is when an instance last read both.
	ReadAt time.Time
	// Deltas are the newest changes of the set, in order.
	Deltas []ServersDelta
}

// ServersDelta is what a reading of the backend servers found changed.
type ServersDelta struct {
	_ struct{} `cbor:",toarray"`
	// Revision is that of the reading.
	Revision int64
	Changed  []ServerEntry
	Removed  []ServerName
}

// TablesHolder holds the revision in force.
type TablesHolder interface {
	Current() TablesInForce
	// Subscribe calls f with each new revision, in order, starting with the one
	// in force, if any.
	Subscribe(f func(t *Tables))
}

// ClaimKey identifies a non-idempotent request (7.1).
type ClaimKey struct {
	Caller      CallerName
	Route       RouteName
	Key         string
	Fingerprint uint64
}

// ClaimTicket is the right to run a non-idempotent request once. It stays with
// the instance that got it.
type ClaimTicket struct {
	Claim Claim
	// RunBy is the deadline for the dispatch; later the ticket must be given
	// back as not run.
	RunBy time.Time
}

// Claimer decides which instance runs a non-idempotent request.
type Claimer interface {
	// Begin returns a ticket when the caller of Begin may run the request, the
	// recorded outcome when it ran before, or a *Refusal as error.
	Begin(ctx context.Context, key ClaimKey, deadline time.Time) (*ClaimTicket, *Outcome, error)
	// Finish records the outcome. An error leaves the claim in a state that
	// answers MayHaveRun.
	Finish(ctx context.Context, ticket *ClaimTicket, outcome *Outcome) error
	// NotRun gives the ticket back. It must be called only when it is certain
	// that no byte reached a backend server.
	NotRun(ctx context.Context, ticket *ClaimTicket) error
	// Unknown records that the request may have run.
	Unknown(ctx context.Context, ticket *ClaimTicket) error
}
