package registrar

import (
	"context"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/configwatcher"
)

const (
	// relayedTakeoverAfter is the age at which an instance that reads through a relay
	// reads again. Its relay confirms the list about every second.
	relayedTakeoverAfter = 3 * time.Second
	// mismatchDelay is how long an instance that learns of a different server list
	// waits for a peer to send the changes before it reads the list itself.
	mismatchDelay = 200 * time.Millisecond
)

// readSchedule holds what decides when this instance must read the platform itself
// (rule 5). The registrar's mutex protects it.
type readSchedule struct {
	// attemptedAt is when this instance last started to read the servers, with or
	// without success. confirmedAt is when the known servers were last known to be
	// current, by a read of this instance or of a peer.
	attemptedAt time.Time
	confirmedAt time.Time
	// succeededAt is when this instance started its last successful read. Only its
	// age is sent to the peers: a confirmation that was forwarded would look too
	// recent, because its age does not include the time on the network.
	succeededAt time.Time
	// peerVersion is the store version at which a peer has read a different server
	// list, and mismatchAt is when this instance learned of it.
	peerVersion egretflow.StoreVersion
	mismatchAt  time.Time
	// unknownEra reports whether the peer does not say in which era it has read the list,
	// so that one read shows all that can be known.
	unknownEra bool
	failures   int
}

// due returns the time at which this instance must read the servers. mismatch
// reports whether a peer has read a different list, relayed whether this instance
// reads through a relay.
func (r *readSchedule) due(rank int, relayed, mismatch bool) time.Time {
	switch {
	case r.failures > 0:
		return r.attemptedAt.Add(configwatcher.RetryAfter(r.failures, rank))
	case rank == 0:
		return r.attemptedAt.Add(ReadInterval)
	case mismatch && r.attemptedAt.After(r.mismatchAt):
		// This instance has read since, but still has an older version than the
		// peer.
		return r.attemptedAt.Add(mismatchDelay)
	case mismatch:
		return r.mismatchAt.Add(mismatchDelay)
	}
	after := configwatcher.TakeoverAge(rank)
	if relayed {
		after = relayedTakeoverAfter
	}
	due, earliest := r.confirmedAt.Add(after), r.attemptedAt.Add(ReadInterval)
	if due.Before(earliest) {
		return earliest
	}
	return due
}

// dueAfterReturn returns the time at which this instance must read the servers while it keeps
// some that the store has lost, until graceUntil. Those that read through a relay need a
// list that was read later than that of their relay, and wait for it.
func (r *readSchedule) dueAfterReturn(relayed bool, graceUntil time.Time) time.Time {
	if !relayed {
		return r.attemptedAt.Add(ReadInterval)
	}
	if next := r.attemptedAt.Add(mismatchDelay); next.After(graceUntil) {
		return next
	}
	return graceUntil
}

// fingerprint returns a hash of the given servers. It is compared with that of
// peers.
func fingerprint(servers map[egretflow.ServerName]egretflow.ServerEntry) uint64 {
	digest := xxhash.New()
	for _, name := range slices.Sorted(maps.Keys(servers)) {
		e := servers[name]
		flags := uint64(e.Server.Slots) << 1
		if e.Leaving {
			flags |= 1
		}
		text := string(name) + "\n" + string(e.Pool) + "\n" + string(e.Server.Role) + "\n" + e.Server.Address.String() + "\n"
		_, _ = digest.WriteString(text)
		_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, flags))
		_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, uint64(e.Server.StartedAt.UnixMilli())))
	}
	return digest.Sum64()
}

// Confirmation returns the state that this instance knows to be current, to be sent
// to the peers. Its ReadAt is zero until this instance has read the servers itself.
func (r *Registrar) Confirmation() egretflow.Confirmation {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := egretflow.Confirmation{
		From: r.cfg.Instance, Configuration: r.configuration.State(), Servers: r.state.sharedFingerprint(), Version: r.state.version,
		ReadAt: r.schedule.succeededAt, ConfirmedAt: r.schedule.confirmedAt,
	}
	for _, d := range r.state.deltas {
		c.Deltas = append(c.Deltas, d.ServersDelta)
	}
	return c
}

