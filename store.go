package egretflow

import (
	"context"
	"time"
)

// MaxStoreValueBytes is the size of the largest value that the key-value store
// accepts.
const MaxStoreValueBytes = 1 << 20

// LeaseID identifies a lease in the store. 0 means no lease.
type LeaseID int64

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
	// ModRevision is the store revision of the last write; 0 if the key does
	// not exist.
	ModRevision int64
	// CreateRevision is the store revision at which the key was created. It
	// increases each time the key is created again and therefore serves as a
	// fencing number (8.1).
	CreateRevision int64
}

// StoreCondition is true if the last write of the key has the given revision;
// revision 0 means that the key must not exist.
type StoreCondition struct {
	Key         string
	ModRevision int64
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
// Errors: ErrNotFound, ErrConflict (nothing was written), ErrUncertain (the
// response to a write was lost), ErrUnavailable (certainly nothing was
// written).
type Store interface {
	Get(ctx context.Context, key string) (StoreEntry, error)
	List(ctx context.Context, prefix string) ([]StoreEntry, error)
	// Commit applies txn and returns the store revision of its writes.
	Commit(ctx context.Context, txn StoreTxn) (int64, error)
	// Watch sends every change under prefix after the given store revision
	// until ctx ends or the watch fails, and then returns the cause.
	Watch(ctx context.Context, prefix string, after int64, events chan<- StoreEntry) error
	GrantLease(ctx context.Context, ttl time.Duration) (Lease, error)
	KeepLease(ctx context.Context, id LeaseID) (Lease, error)
	RevokeLease(ctx context.Context, id LeaseID) error
}
