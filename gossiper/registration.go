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
	// LeaseTTL is the lifetime of a registration without renewal, and
	// keepInterval the time between two renewals.
	LeaseTTL     = 12 * time.Second
	keepInterval = 4 * time.Second
	// ListInterval is the time between two readings of the registrations.
	ListInterval = 30 * time.Second
	// retryInterval is the time after a failed call. A lease outlives two of them,
	// and in an outage every call of every instance would be in vain.
	retryInterval = keepInterval
	// leaveTimeout bounds the end of the registration at shutdown.
	leaveTimeout = time.Second

	// minPause is the least time between two steps.
	minPause = time.Second

	instancePrefix = "instances/"
)

// registration keeps the own address in the store and reads those of others.
type registration struct {
	*Gossiper
	lease  egretflow.Lease
	listAt time.Time
}

func (r *registration) run(ctx context.Context) {
	r.listAt = r.cfg.Clock()
	for ctx.Err() == nil {
		next := keepInterval
		if err := r.step(ctx); err != nil {
			r.record(egretflow.EventRegistrationFailed, "Error", err.Error())
			next = retryInterval
		}
		if left := r.listAt.Sub(r.cfg.Clock()); left < next {
			next = max(left, minPause)
		}
		select {
		case <-ctx.Done():
		case <-time.After(next):
		}
	}
	r.leave()
}

// step renews the registration and reads the others when it is time.
func (r *registration) step(ctx context.Context) error {
	if err := r.keep(ctx); err != nil {
		return err
	}
	now := r.cfg.Clock()
	if now.Before(r.listAt) {
		return nil
	}
	if err := r.list(ctx, now); err != nil {
		return err
	}
	r.listAt = now.Add(ListInterval)
	// The others learn of this instance by its first message.
	r.greet.Store(true)
	r.Tell()
	return nil
}

func (r *registration) keep(ctx context.Context) error {
	if r.lease.ID == 0 {
		return r.register(ctx)
	}
	lease, err := r.cfg.Store.KeepLease(ctx, r.lease.ID)
	if errors.Is(err, egretflow.ErrNotFound) {
		r.lease = egretflow.Lease{}
		return r.register(ctx)
	}
	if err != nil {
		return fmt.Errorf("keep registration: %w", err)
	}
	r.lease = lease
	return nil
}

func (r *registration) register(ctx context.Context) error {
	lease, err := r.cfg.Store.GrantLease(ctx, LeaseTTL)
	if err != nil {
		return fmt.Errorf("register: %w", err)
	}
	value, err := json.Marshal(r.cfg.Self)
	if err != nil {
		return fmt.Errorf("encode registration: %w", err)
	}
	_, err = r.cfg.Store.Commit(ctx, egretflow.StoreTxn{Writes: []egretflow.StoreWrite{
		{Key: instancePrefix + string(r.cfg.Self.Name), Value: value, Lease: lease.ID},
	}})
	if err != nil {
		return fmt.Errorf("register: %w", err)
	}
	r.lease = lease
	return nil
}

func (r *registration) list(ctx context.Context, now time.Time) error {
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
			r.peer(m.Name, m.Address, now)
		}
	}
	return nil
}

// leave ends the registration; without an answer it ends by itself.
func (r *registration) leave() {
	if r.lease.ID == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := r.cfg.Store.RevokeLease(ctx, r.lease.ID); err != nil {
		r.record(egretflow.EventRegistrationFailed, "Error", err.Error())
	}
}
