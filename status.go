package egretflow

import (
	"net/netip"
	"time"
)

// StatusPath is where the operator listener of an instance answers GET with an
// InstanceStatus.
const StatusPath = "/status"

// ExplainPath is followed by the id of a request, attempt or decision.
const ExplainPath = "/explain/"

// InstanceStatus is what an instance tells operators about itself.
type InstanceStatus struct {
	Name          InstanceName
	FailureDomain FailureDomain
	Region        Region
	// Revision is the active revision of the tables; 0 if there is none yet.
	Revision Revision
	EditID   string `json:",omitempty"`
	// RevisionConfirmed says that the instance knows Revision to be current
	// (6.2), and RevisionConfirmedAt when it last was.
	RevisionConfirmed   bool
	RevisionConfirmedAt time.Time `json:",omitzero"`
	// WatchesStore says that the instance watches the store for its failure
	// domain.
	WatchesStore bool
	// Ready says that the instance has searched peers and store for the highest
	// revision and holds one.
	Ready   bool
	Members []MemberStatus
}

// MemberStatus is a member as another instance sees it.
type MemberStatus struct {
	Name          InstanceName
	Address       netip.AddrPort
	FailureDomain FailureDomain
	State         MemberState
	HeardAt       time.Time `json:",omitzero"`
}

// ServerState is how an instance treats a backend server.
type ServerState string

// The states of backend servers.
const (
	ServerStateUsable ServerState = "Usable"
	// ServerStateSuspect servers are slow or failed lately; they get work only
	// when there is no other, or as a probe.
	ServerStateSuspect ServerState = "Suspect"
	// ServerStateLeaving servers take no new work, by the tables or by their own
	// word.
	ServerStateLeaving ServerState = "Leaving"
	// ServerStateUnavailable servers take no new work for other reasons, such as a
	// change of their role.
	ServerStateUnavailable ServerState = "Unavailable"
)

// PoolStatus is what an instance believes of a pool.
type PoolStatus struct {
	Name PoolName
	// Servers counts the backend servers.
	Servers map[ServerGroup]int
	// Places that may be used and that own requests use: slots, or blocks of
	// engine memory where places are counted in them.
	UsablePlaces int
	UsedPlaces   int
	// PeerPlaces are used by other instances, as these have said.
	PeerPlaces int
	// Queued requests wait and can meet their target, QueuedLate ones can not.
	Queued     int
	QueuedLate int
	// RetriesLeft is what is left of the budget of extra attempts that a fleet
	// shares; 0 without one.
	RetriesLeft float64
}

// ServerGroup is a role and a state of backend servers.
type ServerGroup struct {
	Role  Role
	State ServerState
}
