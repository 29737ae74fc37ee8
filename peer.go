package egretflow

import (
	"context"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Member is an instance, as the platform's list and the tracker report it.
type Member struct {
	Name          InstanceName
	Address       netip.AddrPort
	FailureDomain FailureDomain
	Region        Region
	State         MemberState
	// ProcessorShare is the processor time that the instance may use, in cores; 0
	// if unknown.
	ProcessorShare float64
	// HeardAt is when the instance last answered directly; zero if it never
	// did.
	HeardAt time.Time
}

// Demand is the use of one server by one holder of grants, as sent to the owner
// of the server (5.3).
type Demand struct {
	_      struct{} `cbor:",toarray"`
	Server ServerName
	// InUse counts the slots with running attempts, Held the slots granted.
	InUse int
	Held  int
	// Wanted counts the slots wanted in addition to Held, by rank of
	// importance.
	Wanted [4]int
}

// Backlog is the work that the sender has placed on one server.
type Backlog struct {
	_      struct{} `cbor:",toarray"`
	Server ServerName
	// Tokens is an estimate of the prompt tokens that are not computed yet.
	Tokens int
}

// Queue is the prefill work that waits in the sender's queue for one pool.
type Queue struct {
	_    struct{} `cbor:",toarray"`
	Pool PoolName
	// Tokens counts prompt tokens by rank of importance.
	Tokens [4]int
}

// PrefillLoad is the prefill work of one instance that is not computed yet.
// Servers and pools that it does not name have none.
type PrefillLoad struct {
	_        struct{} `cbor:",toarray"`
	Backlogs []Backlog
	Queues   []Queue
}

// ServerHints names the servers that should get no work for now.
type ServerHints struct {
	_ struct{} `cbor:",toarray"`
	// Changing lists the servers that the sender has ordered to change their
	// role.
	Changing []ServerName
	// Lost lists the servers that refuse connections, or whose address belongs to
	// another server.
	Lost []LostServer
}

// LostServer is a backend server that refuses connections, or whose address
// belongs to another server now.
type LostServer struct {
	_      struct{} `cbor:",toarray"`
	Server ServerName
	// RemainingMS is the remaining time in milliseconds until the server is
	// tried again. It is not a time of day, because the clocks of instances
	// differ.
	RemainingMS int64
}

// Grant allows a holder to use slots of one server until a deadline.
type Grant struct {
	_      struct{} `cbor:",toarray"`
	Server ServerName
	Slots  int
	// ExpiresAt is in the clock of the holder: the time at which it sent its
	// request, plus the lifetime.
	ExpiresAt time.Time
}

// CrashReport attributes the loss of servers to the requests with a fingerprint, or
// to a part of prompts (5.6).
type CrashReport struct {
	_ struct{} `cbor:",toarray"`
	// Fingerprint is the hash of the part if Part is true.
	Fingerprint uint64
	// Others holds the other parts if only requests with all of them are affected, at
	// most MaxOtherParts.
	Others    []PartHash
	Servers   []ServerName
	ExpiresAt time.Time
	Part      bool
	// Shared reports whether other requests may have caused the second loss; for a
	// part, whether the answers had begun.
	Shared bool
}

// MaxOtherParts bounds CrashReport.Others, so that the names of a report stay few.
const MaxOtherParts = 11

// otherPartPrefix is the beginning of the names that stand for other parts in messages.
const otherPartPrefix = "suspected-part."

// Names returns the names that messages carry for the servers and the other parts of the
// report. Earlier versions take all for servers, and so block the part alone.
func (r *CrashReport) Names() []ServerName {
	names := make([]ServerName, 0, len(r.Others)+len(r.Servers))
	for _, part := range r.Others {
		names = append(names, ServerName(otherPartPrefix+part.String()))
	}
	return append(names, r.Servers...)
}

// SetNames sets the servers and the other parts from the names of a message.
func (r *CrashReport) SetNames(names []ServerName) {
	r.Others, r.Servers = nil, make([]ServerName, 0, len(names))
	for _, name := range names {
		text, ok := strings.CutPrefix(string(name), otherPartPrefix)
		hash, err := strconv.ParseUint(text, 16, 64)
		switch {
		case !ok:
			r.Servers = append(r.Servers, name)
		case err == nil && len(r.Others) < MaxOtherParts:
			r.Others = append(r.Others, PartHash(hash))
		}
	}
}

// ExchangeRequest is the message that an instance sends periodically to a peer
// of its slice.
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
	// Prefill is nil if it does not fit into the byte budget of the message.
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
	// Prefill is nil if it does not fit into the byte budget of the message.
	Prefill *PrefillLoad
}

// PullRequest asks for tables above a revision. It also shows the receiver
// which revision the sender uses, so that a receiver with a lower one pulls in
// turn.
type PullRequest struct {
	_     struct{} `cbor:",toarray"`
	Above Revision
	// From is the sender and Revision the revision that it uses.
	From     InstanceName
	Revision Revision
	// Full asks for the whole tables, because the changes that a peer sent do
	// not apply to the active revision.
	Full bool
}

// PullResponse carries the tables in use, or the changes that lead to them. It
// carries neither if the sender's revision is not above the requested one.
type PullResponse struct {
	_ struct{} `cbor:",toarray"`
	// Tables is the JSON encoding of the tables.
	Tables []byte
	// Confirmed reports whether the sender has confirmed Revision with the store,
	// not only through a peer.
	Confirmed bool
	// Revision and EditID are those of the tables that the sender uses, also if
	// Tables is empty.
	Revision Revision
	EditID   string
	// Deltas are sent instead of Tables if they are smaller. They are the audit
	// entries of all revisions above the requested one, in order, as stored.
	Deltas [][]byte
}

// PeerClient sends messages to other instances and returns their responses.
type PeerClient interface {
	Exchange(ctx context.Context, to Member, r *ExchangeRequest) (*ExchangeResponse, error)
	Pull(ctx context.Context, to Member, r *PullRequest) (*PullResponse, error)
	CommitClaims(ctx context.Context, to Member, r *CommitRequest) (*CommitResponse, error)
}

// PeerHandler handles messages of other instances.
type PeerHandler interface {
	HandleExchange(ctx context.Context, r *ExchangeRequest) (*ExchangeResponse, error)
	HandlePull(ctx context.Context, r *PullRequest) (*PullResponse, error)
	HandleCommitClaims(ctx context.Context, r *CommitRequest) (*CommitResponse, error)
}
