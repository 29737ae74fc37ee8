package gossiper

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/egretflow/egretflow"
)

const (
	// LeaseTTL is the lifetime of a registration without renewal.
	LeaseTTL = 12 * time.Second
	// renewInterval is the time between two renewals.
	renewInterval = 4 * time.Second
	// ListInterval is the time between two reads of the registrations.
	ListInterval = 30 * time.Second
	// retryInterval is the delay after a failed call. A lease survives two failed
	// renewals, and in an outage of the store faster retries would all fail too.
	retryInterval = renewInterval
	// deregisterTimeout bounds the call that ends the registration at shutdown.
	deregisterTimeout = time.Second

	// minStepInterval is the shortest time between two steps.
	minStepInterval = time.Second

	// instancePrefix is the prefix of the store keys of registrations.
	instancePrefix = "instances/"
)

// registration keeps the address of this instance registered in the store and reads
// the addresses of the others.
type registration struct {
	*Gossiper
	// lease has a zero ID while this instance is not registered.
	lease egretflow.Lease
	// listAt is when the registrations are read next.
	listAt time.Time
}

// run renews the registration and reads those of the others until ctx ends, and then
// removes the registration.
func (r *registration) run(ctx context.Context) {
	r.listAt = r.cfg.Clock()
	for ctx.Err() == nil {
		next := renewInterval
		if err := r.step(ctx); err != nil {
			r.record(egretflow.EventRegistrationFailed, "Error", err.Error())
			next = retryInterval
		}
		if left := r.listAt.Sub(r.cfg.Clock()); left < next {
			next = max(left, minStepInterval)
		}
		select {
		case <-ctx.Done():
		case <-time.After(next):
		}
	}
	r.deregister()
}

// step renews the registration, and reads those of the others if that is due.
func (r *registration) step(ctx context.Context) error {
	if err := r.renew(ctx); err != nil {
		return err
	}
	now := r.cfg.Clock()
	if now.Before(r.listAt) {
		return nil
	}
	if err := r.listPeers(ctx, now); err != nil {
		return err
	}
	r.listAt = now.Add(ListInterval)
	// Instances that do not know this one yet learn of it from the next message.
	r.announce.Store(true)
	r.Wake()
	return nil
}

// renew renews the lease of the registration. It registers this instance if it has no
// lease or the store no longer knows it.
func (r *registration) renew(ctx context.Context) error {
	if r.lease.ID == 0 {
		return r.register(ctx)
	}
	lease, err := r.cfg.Store.KeepLease(ctx, r.lease.ID)
	if errors.Is(err, egretflow.ErrNotFound) {
		r.lease = egretflow.Lease{}
		return r.register(ctx)
	}
	if err != nil {
		return fmt.Errorf("renew registration: %w", err)
	}
	r.lease = lease
	return nil
}

// register writes the address of this instance to the store under a new lease.
func (r *registration) register(ctx context.Context) error {
	lease, err := r.cfg.Store.GrantLease(ctx, LeaseTTL)
	if err != nil {
		return fmt.Errorf("register instance: %w", err)
	}
	value, err := json.Marshal(r.cfg.Self)
	if err != nil {
		return fmt.Errorf("encode registration: %w", err)
	}
	_, err = r.cfg.Store.Commit(ctx, egretflow.StoreTxn{Writes: []egretflow.StoreWrite{
		{Key: instancePrefix + string(r.cfg.Self.Name), Value: value, Lease: lease.ID},
	}})
	if err != nil {
		return fmt.Errorf("register instance: %w", err)
	}
	r.lease = lease
	return nil
}

// listPeers adds all other registered instances to the live peers. It records malformed
// registrations and skips them.
func (r *registration) listPeers(ctx context.Context, now time.Time) error {
	entries, err := r.cfg.Store.List(ctx, instancePrefix)
	if err != nil {
		return fmt.Errorf("list instances: %w", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range entries {
		var m egretflow.Member
		if err := json.Unmarshal(e.Value, &m); err != nil || m.Name == "" || !m.Address.IsValid() {
			r.record(egretflow.EventRegistrationFailed, "Key", e.Key, "Error", "the registration is malformed")
			continue
		}
		if m.Name != r.cfg.Self.Name {
			r.refreshPeer(m.Name, m.Address, now)
		}
	}
	return nil
}

// deregister revokes the lease, which removes the registration. If the store does not
// answer, the registration ends when the lease expires.
func (r *registration) deregister() {
	if r.lease.ID == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	if err := r.cfg.Store.RevokeLease(ctx, r.lease.ID); err != nil {
		r.record(egretflow.EventRegistrationFailed, "Error", err.Error())
	}
}
