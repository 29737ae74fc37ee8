package registrar

import (
	"context"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/egretflow/egretflow"
)

const (
	// takeoverAfter is the age of the newest confirmation at which the second
	// instance in rank reads by itself, and takeoverStep how much longer each
	// further one waits, up to takeoverRanks of them.
	takeoverAfter = 1200 * time.Millisecond
	takeoverStep  = 150 * time.Millisecond
	takeoverRanks = 3
	// mismatchPause is how long an instance that hears of other servers than it
	// knows waits for a peer that tells what changed, before it reads by itself.
	mismatchPause = 200 * time.Millisecond
	// maxRetryInterval bounds the time between failed readings in an outage.
	maxRetryInterval = time.Second
)

// reading says when this instance must read the platform itself (rule 5). The
// registrar's mutex protects it.
type reading struct {
	// readAt is the last own reading of the servers, confirmedAt when the known
	// servers were last known to be current, by an own reading or by a peer.
	readAt      time.Time
	confirmedAt time.Time
	// tellAt is the last own reading that succeeded, the only one that peers are
	// told of: each time that an age is passed on it loses the time on the way.
	tellAt time.Time
	// toldRevision is that of the newest reading of a peer that found other
	// servers, and mismatchAt when this became known.
	toldRevision int64
	mismatchAt   time.Time
	// toldVersion is the highest version of the configuration that a peer named.
	toldVersion uint64
	failures    int
	// configurationDue says that the configuration must be read.
	configurationDue bool
}

// due returns when the servers must be read.
func (r *reading) due(rank int, mismatch bool) time.Time {
	switch {
	case r.failures > 0:
		return r.readAt.Add(retryAfter(r.failures, rank))
	case rank == 0:
		return r.readAt.Add(ReadInterval)
	case mismatch && r.readAt.After(r.mismatchAt):
		// The own reading was older than that of the peer.
		return r.readAt.Add(mismatchPause)
	case mismatch:
		return r.mismatchAt.Add(mismatchPause)
	}
	return r.confirmedAt.Add(takeoverAfter + time.Duration(min(rank-1, takeoverRanks))*takeoverStep)
}

// retryAfter is the time after a number of failed readings in a row. The first
// instances in rank ask more often and tell the others when the platform is back.
func retryAfter(failures, rank int) time.Duration {
	longest := maxRetryInterval
	if rank > takeoverRanks {
		longest *= 2
	}
	return min(longest, time.Duration(failures)*retryInterval)
}

// fingerprint identifies the servers that are believed to exist.
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

// Confirmation returns what this instance knows to be current.
func (r *Registrar) Confirmation() egretflow.Confirmation {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := egretflow.Confirmation{
		Servers: r.state.fingerprint, Revision: r.state.readRevision, Version: r.state.version(), ReadAt: r.reading.tellAt,
	}
	for _, d := range r.state.deltas {
		c.Deltas = append(c.Deltas, d.ServersDelta)
	}
	return c
}

// Hear takes what a peer knows to be current.
func (r *Registrar) Hear(c egretflow.Confirmation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Version > max(r.reading.toldVersion, r.state.version()) {
		r.reading.toldVersion = c.Version
		notify(r.wakeConfiguration)
	}
	r.hearServers(&c)
}

// hearServers takes what a peer knows of the servers. What is older than the own
// knowledge says nothing. The caller holds mu.
func (r *Registrar) hearServers(c *egretflow.Confirmation) {
	if changes := r.state.agree(c.Servers, r.cfg.Clock()); len(changes) > 0 {
		r.took(changes)
	}
	newer := c.Revision > r.state.readRevision
	if newer && r.state.everRead && c.Servers != r.state.fingerprint {
		if changes := r.state.follow(c, r.cfg.Clock()); len(changes) > 0 {
			r.took(changes)
		}
	}
	switch {
	case c.Servers == r.state.fingerprint:
		r.state.readRevision = max(r.state.readRevision, c.Revision)
		if c.ReadAt.After(r.reading.confirmedAt) {
			r.reading.confirmedAt, r.reading.failures = c.ReadAt, 0
		}
	case newer && !r.mismatch():
		r.reading.toldRevision, r.reading.mismatchAt = c.Revision, r.cfg.Clock()
		notify(r.wakeServers)
	}
}

// mismatch reports whether a peer has told of servers that this instance does not
// know. The caller holds mu.
func (r *Registrar) mismatch() bool { return r.reading.toldRevision > r.state.readRevision }

// notify wakes the task that waits on c, if it does not know yet.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// rank is the place of this instance among those that may read for all.
func (r *Registrar) rank() int {
	if r.cfg.Rank == nil {
		return 0
	}
	return r.cfg.Rank()
}

// awaitServers waits until the servers must be read.
func (r *Registrar) awaitServers(ctx context.Context) {
	for ctx.Err() == nil {
		rank := r.rank()
		r.mu.Lock()
		left := r.reading.due(rank, r.mismatch()).Sub(r.cfg.Clock())
		r.mu.Unlock()
		if left <= 0 {
			return
		}
		await(ctx, left, r.wakeServers)
	}
}

// awaitConfiguration waits until the configuration may have changed. The first
// instance in rank watches it; the others are told, or find that nobody
// confirms any more.
func (r *Registrar) awaitConfiguration(ctx context.Context) error {
	if r.rank() == 0 {
		return r.cfg.Directory.AwaitChange(ctx)
	}
	for ctx.Err() == nil && r.rank() != 0 {
		r.mu.Lock()
		due := r.reading.configurationDue || r.reading.toldVersion > r.state.version()
		r.reading.configurationDue = false
		r.mu.Unlock()
		if due {
			return nil
		}
		await(ctx, ReadInterval, r.wakeConfiguration)
	}
	return nil
}

// await waits for a time, a wake or the end of ctx.
func await(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.C:
	}
}
