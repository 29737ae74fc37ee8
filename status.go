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
