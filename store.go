package egretflow

import (
	"context"
	"time"
)

// MaxStoreValueBytes is the size of the largest value that the key-value store
// accepts.
const MaxStoreValueBytes = 1 << 20

// LeaseID identifies a lease in the store. The zero value means no lease. A lease ends
// with the era in which it was granted: in a later one its number may belong to another
// lease.
type LeaseID struct {
	Era    Era
	Number int64
}

// IsZero reports whether the ID means no lease.
func (id LeaseID) IsZero() bool { return id == LeaseID{} }

// Lease is a granted lease. ExpiresAt is computed from the local time before
// the lease was requested, so it is never later than the expiry in the store.
type Lease struct {
	ID        LeaseID
	ExpiresAt time.Time
}

// StoreEntry is a key with its value and revisions.
type StoreEntry struct {
	Key string
	// Value is nil if an event states that the key was deleted.
	Value []byte
	// Modified is the version of the last write; zero if the key does not exist.
	Modified StoreVersion
	// Created is the version at which the key was created. It increases each time the
	// key is created again and therefore serves as a fencing number (8.1).
	Created StoreVersion
}

// StoreCondition is true if the last write of the key has the given version. The zero
// version means that the key must not exist.
type StoreCondition struct {
	Key      string
	Modified StoreVersion
}

// StoreWrite puts or deletes one key.
type StoreWrite struct {
	Key    string
	Value  []byte
	Lease  LeaseID
	Delete bool
}

// StoreTxn applies all writes atomically if all conditions are true.
type StoreTxn struct {
	Conditions []StoreCondition
	Writes     []StoreWrite
}

// Store is the platform's key-value service. Every call counts against its rate
// limit; a watch counts as one call while it waits.
//
// A lease of an earlier era is ErrNotFound, and a condition on a version of an earlier
// era is ErrConflict.
//
// Errors: ErrNotFound, ErrConflict (nothing was written), ErrUncertain (the
// response to a write was lost, or the write met another era than it was meant for),
// ErrUnavailable (certainly nothing was written).
type Store interface {
	Get(ctx context.Context, key string) (StoreEntry, error)
	List(ctx context.Context, prefix string) ([]StoreEntry, error)
	// Commit applies txn and returns the version of its writes.
	Commit(ctx context.Context, txn StoreTxn) (StoreVersion, error)
	// Watch sends every change under prefix after the given version until ctx ends or
	// the watch fails, and then returns the cause.
	Watch(ctx context.Context, prefix string, after StoreVersion, events chan<- StoreEntry) error
	GrantLease(ctx context.Context, ttl time.Duration) (Lease, error)
	KeepLease(ctx context.Context, id LeaseID) (Lease, error)
	RevokeLease(ctx context.Context, id LeaseID) error
}
