package egretflow

import (
	"context"
	"time"
)

// ExchangeState is the state of a scheduler that the exchange with peers reads
// and updates (3.1, 5.3). All methods are safe for concurrent use.
type ExchangeState interface {
	// Demands returns, for every server that the instance knows, the slots in
	// use, granted and wanted.
	Demands(now time.Time) []Demand
	// ApplyGrants replaces the grants of the servers that grants names. Other
	// servers keep their grants until they expire.
	ApplyGrants(grants []Grant)
	// PrefillLoad returns the prefill work of this instance that is not
	// computed yet. ApplyPrefillLoad replaces the work that a peer (from)
	// has reported (5.2).
	PrefillLoad(now time.Time) PrefillLoad
	ApplyPrefillLoad(from InstanceName, load PrefillLoad)
	// SetUnavailable sets the servers that must get no new work, because they
	// are leaving, draining or gone (9.2).
	SetUnavailable(servers []ServerName)
	// CrashReports returns the crash reports to pass on to peers.
	// MergeCrashReports adds those of a peer (5.6).
	CrashReports(now time.Time) []CrashReport
	MergeCrashReports(reports []CrashReport)
}

// ActiveTables is the revision of the tables that an instance uses.
type ActiveTables struct {
	Tables *Tables
	// Confirmed reports whether the revision is known to be the current one (6.2).
	Confirmed bool
	// ConfirmedAt is when the revision was last known to be the current one.
	ConfirmedAt time.Time
}

// ConfigurationState says by which version of the configuration an instance decides,
// and how certain it is that no newer one is in force.
type ConfigurationState struct {
	Version uint64
	// ConfirmedAt is when the version was last known to be the newest one, and
	// ConfirmedBy the instance that read it then.
	ConfirmedAt time.Time
	ConfirmedBy InstanceName
	// ReadAt is when the instance last knew that by its own read or watch; zero if never.
	ReadAt time.Time
	// KnownVersion is the highest version that the instance knows to exist.
	KnownVersion uint64
}

// Behind reports whether a newer version is known to exist than the one by which the
// instance decides.
func (s *ConfigurationState) Behind() bool { return s.KnownVersion > s.Version }

// Confirmation is the state of the platform that an instance knows to be
// current, as it passes it on to peers.
type Confirmation struct {
	// From is the instance that sent the confirmation.
	From InstanceName
	// Configuration is what the instance knows of the configuration.
	Configuration ConfigurationState
	// Servers is a hash of the set of backend servers. Version is the version of the
	// platform's store at which that set was read; its era is 0 if the sender is of an
	// earlier build.
	Servers uint64
	Version StoreVersion
	// ReadAt is when an instance last read the set from the platform; zero if it sends
	// nothing about it. ConfirmedAt is when it last knew the set to be current, by its
	// own read or that of another instance.
	ReadAt      time.Time
	ConfirmedAt time.Time
	// Deltas are the most recent changes of the set, in order.
	Deltas []ServersDelta
}

// ServersDelta is the difference between two successive readings of the backend
// servers.
type ServersDelta struct {
	_ struct{} `cbor:",toarray"`
	// Version is the store version of the later reading.
	Version StoreVersion
	Changed []ServerEntry
	Removed []ServerName
}

// TablesSource holds the tables that the instance uses.
type TablesSource interface {
	Current() ActiveTables
	// Subscribe calls f with each new revision in order. If the instance uses
	// one already, the first call is for that one.
	Subscribe(f func(t *Tables))
}

// ClaimKey identifies a non-idempotent request (7.1).
type ClaimKey struct {
	Caller      CallerName
	Route       RouteName
	Key         string
	Fingerprint uint64
}

// ClaimTicket is the right to run a non-idempotent request once. Only the
// instance that obtained it may use it.
type ClaimTicket struct {
	Claim Claim
	// RunBy is the deadline for sending the request to a backend server. After
	// it, the ticket must be returned with MarkNotRun.
	RunBy time.Time
}

// Claimer decides which instance runs a non-idempotent request.
type Claimer interface {
	// Begin returns a ticket if the caller of Begin may run the request, the
	// recorded outcome if the request ran before, or a *Refusal as error.
	Begin(ctx context.Context, key ClaimKey, deadline time.Time) (*ClaimTicket, *Outcome, error)
	// Finish records the outcome. After an error the claim stays in a state in
	// which a repeated request is answered with RunStateMayHaveRun.
	Finish(ctx context.Context, ticket *ClaimTicket, outcome *Outcome) error
	// MarkNotRun returns the ticket unused. It must be called only if certainly
	// no byte of the request reached a backend server.
	MarkNotRun(ctx context.Context, ticket *ClaimTicket) error
	// MarkUnknown records that the request may have run.
	MarkUnknown(ctx context.Context, ticket *ClaimTicket) error
}
