package egretflow

import (
	"context"
	"time"
)

// MaxStoreValueBytes is the largest value that the key-value store takes.
const MaxStoreValueBytes = 1 << 20

// LeaseID identifies a lease in the store. Zero means no lease.
type LeaseID int64

// Lease is a granted lease. ExpiresAt is computed from the local clock before
// the grant was requested, so it is never later than the store's own expiry.
type Lease struct {
	ID        LeaseID
	ExpiresAt time.Time
}

// StoreEntry is one key with its value.
type StoreEntry struct {
	Key string
	// Value is nil for a deleted key in an event.
	Value []byte
	// ModRevision is the store revision of the last write; 0 means absent.
	ModRevision int64
	// CreateRevision is the store revision at which the key was created. It
	// grows with every re-creation and so serves as a fencing number (8.1).
	CreateRevision int64
}

// StoreCondition holds if the key is at exactly the given revision; revision 0
// means that the key must not exist.
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

// StoreTxn applies all writes if all conditions hold, atomically.
type StoreTxn struct {
	Conditions []StoreCondition
	Writes     []StoreWrite
}

// Store is the platform's key-value service. Every call counts against its
// rate, a waiting watch as one.
//
// Errors: ErrNotFound, ErrConflict (nothing was written), ErrUncertain (the
// answer to a write was lost), ErrUnavailable (certain that nothing was
// written).
type Store interface {
	Get(ctx context.Context, key string) (StoreEntry, error)
	List(ctx context.Context, prefix string) ([]StoreEntry, error)
	// Commit returns the store revision of the writes.
	Commit(ctx context.Context, txn StoreTxn) (int64, error)
	// Watch sends every change under prefix after the given store revision
	// until ctx ends or the watch breaks; then it returns the cause.
	Watch(ctx context.Context, prefix string, after int64, events chan<- StoreEntry) error
	GrantLease(ctx context.Context, ttl time.Duration) (Lease, error)
	KeepLease(ctx context.Context, id LeaseID) (Lease, error)
	RevokeLease(ctx context.Context, id LeaseID) error
}
