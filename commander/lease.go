package commander

import (
	"context"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/leaser"
)

// term is a period in which this instance holds the lease of a pool.
type term struct {
	leaser.HeldLease
	// unfencedCommandsFrom is the time from which engines that do not check the
	// token may be commanded. By then the commands of earlier holders have
	// arrived or failed.
	unfencedCommandsFrom time.Time
}

// allowsCommand reports whether a command that is sent now arrives or fails before
// the lease ends.
func (t *term) allowsCommand(now time.Time) bool {
	return now.Add(CommandTimeout).Before(t.Lease.ExpiresAt)
}

func leaseKey(pool egretflow.PoolName) string   { return "Commands/" + string(pool) + "/Lease" }
func desiredKey(pool egretflow.PoolName) string { return "Commands/" + string(pool) + "/Desired" }

// acquire tries to acquire the lease of a pool. It returns nil if another instance
// holds it.
func acquire(ctx context.Context, store egretflow.Store, clock egretflow.Clock, pool egretflow.PoolName) (*term, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	held, err := leaser.Acquire(ctx, leaser.Config{Store: store, Clock: clock, Key: leaseKey(pool), TTL: LeaseTTL})
	if err != nil || held == nil {
		return nil, err //nolint:wrapcheck // leaser says what failed
	}
	return &term{HeldLease: *held, unfencedCommandsFrom: held.StartedAt.Add(LeaseTTL + CommandTimeout)}, nil
}

// renew extends the lease.
func (t *term) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return t.Renew(ctx) //nolint:wrapcheck // leaser says what failed
}
