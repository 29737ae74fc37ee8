// Package leaser holds a key of the store under a lease, so that one instance at
// a time may command engines (8.1).
//
// # Usage
//
//	term, err := leaser.Acquire(ctx, leaser.Config{Store: store, Clock: clock, Key: key, TTL: ttl})
//	if term == nil {
//		// another instance holds the key
//	}
//	err = term.Renew(ctx)
//
// # Rules
//
//  1. The create revision of the key is the fencing token; it increases with
//     every holder.
//  2. A lost answer to the write is resolved by reading back the own token. A
//     write that takes effect later holds the key for TTL at most.
//  3. After an error that leaves it open whether the lease was extended, the old
//     end counts.
package leaser

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/egretflow/egretflow"
)

// Config holds what Acquire needs.
type Config struct {
	Store egretflow.Store
	Clock egretflow.Clock
	Key   string
	TTL   time.Duration
}

// Term is the time in which this instance holds the key.
type Term struct {
	Lease egretflow.Lease
	// Fencing is the create revision of the key, and Revision its modification
	// revision, which is the same as the key is written once.
	Fencing   uint64
	Revision  int64
	StartedAt time.Time

	store egretflow.Store
}

// Acquire tries to become the holder. It returns nil when another one is.
func Acquire(ctx context.Context, cfg Config) (*Term, error) {
	if _, err := cfg.Store.Get(ctx, cfg.Key); err == nil {
		return nil, nil
	} else if !errors.Is(err, egretflow.ErrNotFound) {
		return nil, fmt.Errorf("read lease key: %w", err)
	}
	lease, err := cfg.Store.GrantLease(ctx, cfg.TTL)
	if err != nil {
		return nil, fmt.Errorf("grant lease: %w", err)
	}
	token := uuid.NewString()
	revision, err := cfg.Store.Commit(ctx, egretflow.StoreTxn{
		Conditions: []egretflow.StoreCondition{{Key: cfg.Key}},
		Writes:     []egretflow.StoreWrite{{Key: cfg.Key, Value: []byte(token), Lease: lease.ID}},
	})
	if errors.Is(err, egretflow.ErrUncertain) {
		revision, err = findOwn(ctx, cfg, token)
	}
	term := &Term{Lease: lease, Fencing: uint64(revision), Revision: revision, StartedAt: cfg.Clock(), store: cfg.Store}
	if err == nil {
		return term, nil
	}
	// The lease also ends by itself.
	_ = term.Release(ctx)
	if errors.Is(err, egretflow.ErrConflict) {
		return nil, nil
	}
	return nil, fmt.Errorf("write lease key: %w", err)
}

// findOwn looks for the own token after the answer to the write was lost.
func findOwn(ctx context.Context, cfg Config, token string) (int64, error) {
	entry, err := cfg.Store.Get(ctx, cfg.Key)
	if err != nil {
		return 0, fmt.Errorf("read back lease key: %w", err)
	}
	if string(entry.Value) != token {
		return 0, egretflow.ErrConflict
	}
	return entry.CreateRevision, nil
}

// Renew extends the lease.
func (t *Term) Renew(ctx context.Context) error {
	lease, err := t.store.KeepLease(ctx, t.Lease.ID)
	if err != nil {
		return fmt.Errorf("renew lease: %w", err)
	}
	t.Lease = lease
	return nil
}

// Release ends the lease.
func (t *Term) Release(ctx context.Context) error {
	if err := t.store.RevokeLease(ctx, t.Lease.ID); err != nil {
		return fmt.Errorf("release lease: %w", err)
	}
	return nil
}
