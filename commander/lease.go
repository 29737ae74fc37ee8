package commander

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/egretflow/egretflow"
)

// term is the time in which this instance holds the lease of a pool.
type term struct {
	lease egretflow.Lease
	// fencing is the create revision of the lease key, and revision its
	// modification revision, which is the same as the key is written once.
	fencing  uint64
	revision int64
	// commandsFrom is when engines that do not check the token may be
	// commanded.
	commandsFrom time.Time
}

// allows reports whether a command that is sent now arrives within the lease.
func (t *term) allows(now time.Time) bool {
	return now.Add(CommandTimeout).Before(t.lease.ExpiresAt)
}

func leaseKey(pool egretflow.PoolName) string   { return "Commands/" + string(pool) + "/Lease" }
func desiredKey(pool egretflow.PoolName) string { return "Commands/" + string(pool) + "/Desired" }

// acquire tries to become the holder. It returns nil when another one is.
func acquire(ctx context.Context, store egretflow.Store, clock egretflow.Clock, pool egretflow.PoolName) (*term, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	if _, err := store.Get(ctx, leaseKey(pool)); err == nil {
		return nil, nil
	} else if !errors.Is(err, egretflow.ErrNotFound) {
		return nil, fmt.Errorf("read lease key: %w", err)
	}
	lease, err := store.GrantLease(ctx, LeaseTTL)
	if err != nil {
		return nil, fmt.Errorf("grant lease: %w", err)
	}
	token := uuid.NewString()
	revision, err := store.Commit(ctx, egretflow.StoreTxn{
		Conditions: []egretflow.StoreCondition{{Key: leaseKey(pool)}},
		Writes:     []egretflow.StoreWrite{{Key: leaseKey(pool), Value: []byte(token), Lease: lease.ID}},
	})
	if errors.Is(err, egretflow.ErrUncertain) {
		revision, err = findOwn(ctx, store, pool, token)
	}
	if err != nil {
		// The lease also ends by itself.
		_ = store.RevokeLease(ctx, lease.ID)
		if errors.Is(err, egretflow.ErrConflict) {
			return nil, nil
		}
		return nil, fmt.Errorf("write lease key: %w", err)
	}
	return &term{
		lease: lease, fencing: uint64(revision), revision: revision,
		commandsFrom: clock().Add(LeaseTTL + CommandTimeout),
	}, nil
}

// findOwn looks for the own token after the answer to the write was lost. A
// write that takes effect later holds the lease key for LeaseTTL at most.
func findOwn(ctx context.Context, store egretflow.Store, pool egretflow.PoolName, token string) (int64, error) {
	entry, err := store.Get(ctx, leaseKey(pool))
	if err != nil {
		return 0, fmt.Errorf("read back lease key: %w", err)
	}
	if string(entry.Value) != token {
		return 0, egretflow.ErrConflict
	}
	return entry.CreateRevision, nil
}

// renew extends the lease. After an error that leaves it open whether the lease
// was extended, the old end counts.
func (t *term) renew(ctx context.Context, store egretflow.Store) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	lease, err := store.KeepLease(ctx, t.lease.ID)
	if err != nil {
		return fmt.Errorf("renew lease: %w", err)
	}
	t.lease = lease
	return nil
}
