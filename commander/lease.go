package commander

import (
	"context"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/leaser"
)

// term is the time in which this instance holds the lease of a pool.
type term struct {
	leaser.Term
	// commandsFrom is when engines that do not check the token may be
	// commanded.
	commandsFrom time.Time
}

// allows reports whether a command that is sent now arrives within the lease.
func (t *term) allows(now time.Time) bool {
	return now.Add(CommandTimeout).Before(t.Lease.ExpiresAt)
}

func leaseKey(pool egretflow.PoolName) string   { return "Commands/" + string(pool) + "/Lease" }
func desiredKey(pool egretflow.PoolName) string { return "Commands/" + string(pool) + "/Desired" }

// acquire tries to become the holder. It returns nil when another one is.
func acquire(ctx context.Context, store egretflow.Store, clock egretflow.Clock, pool egretflow.PoolName) (*term, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	held, err := leaser.Acquire(ctx, leaser.Config{Store: store, Clock: clock, Key: leaseKey(pool), TTL: LeaseTTL})
	if err != nil || held == nil {
		return nil, err //nolint:wrapcheck // leaser says what failed
	}
	return &term{Term: *held, commandsFrom: held.StartedAt.Add(LeaseTTL + CommandTimeout)}, nil
}

// renew extends the lease.
func (t *term) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return t.Renew(ctx) //nolint:wrapcheck // leaser says what failed
}
