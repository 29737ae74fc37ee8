package egretflow

import (
	"context"
	"net/netip"
	"time"
)

// Member is an instance as the platform's list and the tracker know it.
type Member struct {
	Name          InstanceName
	Address       netip.AddrPort
	FailureDomain FailureDomain
	Region        Region
	State         MemberState
	// HeardAt is the time of the last direct answer; zero if never.
	HeardAt time.Time
}

// Demand is one holder's use of one server, as sent to the owner (5.3).
type Demand struct {
	_      struct{} `cbor:",toarray"`
	Server ServerName
	// InUse counts slots with running attempts, Held the slots granted.
	InUse int
	Held  int
	// Wanted counts slots wanted beyond Held, by rank of importance.
	Wanted [4]int
}

// Backlog is the work that the sender has placed on one server.
type Backlog struct {
	_      struct{} `cbor:",toarray"`
	Server ServerName
	// Tokens is an estimate of the prompt tokens that are not computed yet.
	Tokens int
	// Blocks is the engine memory in use, where places are counted in blocks.
	Blocks int
}

// Queue is the prefill work that waits at the sender for one pool.
type Queue struct {
	_    struct{} `cbor:",toarray"`
	Pool PoolName
	// Tokens counts prompt tokens by rank of importance.
	Tokens [4]int
}

// PrefillLoad is the prefill work of one instance that is not computed yet.
// Servers and pools not named have none.
type PrefillLoad struct {
	_        struct{} `cbor:",toarray"`
	Backlogs []Backlog
	Queues   []Queue
	// Changing lists servers that the sender has ordered to change their role.
	Changing []ServerName
	// Lost lists servers whose process the sender found gone.
	Lost []LostServer
}

// LostServer is a backend server that refuses connections, or whose address
// another one has.
type LostServer struct {
	_      struct{} `cbor:",toarray"`
	Server ServerName
	// LeftMS is the time in milliseconds until the server is tried again. It is a
	// rest, because the clocks of instances differ.
	LeftMS int64
}

// Grant gives a holder slots of one server until a deadline.
type Grant struct {
	_      struct{} `cbor:",toarray"`
	Server ServerName
	Slots  int
	// ExpiresAt is in the clock of the holder: its send time plus the lifetime.
	ExpiresAt time.Time
}

// CrashReport charges a fingerprint with lost servers (5.6).
type CrashReport struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Servers     []ServerName
	ExpiresAt   time.Time
}

// ExchangeRequest is the periodic message to a peer of the slice.
type ExchangeRequest struct {
	_           struct{} `cbor:",toarray"`
	From        InstanceName
	Incarnation uint64
	SentAt      time.Time
	Revision    Revision
	Leaving     bool
	// Slices is the number of slices in the sender's region (5.3).
	Slices  int
	Demands []Demand
	Crashes []CrashReport
	// Prefill is nil when the byte budget has no room for it.
	Prefill *PrefillLoad
}

// ExchangeResponse answers an ExchangeRequest.
type ExchangeResponse struct {
	_           struct{} `cbor:",toarray"`
	From        InstanceName
	Incarnation uint64
	Revision    Revision
	Leaving     bool
	// Slices is the number of slices in the sender's region (5.3).
	Slices  int
	Grants  []Grant
	Crashes []CrashReport
	// Prefill is nil when the byte budget has no room for it.
	Prefill *PrefillLoad
}

// PullRequest asks for tables above a revision and tells the receiver which
// revision the sender holds, so that a receiver with a lower one pulls in turn.
type PullRequest struct {
	_     struct{} `cbor:",toarray"`
	Above Revision
	// From and Revision are the sender and its active revision.
	From     InstanceName
	Revision Revision
	// Full asks for the whole tables because changes did not fit.
	Full bool
}

// PullResponse carries the tables in force or the changes that lead to them, or
// neither when not higher.
type PullResponse struct {
	_ struct{} `cbor:",toarray"`
	// Tables is the JSON encoding of the tables.
	Tables []byte
	// Confirmed says that the sender has confirmed Revision with the store
	// itself, not only through a peer.
	Confirmed bool
	// Revision and EditID are the sender's active revision, also when Tables is
	// empty.
	Revision Revision
	EditID   string
	// Deltas are sent instead of Tables when they are smaller: the audit entries
	// of all revisions above the requested one, in order, as stored.
	Deltas [][]byte
}

// Peers sends messages to other instances.
type Peers interface {
	Exchange(ctx context.Context, to Member, r *ExchangeRequest) (*ExchangeResponse, error)
	Pull(ctx context.Context, to Member, r *PullRequest) (*PullResponse, error)
	CommitClaims(ctx context.Context, to Member, r *CommitRequest) (*CommitResponse, error)
}

// PeerHandler answers messages of other instances.
type PeerHandler interface {
	HandleExchange(ctx context.Context, r *ExchangeRequest) (*ExchangeResponse, error)
	HandlePull(ctx context.Context, r *PullRequest) (*PullResponse, error)
	HandleCommitClaims(ctx context.Context, r *CommitRequest) (*CommitResponse, error)
}
