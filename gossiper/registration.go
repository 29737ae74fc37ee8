package gossiper

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/egretflow/egretflow"
)

const (
	// SlotsPerDomain is the number of instances of a failure domain that register.
	// Two of them may be lost at a time without a change for the others.
	SlotsPerDomain = 3
	// LeaseTTL is the lifetime of a registration without renewal.
	LeaseTTL = 12 * time.Second
	// renewInterval is the time between two renewals.
	renewInterval = 4 * time.Second
	// vacancyInterval is how often an instance that is not registered looks for a
	// vacant slot among the members that it knows.
	vacancyInterval = 5 * time.Second
	// retryInterval is the delay after a failed call. A lease survives two failed
	// renewals, and in an outage of the store faster retries would all fail too.
	retryInterval = renewInterval
	// uncertainRetryInterval is the delay after a registration whose answer was lost.
	uncertainRetryInterval = time.Second
	// deregisterTimeout bounds the call that ends the registration at shutdown.
	deregisterTimeout = time.Second
	// startDelay divided by the processor share is how long an instance waits
	// before it takes a vacant slot, so that larger instances come first.
	startDelay = 150 * time.Millisecond
	// defaultShare stands for an unknown processor share.
	defaultShare = 1.0
	// maxStartDelay bounds the wait of small instances.
	maxStartDelay = 2 * time.Second

	// instancePrefix is the prefix of the store keys of registrations, which is
	// followed by the failure domain and the number of the slot.
	instancePrefix = "instances/"
)

// registration keeps this instance registered in the store, if a slot of its failure
// domain is vacant.
type registration struct {
	*Gossiper
	key string
	// lease has a zero ID while this instance is not registered.
	lease egretflow.Lease
	// malformed holds the versions of the malformed registrations that were read
	// last, so that each is recorded once.
	malformed map[string]egretflow.StoreVersion
}

func newRegistration(g *Gossiper) *registration { return &registration{Gossiper: g} }

func slotKey(domain egretflow.FailureDomain, n int) string {
	return fmt.Sprintf("%s%s/%d", instancePrefix, domain, n)
}

// run takes a slot if there is one, renews the registration until ctx ends, and then
// removes it.
func (r *registration) run(ctx context.Context) {
	for wait := r.firstWait(); ctx.Err() == nil; {
		if !sleep(ctx, wait) {
			break
		}
		next, err := r.step(ctx)
		if err != nil {
			r.record(egretflow.EventRegistrationFailed, "Error", err.Error())
			r.markRoleKnown()
		}
		wait = next
	}
	r.deregister()
}

// firstWait returns the wait before the first call. When the whole fleet starts,
// nothing is registered yet, so the first read can wait until it is time to register.
func (r *registration) firstWait() time.Duration {
	if r.cfg.Bootstrap {
		return r.delay()
	}
	return 0
}

// delay returns the wait before this instance takes a vacant slot.
func (r *registration) delay() time.Duration {
	share := r.cfg.Self.ProcessorShare
	if share <= 0 {
		share = defaultShare
	}
	longest := min(maxStartDelay, time.Duration(float64(startDelay)/share))
	return longest + time.Duration(r.cfg.Rand.Int64N(int64(longest/2)+1))
}

// sleep waits for d and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// step renews the registration, or takes a slot, and returns the wait before the next
// step.
func (r *registration) step(ctx context.Context) (time.Duration, error) {
	if !r.lease.ID.IsZero() {
		return r.renew(ctx)
	}
	if r.knowsFullDomain() {
		return r.vacancyWait(), nil
	}
	taken, err := r.list(ctx)
	if err != nil {
		return retryInterval, err
	}
	key, condition, vacant := r.vacantSlot(taken)
	r.subscribe(vacant)
	if !vacant {
		return r.vacancyWait(), nil
	}
	if condition == (egretflow.StoreVersion{}) && !sleep(ctx, r.delayBeforeTaking()) {
		return 0, nil
	}
	return r.take(ctx, key, condition)
}

// delayBeforeTaking returns the wait between the read that found a vacant slot and
// the attempt to take it. An instance that has waited at the start of the fleet does
// not wait again.
func (r *registration) delayBeforeTaking() time.Duration {
	if r.cfg.Bootstrap {
		return 0
	}
	return r.delay()
}

// vacancyWait returns the wait before the next look for a vacant slot, with jitter so
// that the instances of a domain do not all try to take it.
func (r *registration) vacancyWait() time.Duration {
	return vacancyInterval + time.Duration(r.cfg.Rand.Int64N(int64(vacancyInterval)))
}

// knowsFullDomain reports whether the members that this instance knows fill
// the slots of its failure domain, so that the store need not be read.
func (r *registration) knowsFullDomain() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.role != roleSubscriber {
		return false
	}
	count, now := 0, r.cfg.Clock()
	for _, m := range r.members {
		if m.FailureDomain == r.cfg.Self.FailureDomain && now.Sub(m.HeardAt) < memberTimeout {
			count++
		}
	}
	return count >= SlotsPerDomain
}

