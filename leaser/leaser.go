// Package leaser holds a key of the store under a lease, so that only one instance
// at a time may command engines (8.1).
//
// # Usage
//
//	term, err := leaser.Acquire(ctx, leaser.Config{Store: store, Eras: eras, Clock: clock, Key: key, TTL: ttl, ActionTimeout: timeout})
//	if term == nil {
//		// another instance holds the key
//	}
//	err = term.Renew(ctx)
//
// # Rules
//
//  1. The version at which the key was created gives the fencing token; it increases
//     with every holder, also when the store comes back from an older copy of itself and
//     begins a new era.
//  2. If the response to the write of the key is lost, Acquire reads the key and
//     compares its value with the value written. If the write takes effect only
//     after that, it holds the key for TTL at most.
//  3. After an error that leaves it open whether the lease was extended, the
//     previous expiry applies.
//  4. A lease ends with its era, whatever the store says of it: its number may belong to
//     another lease.
//  5. A holder of an earlier era may act until its lease would have expired, and its last
//     action takes ActionTimeout at most. Nobody acquires a lease before both have passed
//     since this instance learnt of the era.
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
	// Eras knows the latest era of Store; nil for a store that names none.
	Eras egretflow.EraFollower
	Key  string
	// TTL is the lifetime of the lease.
	TTL time.Duration
	// ActionTimeout bounds what a holder does between a renewal and the end of the action
	// that the renewal is for.
	ActionTimeout time.Duration
}

// OpensAt returns the time before which a holder of an earlier era may still act; zero if
// there is none.
func (c *Config) OpensAt() time.Time {
	known := c.latestEra()
	if known.LearntAt.IsZero() {
		return time.Time{}
	}
	return known.LearntAt.Add(c.TTL + c.ActionTimeout)
}

// open reports whether no holder of an earlier era can act any more.
func (c *Config) open() bool { return !c.Clock().Before(c.OpensAt()) }

func (c *Config) latestEra() egretflow.KnownEra {
	if c.Eras == nil {
		return egretflow.KnownEra{}
	}
	return c.Eras.Latest()
}

// HeldLease is a lease with which this instance holds the key. The key is held
// until the lease ends.
type HeldLease struct {
	Lease egretflow.Lease
	// Version is that of the key, which is written only once.
	Version   egretflow.StoreVersion
	Fencing   uint64
	StartedAt time.Time

	cfg Config
}

// Acquire tries to become the holder of the key. It returns nil without an error
// if another instance is the holder, or one of an earlier era may still be.
func Acquire(ctx context.Context, cfg Config) (*HeldLease, error) {
	if _, err := cfg.Store.Get(ctx, cfg.Key); err == nil {
		return nil, nil
	} else if !errors.Is(err, egretflow.ErrNotFound) {
		return nil, fmt.Errorf("read lease key: %w", err)
	}
	if !cfg.open() {
		return nil, nil
	}
	lease, err := cfg.Store.GrantLease(ctx, cfg.TTL)
	if err != nil {
		return nil, fmt.Errorf("grant lease: %w", err)
	}
	version, err := writeKey(ctx, cfg, lease.ID)
	term := &HeldLease{Lease: lease, Version: version, StartedAt: cfg.Clock(), cfg: cfg}
	if err == nil {
		term.Fencing, err = version.Fencing()
	}
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

// writeKey writes the key under a lease and returns its version. It returns ErrConflict if
// the key was written in another era than that of the lease, where the lease may be another
// one, and removes the key then.
func writeKey(ctx context.Context, cfg Config, lease egretflow.LeaseID) (egretflow.StoreVersion, error) {
	value := uuid.NewString()
	version, err := cfg.Store.Commit(ctx, egretflow.StoreTxn{
		Conditions: []egretflow.StoreCondition{{Key: cfg.Key}},
		Writes:     []egretflow.StoreWrite{{Key: cfg.Key, Value: []byte(value), Lease: lease}},
	})
	if errors.Is(err, egretflow.ErrUncertain) {
		version, err = readBack(ctx, cfg, value)
	}
	if err != nil || version.Era == lease.Era {
		return version, err //nolint:wrapcheck // Acquire adds the context.
	}
	// An error is ignored because the lease of the key may also expire.
	_, _ = cfg.Store.Commit(ctx, egretflow.StoreTxn{
		Conditions: []egretflow.StoreCondition{{Key: cfg.Key, Modified: version}},
		Writes:     []egretflow.StoreWrite{{Key: cfg.Key, Delete: true}},
	})
	return version, egretflow.ErrConflict
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

// Held reports whether the lease is valid at a time, as far as this instance knows.
func (t *HeldLease) Held(now time.Time) bool {
	return now.Before(t.Lease.ExpiresAt) && (t.cfg.Eras == nil || t.Lease.ID.Era == t.cfg.Eras.Latest().Era)
}

// Renew extends the lease by its TTL. After an error, the previous expiry
// applies, except that after ErrNotFound the lease has ended.
func (t *HeldLease) Renew(ctx context.Context) error {
	lease, err := t.cfg.Store.KeepLease(ctx, t.Lease.ID)
	if err != nil {
		return fmt.Errorf("renew lease: %w", err)
	}
	t.Lease = lease
	return nil
}

// Release revokes the lease, which deletes the key.
func (t *HeldLease) Release(ctx context.Context) error {
	if err := t.cfg.Store.RevokeLease(ctx, t.Lease.ID); err != nil {
		return fmt.Errorf("release lease: %w", err)
	}
	return nil
}
