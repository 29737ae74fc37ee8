package accountant

import (
	"time"

	"github.com/egretflow/egretflow"
)

const (
	// voteLifetime is how long a vote is valid after the stamp that it repeats.
	voteLifetime = time.Second
	// voteMargin covers the granularity at which owners notice that a vote has ended, and
	// clocks that run at different rates.
	voteMargin = 100 * time.Millisecond
	// expiryInterval is how often an owner looks for votes that have ended.
	expiryInterval = 50 * time.Millisecond
	// forgetTime is how long an owner remembers the sequence of a silent instance, so that
	// a datagram that was delayed is not taken for a new one.
	forgetTime = 10 * time.Second
	// allowanceLifetime is how long a takeover allowance can be spent. It covers the time
	// until the votes have moved.
	allowanceLifetime = 2 * time.Second
	// suspensionMargin is the age of a stamp by the clock of the voter, beyond that by the
	// clock of the owner, that shows that the owner was suspended.
	suspensionMargin = 200 * time.Millisecond
)

// client is what an owner knows of one instance.
type client struct {
	incarnation uint64
	sequence    uint64
	heardAt     time.Time
	// voteUntil is until when the vote of the instance is valid; zero without one.
	voteUntil time.Time
	// takeover is the number of the newest allowance that the instance has given.
	takeover uint64
	// refunded is the number of the newest refund that was applied.
	refunded uint64
	// results holds the decisions that the instance may not have received.
	results map[uint64]result
}

// votes counts the instances that have chosen an owner.
type votes struct {
	clients map[egretflow.InstanceName]*client
	// valid is the number of clients with a vote.
	valid int
	// integral is the sum over time, in seconds, of the share since the owner exists, up
	// to countedAt.
	integral  float64
	countedAt time.Time
	expiredAt time.Time
	// allowance is the sum of the parts of the takeover allowance that were given, the
	// last one at allowanceAt. Accounts may spend what was given since allowanceBase.
	allowance     float64
	allowanceBase float64
	allowanceAt   time.Time
}

func newVotes(now time.Time) votes {
	return votes{clients: map[egretflow.InstanceName]*client{}, countedAt: now, expiredAt: now}
}

// share returns the share of a fleet of the given size that the owner has.
func (v *votes) share(fleet int) float64 { return float64(v.valid) / float64(max(v.valid, fleet, 1)) }

// advance integrates the share up to now and ends votes that are no longer valid.
func (v *votes) advance(now time.Time, fleet int) {
	before := v.share(fleet)
	if now.Sub(v.expiredAt) >= expiryInterval {
		v.expire(now)
	}
	if elapsed := now.Sub(v.countedAt); elapsed > 0 {
		v.integral += min(before, v.share(fleet)) * elapsed.Seconds()
		v.countedAt = now
	}
}

func (v *votes) expire(now time.Time) {
	v.expiredAt = now
	for name, c := range v.clients {
		if !c.voteUntil.IsZero() && !now.Before(c.voteUntil) {
			v.drop(c)
		}
		if now.Sub(c.heardAt) > forgetTime {
			delete(v.clients, name)
		}
	}
}

// drop ends the vote of a client.
func (v *votes) drop(c *client) {
	if !c.voteUntil.IsZero() {
		c.voteUntil = time.Time{}
		v.valid--
	}
}

// dropAll ends all votes and the allowance. advance must come first.
func (v *votes) dropAll() {
	v.allowanceBase, v.allowanceAt = v.allowance, time.Time{}
	for _, c := range v.clients {
		v.drop(c)
	}
}

// extend makes the vote of a client valid until the given time.
func (v *votes) extend(c *client, until, now time.Time) {
	if !until.After(now) || !until.After(c.voteUntil) {
		return
	}
	if c.voteUntil.IsZero() {
		v.valid++
	}
	c.voteUntil = until
}

// giveAllowance adds the part of one instance to the takeover allowance. All parts together
// are the whole allowance at most: while all instances start, the size of the fleet is not
// known yet, and their parts would be too large.
func (v *votes) giveAllowance(now time.Time, fleet int) {
	if !v.takesOver(now) {
		v.allowanceBase = v.allowance
	}
	v.allowance = min(v.allowance+1/float64(max(fleet, 1)), v.allowanceBase+1)
	v.allowanceAt = now
}

// takesOver reports whether votes may still move to this owner.
func (v *votes) takesOver(now time.Time) bool { return now.Sub(v.allowanceAt) <= allowanceLifetime }
