package egretflow

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Errors that callers of this module test for with errors.Is.
var (
	// ErrNotFound means that a key, route, pool, model or stream does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict means that a conditional write lost against another writer.
	ErrConflict = errors.New("conflict")
	// ErrUncertain means that a write may or may not have taken effect.
	ErrUncertain = errors.New("outcome of the write is unknown")
	// ErrUnavailable means that an external system could not be reached.
	ErrUnavailable = errors.New("unavailable")
	// ErrFull means that a backend server has no capacity for the request.
	ErrFull = errors.New("no room")
	// ErrUnauthorized means that a credential is missing or wrong.
	ErrUnauthorized = errors.New("unauthorized")
	// ErrForbidden means that no route gives the caller access to what it asked
	// for.
	ErrForbidden = errors.New("forbidden")
)

// BusyError means that a backend server has no capacity for a request and wants none
// before RetryAt. It wraps ErrFull.
type BusyError struct{ RetryAt time.Time }

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("%v before %s", ErrFull, e.RetryAt.Format(time.RFC3339Nano))
}

// Unwrap returns ErrFull.
func (e *BusyError) Unwrap() error { return ErrFull }

// FieldError names the field of a table, message or body for which it was
// refused.
type FieldError struct {
	// Field is the path of the field, such as Routes[0].Pool.
	Field string
	// Reason says what is wrong with it.
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// RequiredField names a field of a configuration and says whether it is
// missing.
type RequiredField struct {
	Name    string
	Missing bool
}

// CheckRequired returns a *FieldError for the first field that is missing.
func CheckRequired(fields []RequiredField) error {
	for _, f := range fields {
		if f.Missing {
			return &FieldError{Field: f.Name, Reason: "is required"}
		}
	}
	return nil
}

// RefusalReason is the machine-readable reason of a refusal. Callers receive
// its value.
type RefusalReason string

// The refusal reasons.
const (
	RefusalOverload        RefusalReason = "Overload"
	RefusalDeadline        RefusalReason = "Deadline"
	RefusalNoServer        RefusalReason = "NoServer"
	RefusalCrashSuspect    RefusalReason = "CrashSuspect"
	RefusalDraining        RefusalReason = "Draining"
	RefusalBadRequest      RefusalReason = "BadRequest"
	RefusalUnauthorized    RefusalReason = "Unauthorized"
	RefusalForbidden       RefusalReason = "Forbidden"
	RefusalUnknownModel    RefusalReason = "UnknownModel"
	RefusalTooManyStreams  RefusalReason = "TooManyStreams"
	RefusalKeyReused       RefusalReason = "KeyReused"
	RefusalStore           RefusalReason = "StoreUnavailable"
	RefusalBackend         RefusalReason = "BackendFailed"
	RefusalInProgress      RefusalReason = "InProgress"
	RefusalClaimUnresolved RefusalReason = "ClaimUnresolved"
	RefusalQuota           RefusalReason = "QuotaExceeded"
	RefusalQuotaUnknown    RefusalReason = "QuotaUnknown"
)

// Refusal is an error that is sent to a caller. It always states whether the
// work ran.
type Refusal struct {
	// Status is the HTTP status, 400 to 599.
	Status int
	// Reason is the machine-readable reason.
	Reason RefusalReason
	// RunState says whether the work ran.
	RunState RunState
	// Message is shown to the caller.
	Message string
	// RetryAt is the earliest time at which a retry is useful; zero if
	// unknown.
	RetryAt time.Time
	// Err is the cause, for logs only.
	Err error
}

// Error implements error.
func (r *Refusal) Error() string {
	if r.Err != nil {
		return fmt.Sprintf("%s (%s): %s: %v", r.Reason, r.RunState, r.Message, r.Err)
	}
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.RunState, r.Message)
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Err }
