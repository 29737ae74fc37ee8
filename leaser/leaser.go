// Package leaser holds a key of the store under a lease, so that only one instance
// at a time may command engines (8.1).
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
//  2. If the response to the write of the key is lost, Acquire reads the key and
//     compares its value with the value written. If the write takes effect only
//     after that, it holds the key for TTL at most.
//  3. After an error that leaves it open whether the lease was extended, the
//     previous expiry applies.
package leaser

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/egretflow/egretflow"
)

// Config configures Acquire.
type Config struct {
	Store egretflow.Store
	Clock egretflow.Clock
	Key   string
	// TTL is the lifetime of the lease.
	TTL time.Duration
}

// HeldLease is a lease with which this instance holds the key. The key is held
// until the lease ends.
type HeldLease struct {
	Lease egretflow.Lease
	// Version is that of the key, which is written only once.
	Version   egretflow.StoreVersion
	Fencing   uint64
	StartedAt time.Time

	store egretflow.Store
}

// Acquire tries to become the holder of the key. It returns nil without an error
// if another instance is the holder.
func Acquire(ctx context.Context, cfg Config) (*HeldLease, error) {
	if _, err := cfg.Store.Get(ctx, cfg.Key); err == nil {
		return nil, nil
	} else if !errors.Is(err, egretflow.ErrNotFound) {
		return nil, fmt.Errorf("read lease key: %w", err)
	}
	lease, err := cfg.Store.GrantLease(ctx, cfg.TTL)
	if err != nil {
		return nil, fmt.Errorf("grant lease: %w", err)
	}
	value := uuid.NewString()
	version, err := cfg.Store.Commit(ctx, egretflow.StoreTxn{
		Conditions: []egretflow.StoreCondition{{Key: cfg.Key}},
		Writes:     []egretflow.StoreWrite{{Key: cfg.Key, Value: []byte(value), Lease: lease.ID}},
	})
	if errors.Is(err, egretflow.ErrUncertain) {
		version, err = readBack(ctx, cfg, value)
	}
	term := &HeldLease{Lease: lease, Version: version, Fencing: uint64(version.Revision), StartedAt: cfg.Clock(), store: cfg.Store}
	if err == nil {
		return term, nil
	}
	// An error is ignored because the lease also expires.
	_ = term.Release(ctx)
	if errors.Is(err, egretflow.ErrConflict) {
		return nil, nil
	}
	return nil, fmt.Errorf("write lease key: %w", err)
}

// readBack returns the version of the key if its value is the given one.
// Acquire calls it after the response to the write was lost.
func readBack(ctx context.Context, cfg Config, value string) (egretflow.StoreVersion, error) {
	entry, err := cfg.Store.Get(ctx, cfg.Key)
	if err != nil {
		return egretflow.StoreVersion{}, fmt.Errorf("read back lease key: %w", err)
	}
	if string(entry.Value) != value {
		return egretflow.StoreVersion{}, egretflow.ErrConflict
	}
	return entry.Created, nil
}

// Renew extends the lease by its TTL. After an error, the previous expiry
// applies.
func (t *HeldLease) Renew(ctx context.Context) error {
	lease, err := t.store.KeepLease(ctx, t.Lease.ID)
	if err != nil {
		return fmt.Errorf("renew lease: %w", err)
	}
	t.Lease = lease
	return nil
}

// Release revokes the lease, which deletes the key.
func (t *HeldLease) Release(ctx context.Context) error {
	if err := t.store.RevokeLease(ctx, t.Lease.ID); err != nil {
		return fmt.Errorf("release lease: %w", err)
	}
	return nil
}
