package egretflow

import (
	"context"
	"fmt"
	"time"
)

// QuotaCharge is what a request has taken of the quota of its organisation.
type QuotaCharge struct {
	Organisation CallerName
	// Cost is in the unit of the quota; 0 if the organisation has none.
	Cost int
	// At is when the charge was made, Epoch identifies the count that was charged.
	At    time.Time
	Epoch uint64
}

// QuotaSpender spends the quotas of organisations, which all instances share.
type QuotaSpender interface {
	// Spend takes cost from the quota of o. If the quota has no room, it returns a
	// *Refusal whose RetryAt is when the organisation has room for the request again. It
	// waits for other instances a bounded time only.
	Spend(ctx context.Context, o *Organisation, cost int) (QuotaCharge, error)
	// Refund gives back the charge of a request that certainly has not run.
	Refund(c QuotaCharge)
}

// QuotaStatus is the state of the quota of an organisation at the instance that counts it.
type QuotaStatus struct {
	Organisation CallerName
	// Limit is the quota of the whole fleet.
	Limit Quota
	// Left is what may be spent now, in the unit of the quota.
	Left float64
	// Share is the share of the fleet that the instance counts for.
	Share float64
	// Reached reports whether requests were refused lately.
	Reached bool
}

// QuotaError is the cause of a refusal by a QuotaSpender, for logs.
type QuotaError struct {
	Organisation CallerName
	Cost         int
	// Left is what was left of the quota at Owner, the instance that decided.
	Left  int64
	Owner InstanceName
}

// Error implements error.
func (e *QuotaError) Error() string {
	return fmt.Sprintf("organisation %s asked for %d with %d left at %s", e.Organisation, e.Cost, e.Left, e.Owner)
}
