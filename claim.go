package egretflow

import "time"

// Claim is the record of one non-idempotent request. It decides which attempt
// may run the request (7.2).
type Claim struct {
	// KeyHash is the hex SHA-256 of caller, route and idempotency key.
	KeyHash string
	// Fingerprint is a hash of caller, method, path and body. A request with
	// the same key and another fingerprint is refused.
	Fingerprint uint64
	// Token identifies the write of the holder, so that it recognises its claim
	// when the store's response to the write was lost.
	Token  string
	Epoch  uint64
	Holder InstanceName
	State  ClaimState
	// Outcome is set in ClaimStateDone, nil otherwise.
	Outcome *Outcome `json:",omitempty"`
	// ExpiresAt is the end of the retention of the record.
	ExpiresAt time.Time
}

// Outcome is the stored response to a non-idempotent request.
type Outcome struct {
	Status      int
	ContentType string
	Body        []byte
	// Truncated is true if the body was too large and is not stored.
	Truncated bool `json:",omitempty"`
}

// ClaimDocument holds the claims of one shard and time bucket (7.2).
type ClaimDocument struct {
	Claims []Claim
}

// CommitRequest asks the instance that commits the claims of a shard to write
// claims.
type CommitRequest struct {
	_      struct{} `cbor:",toarray"`
	From   InstanceName
	Claims []Claim
	// Documents holds the store key of the document of each claim.
	Documents []string
}

// CommitResult holds the record in force after a commit, which is the requested
// one if its write won.
type CommitResult struct {
	_     struct{} `cbor:",toarray"`
	Claim Claim
	// Error is empty if there is a record in force; otherwise it says why not.
	Error CommitError
}

// CommitError says why a claim was not committed.
type CommitError string

// The reasons why a claim was not committed.
const (
	// CommitErrorUncertain means that the claim may still take effect.
	CommitErrorUncertain CommitError = "Uncertain"
	// CommitErrorUnavailable means that the claim certainly does not take
	// effect.
	CommitErrorUnavailable CommitError = "Unavailable"
	// CommitErrorFull means that the document has no room for another claim.
	CommitErrorFull CommitError = "Full"
	// CommitErrorNotFound means that the claim to update has no record.
	CommitErrorNotFound CommitError = "NotFound"
)

// CommitResponse holds one result per claim of the request, in order.
type CommitResponse struct {
	_       struct{} `cbor:",toarray"`
	Results []CommitResult
}
