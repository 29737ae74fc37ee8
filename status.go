package egretflow

import (
	"net/netip"
	"time"
)

// StatusPath is the path at which the operator listener of an instance serves
// its InstanceStatus.
const StatusPath = "/status"

// ExplainPath is the prefix of the path of an explanation. The id of a request,
// attempt or decision follows it.
const ExplainPath = "/explain/"

// InstanceStatus is the status that an instance reports to operators.
type InstanceStatus struct {
	Name          InstanceName
	FailureDomain FailureDomain
	Region        Region
	// Revision is the revision of the tables that the instance uses; 0 if it
	// has none yet.
	Revision Revision
	EditID   string `json:",omitempty"`
	// RevisionConfirmed reports whether Revision is known to be the current one
	// (6.2). RevisionConfirmedAt is when it was last known to be.
	RevisionConfirmed   bool
	RevisionConfirmedAt time.Time `json:",omitzero"`
	// WatchesStore reports whether this instance watches the store on behalf of its
	// failure domain.
	WatchesStore bool
	// Ready reports whether the instance has asked peers and the store for the
	// highest revision and has one.
	Ready   bool
	Members []MemberStatus
	// Quotas holds the quotas that this instance counts.
	Quotas []QuotaStatus `json:",omitempty"`
}

// MemberStatus is what an instance reports of a member.
type MemberStatus struct {
	Name          InstanceName
	Address       netip.AddrPort
	FailureDomain FailureDomain
	State         MemberState
	HeardAt       time.Time `json:",omitzero"`
}

// ServerState says how an instance treats a backend server.
type ServerState string

// The states of backend servers.
const (
	ServerStateUsable ServerState = "Usable"
	// ServerStateSuspect servers are slow or failed recently. They get work
	// only if there is no other server, or to probe them.
	ServerStateSuspect ServerState = "Suspect"
	// ServerStateLeaving servers take no new work, because the tables or the
	// servers themselves say so.
	ServerStateLeaving ServerState = "Leaving"
	// ServerStateUnavailable servers take no new work for other reasons, such
	// as a change of their role.
	ServerStateUnavailable ServerState = "Unavailable"
)

// PoolStatus is the state of a pool, as one instance knows it.
type PoolStatus struct {
	Name PoolName
	// Servers counts the backend servers by role and state.
	Servers map[ServerGroup]int
	// Speeds counts the backend servers by role and lasting speed.
	Speeds map[SpeedGroup]int
	// UsableCapacity is the capacity that this instance may use and
	// UsedCapacity the part that it uses. Both are in slots, or in blocks of
	// engine memory where capacity is counted in blocks.
	UsableCapacity int
	UsedCapacity   int
	// Queued counts waiting requests that can meet their first-token target,
	// QueuedLate those that cannot.
	Queued     int
	QueuedLate int
	// RetriesLeft is what remains of the budget of extra attempts that the
	// instances share; 0 without a budget.
	RetriesLeft float64
}

// ServerSpeed says how the lasting speed of a backend server compares with that of the
// typical server of its role.
type ServerSpeed string

// The speeds of backend servers.
const (
	ServerSpeedTypical ServerSpeed = "Typical"
	ServerSpeedFaster  ServerSpeed = "Faster"
	ServerSpeedSlower  ServerSpeed = "Slower"
	// ServerSpeedUnknown means that too little was observed recently.
	ServerSpeedUnknown ServerSpeed = "Unknown"
)

// SpeedGroup identifies the servers of one role and lasting speed.
type SpeedGroup struct {
	Role  Role
	Speed ServerSpeed
}

// ServerGroup identifies the servers of one role and state.
type ServerGroup struct {
	Role  Role
	State ServerState
}
