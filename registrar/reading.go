package registrar

import (
	"context"
	"encoding/binary"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/egretflow/egretflow"
)

const (
	// takeoverAfter is the age of the newest confirmation at which the instance with
	// rank 1 reads the servers itself.
	takeoverAfter = 1200 * time.Millisecond
	// takeoverStep is how much longer each further rank waits.
	takeoverStep = 150 * time.Millisecond
	// takeoverRanks is the largest number of such steps. Instances with a higher rank
	// also retry less often after failed reads.
	takeoverRanks = 3
	// relayedTakeoverAfter is the age at which an instance that reads through a relay
	// reads again. Its relay confirms the list about every second.
	relayedTakeoverAfter = 3 * time.Second
	// configurationDelay is how long an instance waits before it reads a
	// configuration that a peer has reported, so that a peer which cannot deliver it
	// is not asked without a pause.
	configurationDelay = 50 * time.Millisecond
	// mismatchDelay is how long an instance that learns of a different server list
	// waits for a peer to send the changes before it reads the list itself.
	mismatchDelay = 200 * time.Millisecond
	// maxRetryInterval is the longest time between two failed reads in an outage for
	// the instances up to rank takeoverRanks. The others wait up to twice as long.
	maxRetryInterval = time.Second
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
	// peerRevision is the store revision at which a peer has read a different server
	// list, and mismatchAt is when this instance learned of it.
	peerRevision int64
	mismatchAt   time.Time
	// peerVersion is the highest configuration version that a peer has reported, and
	// peerVersionAt when it did so first.
	peerVersion   uint64
	peerVersionAt time.Time
	// confirmedBy is the instance whose reading set confirmedAt.
	confirmedBy egretflow.InstanceName
	failures    int
	// configurationDue reports whether this instance must read the configuration
	// although no peer has reported a higher version.
	configurationDue bool
}

// activity is what the goroutine that keeps the configuration up to date does.
type activity string

const (
	activityRead  activity = "Read"
	activityWatch activity = "Watch"
	activityWait  activity = "Wait"
	activityPause activity = "Pause"
)

// setActivity notes what the goroutine does from now on.
func (r *Registrar) setActivity(a activity) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activity = a
}

// knownFor returns for how many milliseconds a version, or a newer one, has been known
// from other instances; 0 if none has reported it.
func (r *readSchedule) knownFor(version uint64, now time.Time) string {
	if r.peerVersion < version {
		return "0"
	}
	return strconv.FormatInt(now.Sub(r.peerVersionAt).Milliseconds(), 10)
}

// Configuration returns the state of the configuration by which this instance decides.
func (r *Registrar) Configuration() egretflow.ConfigurationState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return egretflow.ConfigurationState{
		Version: r.state.version(), ConfirmedAt: r.schedule.confirmedAt, ConfirmedBy: r.schedule.confirmedBy, KnownVersion: r.schedule.peerVersion,
	}
}

// due returns the time at which this instance must read the servers. mismatch
// reports whether a peer has read a different list, relayed whether this instance
// reads through a relay.
func (r *readSchedule) due(rank int, relayed, mismatch bool) time.Time {
	switch {
	case r.failures > 0:
		return r.attemptedAt.Add(retryAfter(r.failures, rank))
	case rank == 0:
		return r.attemptedAt.Add(ReadInterval)
	case mismatch && r.attemptedAt.After(r.mismatchAt):
		// This instance has read since, but still has an older revision than the
		// peer.
		return r.attemptedAt.Add(mismatchDelay)
	case mismatch:
		return r.mismatchAt.Add(mismatchDelay)
	}
	after := takeoverAfter + time.Duration(min(rank-1, takeoverRanks))*takeoverStep
	if relayed {
		after = relayedTakeoverAfter
	}
	due, earliest := r.confirmedAt.Add(after), r.attemptedAt.Add(ReadInterval)
	if due.Before(earliest) {
		return earliest
	}
	return due
}

// retryAfter returns the delay after the given number of failed reads in a row.
// Instances up to rank takeoverRanks try more often; after their first successful
// read they send the others the result.
func retryAfter(failures, rank int) time.Duration {
	longest := maxRetryInterval
	if rank > takeoverRanks {
		longest *= 2
	}
	return min(longest, time.Duration(failures)*retryInterval)
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
		Servers: r.state.fingerprint, Revision: r.state.storeRevision, Version: r.state.version(),
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
	list := egretflow.ServerList{Revision: r.state.storeRevision, ConfirmedAt: r.schedule.confirmedAt}
	for _, e := range r.state.servers {
		list.Entries = append(list.Entries, e)
	}
	return r.state.configuration, list
}