// Snapshot returns the configuration in force, or nil before the first one, and the
// servers. The ConfirmedAt of the servers is zero before the first read.
func (r *Registrar) Snapshot() (*egretflow.Configuration, egretflow.ServerList) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := egretflow.ServerList{Version: r.state.version, ConfirmedAt: r.schedule.confirmedAt}
	list.Entries = slices.Collect(maps.Values(r.state.shared()))
	return r.state.configuration, list
}

// ApplyConfirmation applies a confirmation received from a peer. If the peer
// has a newer configuration, or newer servers to which its deltas do not lead,
// this instance reads the directory itself.
func (r *Registrar) ApplyConfirmation(c egretflow.Confirmation) {
	r.configuration.Observe(c.From, c.Configuration)
	if c.ReadAt.IsZero() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyPeerServers(&c)
}

// applyPeerServers applies the servers that a peer knows. A different list of a
// version that is not newer than the local one is ignored (rule 6), and so is all that a
// peer knows of an earlier era. The caller holds mu.
func (r *Registrar) applyPeerServers(c *egretflow.Confirmation) {
	unknownEra := c.Version.Era == 0 && r.cfg.Eras.Latest().Era > 0
	if !r.cfg.Eras.Learn(c.Version.Era, c.From) && !unknownEra {
		return
	}
	if changes := r.state.reopen(r.cfg.Clock()); len(changes) > 0 {
		r.publishChanges(changes)
	}
	if changes := r.state.endGraceIfConfirmed(c, r.cfg.Clock()); len(changes) > 0 {
		r.publishChanges(changes)
	}
	newer := c.Version.After(r.state.version)
	if unknownEra {
		newer = c.Version.Revision > r.state.version.Revision
	}
	if newer && r.state.everRead && c.Servers != r.state.sharedFingerprint() {
		if changes := r.state.applyDeltas(c, r.cfg.Clock()); len(changes) > 0 {
			r.publishChanges(changes)
		}
	}
	switch {
	case c.Servers == r.state.sharedFingerprint():
		r.state.confirm(c.Version, r.cfg.Clock())
		if c.ReadAt.After(r.schedule.confirmedAt) {
			r.schedule.confirmedAt, r.schedule.failures = c.ReadAt, 0
		}
	case newer && !r.mismatch():
		r.schedule.peerVersion, r.schedule.mismatchAt, r.schedule.unknownEra = c.Version, r.cfg.Clock(), unknownEra
		notify(r.wakeServers)
	}
}

// mismatch reports whether a peer has read a newer list of servers that this instance
// does not have. The caller holds mu.
func (r *Registrar) mismatch() bool {
	if r.schedule.unknownEra {
		return !r.schedule.attemptedAt.After(r.schedule.mismatchAt)
	}
	return r.schedule.peerVersion.After(r.state.version)
}

// notify wakes the goroutine that waits on c. It does nothing if a wake-up is already
// pending.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Recheck makes this instance check at once whether it must read or watch the platform,
// because Config.Rank, Config.Watches or Config.Relayed has changed.
func (r *Registrar) Recheck() {
	notify(r.wakeServers)
	r.configuration.Recheck()
}

// awaitServers waits until a read of the servers is due or ctx ends.
func (r *Registrar) awaitServers(ctx context.Context) {
	for ctx.Err() == nil {
		rank, relayed := r.cfg.Rank(), r.cfg.Relayed()
		r.mu.Lock()
		now := r.cfg.Clock()
		left := r.schedule.due(rank, relayed, r.mismatch()).Sub(now)
		if r.state.keepsLost && r.schedule.failures == 0 {
			left = min(left, r.schedule.dueAfterReturn(relayed, r.state.eraGraceUntil).Sub(now))
		}
		r.mu.Unlock()
		if left <= 0 {
			return
		}
		await(ctx, left, r.wakeServers)
	}
}

// await waits until d has passed, wake receives or ctx ends.
func await(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.C:
	}
}