// list reads all registrations, adds their instances to the members and returns the
// entries by key. A malformed registration names no instance, but its slot is taken.
func (r *registration) list(ctx context.Context) (map[string]slot, error) {
	entries, err := r.cfg.Store.List(ctx, instancePrefix)
	r.noteStoreCall(ctx, err)
	if err != nil {
		return nil, fmt.Errorf("list instances: %w", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock()
	taken := make(map[string]slot, len(entries))
	malformed := map[string]egretflow.StoreVersion{}
	for _, e := range entries {
		m, err := decodeRegistration(e)
		taken[e.Key] = slot{holder: m.Name, version: e.Modified}
		if err != nil {
			malformed[e.Key] = e.Modified
			if r.malformed[e.Key] != e.Modified {
				r.record(egretflow.EventRegistrationFailed, "Key", e.Key, "Error", "the registration is malformed")
			}
			continue
		}
		if m.Name != r.cfg.Self.Name {
			r.refreshMember(m, now)
		}
	}
	r.malformed = malformed
	return taken, nil
}

// decodeRegistration decodes the registration of an instance. It returns an error for
// one that other instances would refuse in a datagram.
func decodeRegistration(e egretflow.StoreEntry) (egretflow.Member, error) {
	var m egretflow.Member
	if err := json.Unmarshal(e.Value, &m); err != nil {
		return egretflow.Member{}, fmt.Errorf("decode registration: %w", err)
	}
	if err := checkMember(m.Name, m.Address); err != nil {
		return egretflow.Member{}, fmt.Errorf("check registration: %w", err)
	}
	if !strings.HasPrefix(e.Key, instancePrefix+string(m.FailureDomain)+"/") {
		return egretflow.Member{}, &egretflow.FieldError{Field: "FailureDomain", Reason: "is not that of the key"}
	}
	return m, nil
}

// subscribe makes this instance a subscriber if it is not a member and there are
// members, also while it tries to take a slot: it then reads through a relay without
// waiting for the outcome.
func (r *registration) subscribe(vacant bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.role != roleMember && (len(r.members) > 0 || !vacant) || r.role == roleMember && !vacant {
		r.setRoleLocked(roleSubscriber)
	}
}

// slot is a registration that was read.
type slot struct {
	holder  egretflow.InstanceName
	version egretflow.StoreVersion
}

// vacantSlot returns the key of a slot that this instance may take: its own one from
// before a restart, or a free one. version is the one that the key must have.
func (r *registration) vacantSlot(taken map[string]slot) (key string, version egretflow.StoreVersion, ok bool) {
	free := ""
	for n := range SlotsPerDomain {
		key := slotKey(r.cfg.Self.FailureDomain, n)
		s, exists := taken[key]
		if exists && s.holder == r.cfg.Self.Name {
			return key, s.version, true
		}
		if !exists && free == "" {
			free = key
		}
	}
	return free, egretflow.StoreVersion{}, free != ""
}

// take writes the registration to a slot under a new lease, unless another instance
// was faster.
func (r *registration) take(ctx context.Context, key string, version egretflow.StoreVersion) (time.Duration, error) {
	lease, err := r.cfg.Store.GrantLease(ctx, LeaseTTL)
	if err != nil {
		return retryInterval, fmt.Errorf("register instance: %w", err)
	}
	value, err := json.Marshal(r.cfg.Self)
	if err != nil {
		return retryInterval, fmt.Errorf("encode registration: %w", err)
	}
	_, err = r.cfg.Store.Commit(ctx, egretflow.StoreTxn{
		Conditions: []egretflow.StoreCondition{{Key: key, Modified: version}},
		Writes:     []egretflow.StoreWrite{{Key: key, Value: value, Lease: lease.ID}},
	})
	if errors.Is(err, egretflow.ErrConflict) {
		// The unused lease lapses by itself; revoking it would be one more call.
		return 0, nil
	}
	if err != nil {
		// If the write took effect although its answer was lost, the next read finds
		// the key with the name of this instance.
		return uncertainRetryInterval, fmt.Errorf("register instance: %w", err)
	}
	r.key, r.lease = key, lease
	r.setRole(roleMember)
	return renewInterval, nil
}

// renew renews the lease of the registration. An instance whose lease has lapsed
// looks for a slot again.
func (r *registration) renew(ctx context.Context) (time.Duration, error) {
	lease, err := r.cfg.Store.KeepLease(ctx, r.lease.ID)
	r.noteStoreCall(ctx, err)
	if errors.Is(err, egretflow.ErrNotFound) {
		r.lease = egretflow.Lease{}
		return 0, nil
	}
	if err != nil {
		return retryInterval, fmt.Errorf("renew registration: %w", err)
	}
	r.lease = lease
	return renewInterval, nil
}

// deregister revokes the lease, which removes the registration. If the store does not
// answer, the registration ends when the lease expires.
func (r *registration) deregister() {
	if r.lease.ID.IsZero() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	if err := r.cfg.Store.RevokeLease(ctx, r.lease.ID); err != nil {
		r.record(egretflow.EventRegistrationFailed, "Error", err.Error())
	}
}
