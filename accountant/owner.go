package accountant

import (
	"strconv"
	"time"

	"github.com/egretflow/egretflow"
)

// owner counts the organisations of one shard for the instances that ask it.
type owner struct {
	tolerance Tolerance
	votes     votes
	// accounts holds an account for each organisation of the tables in force that has a
	// quota.
	accounts map[egretflow.CallerName]*account
	// hasTables reports whether tables were applied. Before that, the owner knows no limit
	// and decides nothing.
	hasTables bool
	leaving   bool
	// fixed means that the share of this owner does not follow from votes.
	fixed bool
	// suspension is the newest suspension of this process that a voter has shown.
	suspension suspension
	// share is the share of the fleet to which the accounts were cut last.
	share float64
	// record writes an event about an organisation.
	record func(name egretflow.EventName, at time.Time, pairs ...string)
}

func newOwner(t Tolerance, now time.Time, record func(egretflow.EventName, time.Time, ...string)) *owner {
	return &owner{
		tolerance: t, votes: newVotes(now), accounts: map[egretflow.CallerName]*account{}, record: record,
	}
}

// apply takes the limits of new tables.
func (o *owner) apply(quotas map[egretflow.CallerName]egretflow.Quota, now time.Time, fleet int) {
	o.advance(now, fleet)
	for name := range o.accounts {
		if _, ok := quotas[name]; !ok {
			delete(o.accounts, name)
		}
	}
	for name, q := range quotas {
		a := o.accounts[name]
		if a == nil {
			a = newAccount(q, o.tolerance, now)
			a.fixed = o.fixed
			a.filledTo, a.allowanceTo = o.votes.integral, o.votes.allowanceBase
			if o.hasTables {
				// An organisation whose limit is new has used nothing of it. The first
				// tables of a process show no limit to be new.
				a.content = o.share * a.burst
			}
			o.accounts[name] = a
		}
		o.refresh(a, now, fleet)
		a.setQuota(q, o.tolerance, o.share)
	}
	o.hasTables = true
}

// advance ends votes and cuts the accounts if the share has become smaller. That cannot
// wait until they are asked for: the share may have grown again by then.
func (o *owner) advance(now time.Time, fleet int) {
	o.votes.advance(now, fleet)
	share := o.votes.share(fleet)
	if share < o.share {
		for _, a := range o.accounts {
			o.refresh(a, now, fleet)
			if share < wholeShare*o.share {
				a.forgetCharges()
			}
		}
	}
	o.share = share
}

// account returns the account of an organisation, refreshed to now, or nil if the
// organisation has no quota.
func (o *owner) account(name egretflow.CallerName, now time.Time, fleet int) *account {
	a := o.accounts[name]
	if a != nil {
		o.refresh(a, now, fleet)
	}
	return a
}

// refresh brings an account up to the present share and allowance.
func (o *owner) refresh(a *account, now time.Time, fleet int) {
	a.advance(now, o.votes.integral, o.votes.share(fleet)*a.burst)
	v := &o.votes
	if !v.takesOver(now) {
		a.allowance, a.allowanceTo = 0, v.allowance
		return
	}
	if a.allowanceTo < v.allowanceBase {
		a.allowance, a.allowanceTo = 0, v.allowanceBase
	}
	a.allowance += takeoverPart * a.tolerance * (v.allowance - a.allowanceTo)
	a.allowanceTo = v.allowance
}

// takeoverPart is the part of the tolerance that new owners may grant before they have
// votes. An instance gives its part once a window, so up to twice this part falls into a
// window.
const takeoverPart = 0.3

// newOwnerPart is the part of the fleet that must have turned to an owner lately for it to
// count as new.
const newOwnerPart = 0.25

// handle applies a request and returns the answer to it, or nil for one that is not
// newer than the last of its sender.
func (o *owner) handle(m *message, incarnation uint64, now time.Time, fleet int) *response {
	o.advance(now, fleet)
	c, r := o.votes.clients[m.From], m.Request
	if c != nil && c.isOld(m, now) {
		return nil
	}
	if c == nil || c.incarnation != m.Incarnation {
		if c != nil {
			o.votes.drop(c)
		}
		c = &client{incarnation: m.Incarnation, results: map[uint64]result{}}
		o.votes.clients[m.From] = c
	}
	c.sequence, c.heardAt = r.Sequence, now
	answer := &response{Sequence: r.Sequence, Stamp: now.UnixMicro(), Leaving: o.leaving}
	stamp := time.UnixMicro(r.Stamp)
	if r.Owner == incarnation && showsSuspension(stamp, r.StampAge, now) {
		if o.suspension.notice(stamp, r.StampAge, now) {
			o.votes.dropAll()
		}
	} else if r.Owner == incarnation && !stamp.After(now) && now.Sub(stamp) < voteLifetime {
		o.accept(c, r, stamp, now, fleet)
		answer.Decided = true
	}
	if r.Release {
		o.votes.drop(c)
		answer.Released = true
	}
	o.advance(now, fleet)
	answer.Refunded = c.refunded
	for _, x := range c.results {
		answer.Results = append(answer.Results, x)
	}
	return answer
}

// isOld reports whether a message is not newer than the last one of its sender. A
// sender whose clock was set back may have a lower incarnation after a restart.
func (c *client) isOld(m *message, now time.Time) bool {
	if m.Incarnation == c.incarnation {
		return m.Request.Sequence <= c.sequence
	}
	return m.Incarnation < c.incarnation && now.Sub(c.heardAt) < voteLifetime
}

