package egretflow

import (
	"fmt"
	"regexp"
)

// RequestID identifies one request of a caller, across its retries and
// resumptions.
type RequestID string

// AttemptID identifies one execution of a request on backend servers. It is
// sent to the engine as X-Request-Id.
type AttemptID string

// DecisionID identifies one decision, which egretctl can explain later.
type DecisionID string

// InstanceName names an instance.
type InstanceName string

// ServerName names a backend server.
type ServerName string

// CallerName names a caller.
type CallerName string

// PoolName names a pool; routes refer to pools by it.
type PoolName string

// RouteName names a route.
type RouteName string

// ModelName is the name by which callers request a model.
type ModelName string

// FailureDomain names a failure domain of a region.
type FailureDomain string

// Region names a region.
type Region string

// MaxNameBytes bounds the length of every name in tables and messages.
const MaxNameBytes = 63

var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?$`)

// CheckName returns a *FieldError for field if name must not be used in tables
// and event ids.
func CheckName(field, name string) error {
	if !namePattern.MatchString(name) {
		return &FieldError{Field: field, Reason: fmt.Sprintf("%q is not a name of letters, digits, dot, dash and underscore", name)}
	}
	return nil
}
