package storeclient

import (
	"context"
	"fmt"
	"time"

	"github.com/egretflow/egretflow"
)

// GrantLease creates a lease of ttl, rounded up to whole seconds as the store
// requires. After ErrUncertain a lease may exist whose ID nobody knows; it
// expires after its TTL.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (egretflow.Lease, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	before := c.cfg.Clock()
	var response leaseResponse
	if err := c.call(ctx, CallGrantLease, leaseRequest{TTL: seconds}, &response); err != nil {
		return egretflow.Lease{}, fmt.Errorf("grant lease: %w", err)
	}
	return response.lease(before), nil
}

// KeepLease renews a lease for its TTL from now. ErrNotFound means that it has
// expired. After ErrUncertain the holder must assume that the earlier ExpiresAt
// still applies.
func (c *Client) KeepLease(ctx context.Context, id egretflow.LeaseID) (egretflow.Lease, error) {
	before := c.cfg.Clock()
	var response struct {
		Result leaseResponse `json:"result"`
	}
	if err := c.call(ctx, CallKeepLease, leaseRequest{ID: id.Number}, &response); err != nil {
		return egretflow.Lease{}, fmt.Errorf("keep lease %d: %w", id.Number, err)
	}
	if response.Result.TTL <= 0 {
		return egretflow.Lease{}, fmt.Errorf("keep lease %d: %w", id.Number, egretflow.ErrNotFound)
	}
	return response.Result.lease(before), nil
}

// RevokeLease ends a lease and deletes its keys. ErrNotFound means that the
// lease does not exist.
func (c *Client) RevokeLease(ctx context.Context, id egretflow.LeaseID) error {
	var response struct{}
	if err := c.call(ctx, CallRevokeLease, leaseRequest{ID: id.Number}, &response); err != nil {
		return fmt.Errorf("revoke lease %d: %w", id.Number, err)
	}
	return nil
}

// lease returns the granted or renewed lease. requestedAt is a time before the
// call.
func (r leaseResponse) lease(requestedAt time.Time) egretflow.Lease {
	return egretflow.Lease{
		ID:        egretflow.LeaseID{Number: r.ID},
		ExpiresAt: requestedAt.Add(time.Duration(r.TTL) * time.Second),
	}
}