// suspension is a suspension of the process that a stamp has shown.
type suspension struct {
	noticedAt time.Time
	// lost is by how much less time has passed on the clock of the process than on that of
	// the voter.
	lost time.Duration
}

// lostSince returns by how much more time has passed at the receiver of a stamp than here
// (rule 5).
func lostSince(stamp time.Time, ageMicros int64, now time.Time) time.Duration {
	return time.Duration(ageMicros)*time.Microsecond - now.Sub(stamp)
}

// showsSuspension reports whether a stamp was made before a suspension, so that it makes no
// vote valid.
func showsSuspension(stamp time.Time, ageMicros int64, now time.Time) bool {
	return lostSince(stamp, ageMicros, now) > suspensionMargin
}

// notice notes the suspension that a stamp shows, and reports whether it is another one
// than the newest. The voters come back one after the other: if each of their old stamps
// dropped all votes, those who came back first would have to vote again and again.
func (s *suspension) notice(stamp time.Time, ageMicros int64, now time.Time) bool {
	lost := lostSince(stamp, ageMicros, now)
	if stamp.Before(s.noticedAt) && lost <= s.lost+suspensionMargin {
		return false
	}
	*s = suspension{noticedAt: now, lost: lost}
	return true
}

// accept applies a request with a valid stamp.
func (o *owner) accept(c *client, r *request, stamp, now time.Time, fleet int) {
	if r.Vote && !r.Release {
		o.votes.extend(c, stamp.Add(voteLifetime), now)
	}
	if r.Takeover > c.takeover {
		c.takeover = r.Takeover
		o.votes.giveAllowance(now, fleet)
	}
	for n := range r.Refunds {
		o.refund(c, &r.Refunds[n], now, fleet)
	}
	listed := make(map[uint64]bool, len(r.Questions))
	for n := range r.Questions {
		q := &r.Questions[n]
		listed[q.ID] = true
		if _, ok := c.results[q.ID]; ok {
			continue
		}
		x := o.decide(q, now, fleet)
		if x.Granted || x.Never || q.Final || o.hasTables && !o.isNew(now, fleet) {
			c.results[q.ID] = x
		}
	}
	for id := range c.results {
		if !listed[id] {
			delete(c.results, id)
		}
	}
}

// isNew reports whether many instances have turned to this owner lately, so that its
// buckets are still empty.
func (o *owner) isNew(now time.Time, fleet int) bool {
	v := &o.votes
	return v.takesOver(now) && (v.share(fleet) < wholeShare || v.allowance-v.allowanceBase >= newOwnerPart)
}

// decide decides about one request. An organisation that the tables here do not limit is
// not limited: its limit is not in force everywhere yet.
func (o *owner) decide(q *question, now time.Time, fleet int) result {
	a := o.account(q.Organisation, now, fleet)
	if !o.hasTables {
		return result{ID: q.ID, Unsure: true}
	}
	if a == nil {
		return result{ID: q.ID, Granted: true, Left: -1}
	}
	share := o.votes.share(fleet)
	d := a.spend(float64(q.Cost), share, now)
	if !d.granted && !a.reached && a.decides(share) {
		a.reached = true
		o.record(egretflow.EventQuotaReached, now, "Organisation", string(q.Organisation), "Cost", strconv.Itoa(q.Cost),
			"Left", strconv.Itoa(int(d.left)), "Share", formatShare(share),
			"PerSecond", formatLimit(a.quota.PerSecond), "Burst", formatLimit(a.quota.Burst))
	}
	x := result{ID: q.ID, Granted: d.granted, Never: d.never, Left: int64(d.left)}
	if !d.granted {
		x.Unsure = !a.decides(share) && !d.never
		x.RetryAfter = max(0, d.retryAt.Sub(now)).Microseconds()
	}
	return x
}

func formatLimit(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

func formatShare(share float64) string { return strconv.FormatFloat(share, 'f', 3, 64) }

// refund applies a refund that is new.
func (o *owner) refund(c *client, r *refund, now time.Time, fleet int) {
	if r.Number <= c.refunded {
		return
	}
	c.refunded = r.Number
	age := time.Duration(r.Age) * time.Microsecond
	if age > o.tolerance.Window {
		return
	}
	if a := o.account(r.Organisation, now, fleet); a != nil {
		a.refund(float64(r.Cost), now.Add(-age), now, o.votes.share(fleet)*a.burst)
	}
}

// tick ends votes, and reports organisations that are below their limit again.
func (o *owner) tick(now time.Time, fleet int) {
	o.advance(now, fleet)
	for name, a := range o.accounts {
		if a.reached && now.Sub(a.refusedAt) > clearTime {
			a.reached = false
			o.record(egretflow.EventQuotaCleared, now, "Organisation", string(name))
		}
	}
}

// status returns the state of the accounts that were used. The owner counts only what
// instances ask it, so one without votes has nothing to report.
func (o *owner) status(now time.Time, fleet int) []egretflow.QuotaStatus {
	o.advance(now, fleet)
	share := o.votes.share(fleet)
	if share == 0 {
		return nil
	}
	var list []egretflow.QuotaStatus
	for name, a := range o.accounts {
		o.refresh(a, now, fleet)
		list = append(list, egretflow.QuotaStatus{
			Organisation: name, Limit: a.quota, Left: max(0, a.content) + a.allowance, Share: share, Reached: a.reached,
		})
	}
	return list
}
