package storeclient

import (
	"context"
	"fmt"
	"time"

	"github.com/egretflow/egretflow"
)

// GrantLease creates a lease of ttl, rounded up to whole seconds as the store
// requires. After ErrUncertain a lease may exist that nobody knows; it expires
// by itself.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (egretflow.Lease, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	before := c.cfg.Clock()
	var answer leaseResponse
	if err := c.call(ctx, CallGrantLease, leaseRequest{TTL: seconds}, &answer); err != nil {
		return egretflow.Lease{}, fmt.Errorf("grant lease: %w", err)
	}
	return answer.lease(before), nil
}

// KeepLease extends a lease by its TTL. ErrNotFound means that it has expired.
// After ErrUncertain the holder must count on the old deadline.
func (c *Client) KeepLease(ctx context.Context, id egretflow.LeaseID) (egretflow.Lease, error) {
	before := c.cfg.Clock()
	var answer struct {
		Result leaseResponse `json:"result"`
	}
	if err := c.call(ctx, CallKeepLease, leaseRequest{ID: int64(id)}, &answer); err != nil {
		return egretflow.Lease{}, fmt.Errorf("keep lease %d: %w", id, err)
	}
	if answer.Result.TTL <= 0 {
		return egretflow.Lease{}, fmt.Errorf("keep lease %d: %w", id, egretflow.ErrNotFound)
	}
	return answer.Result.lease(before), nil
}

// RevokeLease ends a lease and deletes its keys. ErrNotFound means that it was
// gone already.
func (c *Client) RevokeLease(ctx context.Context, id egretflow.LeaseID) error {
	var answer struct{}
	if err := c.call(ctx, CallRevokeLease, leaseRequest{ID: int64(id)}, &answer); err != nil {
		return fmt.Errorf("revoke lease %d: %w", id, err)
	}
	return nil
}

func (r leaseResponse) lease(before time.Time) egretflow.Lease {
	return egretflow.Lease{
		ID:        egretflow.LeaseID(r.ID),
		ExpiresAt: before.Add(time.Duration(r.TTL) * time.Second),
	}
}