// ApplyConfirmation applies a confirmation received from a peer. If the peer
// has a newer configuration, or newer servers to which its deltas do not lead,
// this instance reads the directory itself.
func (r *Registrar) ApplyConfirmation(c egretflow.Confirmation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Version > max(r.schedule.peerVersion, r.state.version()) {
		r.schedule.peerVersion, r.schedule.peerVersionAt = c.Version, r.cfg.Clock()
		r.record(egretflow.EventNewerVersionKnown, "Version", strconv.FormatUint(c.Version, 10), "InForce", strconv.FormatUint(r.state.version(), 10),
			"From", string(c.From), "During", string(r.activity))
		notify(r.wakeConfiguration)
	}
	r.applyPeerServers(&c)
}

// applyPeerServers applies the servers that a peer knows. A different list of a
// revision that is not newer than the local one is ignored (rule 6). The caller holds
// mu.
func (r *Registrar) applyPeerServers(c *egretflow.Confirmation) {
	if changes := r.state.endGraceIfConfirmed(c.Servers, r.cfg.Clock()); len(changes) > 0 {
		r.publishChanges(changes)
	}
	newer := c.Revision > r.state.storeRevision
	if newer && r.state.everRead && c.Servers != r.state.fingerprint {
		if changes := r.state.applyDeltas(c, r.cfg.Clock()); len(changes) > 0 {
			r.publishChanges(changes)
		}
	}
	switch {
	case c.Servers == r.state.fingerprint:
		r.state.storeRevision = max(r.state.storeRevision, c.Revision)
		if c.ReadAt.After(r.schedule.confirmedAt) {
			r.schedule.confirmedAt, r.schedule.failures, r.schedule.confirmedBy = c.ReadAt, 0, c.From
		}
	case newer && !r.mismatch():
		r.schedule.peerRevision, r.schedule.mismatchAt = c.Revision, r.cfg.Clock()
		notify(r.wakeServers)
	}
}

// mismatch reports whether a peer has read a newer list of servers that this instance
// does not have. The caller holds mu.
func (r *Registrar) mismatch() bool { return r.schedule.peerRevision > r.state.storeRevision }

// notify wakes the goroutine that waits on c. It does nothing if a wake-up is already
// pending.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Recheck makes this instance check at once whether it must read the servers, because
// Config.Relayed has changed.
func (r *Registrar) Recheck() { notify(r.wakeServers) }

// rank returns the rank of this instance (see Config.Rank), or 0 if none is
// configured.
func (r *Registrar) rank() int {
	if r.cfg.Rank == nil {
		return 0
	}
	return r.cfg.Rank()
}

// awaitServers waits until a read of the servers is due or ctx ends.
func (r *Registrar) awaitServers(ctx context.Context) {
	for ctx.Err() == nil {
		rank, relayed := r.rank(), r.cfg.Relayed != nil && r.cfg.Relayed()
		r.mu.Lock()
		left := r.schedule.due(rank, relayed, r.mismatch()).Sub(r.cfg.Clock())
		r.mu.Unlock()
		if left <= 0 {
			return
		}
		await(ctx, left, r.wakeServers)
	}
}

// awaitConfiguration waits until the configuration may have changed. The instance
// with rank 0 watches the directory. The others wait until a peer reports a higher
// version, until a read is due because the configuration is no longer confirmed,
// or until they have rank 0 themselves.
func (r *Registrar) awaitConfiguration(ctx context.Context) error {
	if r.rank() == 0 {
		r.setActivity(activityWatch)
		return r.cfg.Directory.AwaitChange(ctx)
	}
	r.setActivity(activityWait)
	for ctx.Err() == nil && r.rank() != 0 {
		r.mu.Lock()
		due := r.schedule.configurationDue || r.schedule.peerVersion > r.state.version()
		r.schedule.configurationDue = false
		r.mu.Unlock()
		if due {
			pause(ctx, configurationDelay)
			return nil
		}
		await(ctx, ReadInterval, r.wakeConfiguration)
	}
	return nil
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
