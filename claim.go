package egretflow

import "time"

// Claim is the record of one non-idempotent request (7.2).
type Claim struct {
	// KeyHash is the hex SHA-256 of caller, route and idempotency key.
	KeyHash string
	// Fingerprint is the hash of the request body and path.
	Fingerprint uint64
	// Token identifies the holder's write when an answer of the store is lost.
	Token  string
	Epoch  uint64
	Holder InstanceName
	State  ClaimState
	// Outcome is set in ClaimStateDone.
	Outcome *Outcome `json:",omitempty"`
	// ExpiresAt ends the retention of the record.
	ExpiresAt time.Time
}

// Outcome is the stored answer of a non-idempotent request.
type Outcome struct {
	Status      int
	ContentType string
	Body        []byte
	// Truncated says that the body was too large to keep.
	Truncated bool `json:",omitempty"`
}

// ClaimDocument holds the claims of one shard and time bucket (7.2).
type ClaimDocument struct {
	Claims []Claim
}

// CommitRequest asks the committer of a shard to write claims.
type CommitRequest struct {
	_      struct{} `cbor:",toarray"`
	From   InstanceName
	Claims []Claim
	// Documents holds the store key of the document of each claim.
	Documents []string
}

// CommitResult is the record in force after a commit: the own one if it won.
type CommitResult struct {
	_     struct{} `cbor:",toarray"`
	Claim Claim
	// Error is empty or says why there is no record in force.
	Error CommitError
}

// CommitError says why a claim was not committed.
type CommitError string

// The commit errors.
const (
	// CommitErrorUncertain means that the claim may still take effect.
	CommitErrorUncertain CommitError = "Uncertain"
	// CommitErrorUnavailable means that it is certain not to take effect.
	CommitErrorUnavailable CommitError = "Unavailable"
	// CommitErrorFull means that the document has no room for another claim.
	CommitErrorFull CommitError = "Full"
	// CommitErrorNotFound means that the claim to be updated has no record.
	CommitErrorNotFound CommitError = "NotFound"
)

// CommitResponse holds one result per claim of the request, in order.
type CommitResponse struct {
	_       struct{} `cbor:",toarray"`
	Results []CommitResult
}
