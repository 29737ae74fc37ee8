package accountant

import (
	"time"

	"github.com/egretflow/egretflow"
)

const (
	// slotCount is the number of slots that the window of an account is divided into.
	slotCount = 32
	// wholeShare is the share from which on an owner lets a request that is larger than
	// its bucket take it into debt. Two owners cannot have more than half of the votes.
	wholeShare = 0.5
	// clearTime is how long no request was refused until the quota counts as not reached.
	clearTime = 5 * time.Second
)

// Tolerance is how far the use of the fleet may exceed a quota. A part of it serves
// requests near the limit; the rest is for changes of owner, which grant without knowing
// what was granted before.
type Tolerance struct {
	// Window is the length of the periods in which the use is compared with the quota.
	Window time.Duration
	// Overshoot is relative to the quota of a window, Slack is in the unit of the quota.
	Overshoot float64
	Slack     float64
}

// DefaultWindow is the length of the window if none is set.
const DefaultWindow = 8 * time.Second

// amount returns the tolerance in the unit of the quota.
func (t Tolerance) amount(q *egretflow.Quota) float64 {
	return t.Overshoot*(q.PerSecond*t.Window.Seconds()+q.Burst) + t.Slack
}

// slot is a part of the window: what an account earned in it, and what was charged
// and not refunded.
type slot struct{ earned, spent float64 }

// account is the use of the quota of one organisation, as its owner counts it.
type account struct {
	// quota is that of the tables, without a tolerance.
	quota egretflow.Quota
	// perSecond and burst are those of the quota with a part of the tolerance each.
	perSecond, burst float64
	// fixed means that the shares of all owners are fixed, so that no other owner knows
	// more about what this one may grant.
	fixed     bool
	tolerance float64
	window    time.Duration
	// content is what may be spent. It is negative after a request that was larger than
	// the bucket.
	content float64
	// filledTo is the share integral (see votes) up to which the account has earned.
	filledTo float64
	// slots are the newest parts of the window, slots[0] the current one, which began
	// at slotStart. base is the content before the oldest.
	slots     [slotCount]slot
	slotStart time.Time
	base      float64
	// allowance is what is left of the takeover allowance, allowanceTo the part of it
	// that the account has received.
	allowance   float64
	allowanceTo float64
	// returnAt is until when callers were told to return.
	returnAt time.Time
	// refusedAt is when a request was last refused, if reached is true.
	refusedAt time.Time
	reached   bool
}

// The parts of the tolerance that serve requests near the limit in a window: burstPart at
// once, and at most ratePart in the course of it.
const (
	burstPart = 0.1
	ratePart  = 0.2
)

// extraRate returns by how much the use may exceed the rate of q for long: at most by the
// relative overshoot, so that a slack that is large beside q does not multiply it.
func (t Tolerance) extraRate(q *egretflow.Quota) float64 {
	return min(ratePart*t.amount(q)/t.Window.Seconds(), t.Overshoot*q.PerSecond)
}

func newAccount(q egretflow.Quota, t Tolerance, now time.Time) *account {
	a := &account{window: t.Window, slotStart: now}
	a.setQuota(q, t, 0)
	return a
}

// decision is the answer for one request.
type decision struct {
	granted bool
	// never means that no bucket of the organisation can hold the request.
	never   bool
	retryAt time.Time
	// left is what may be spent after the decision.
	left float64
}

// setQuota takes a new limit. A raised one adds the difference of the bursts at once.
func (a *account) setQuota(q egretflow.Quota, t Tolerance, share float64) {
	tolerance := t.amount(&q)
	burst := q.Burst + burstPart*tolerance
	if more := share * (burst - a.burst); more > 0 {
		a.content += more
		a.base += more
	}
	a.quota = q
	a.perSecond, a.burst, a.tolerance = q.PerSecond+t.extraRate(&q), burst, tolerance
}

// advance earns what the share integral has grown by. size is the size of the bucket.
func (a *account) advance(now time.Time, integral, size float64) {
	a.roll(now, size)
	earned := a.perSecond * (integral - a.filledTo)
	a.filledTo = integral
	a.slots[0].earned += earned
	a.content = min(size, a.content+earned)
}

// roll drops the slots that lie before the window.
func (a *account) roll(now time.Time, size float64) {
	length := a.window / slotCount
	if now.Sub(a.slotStart) >= a.window {
		a.slots, a.base, a.slotStart = [slotCount]slot{}, max(0, min(a.content, size)), now
		return
	}
	for now.Sub(a.slotStart) >= length {
		a.base = max(0, a.slots[slotCount-1].after(a.base, size))
		copy(a.slots[1:], a.slots[:slotCount-1])
		a.slots[0], a.slotStart = slot{}, a.slotStart.Add(length)
	}
}

// after returns the content of a bucket after the slot.
func (s slot) after(content, size float64) float64 { return min(size, content+s.earned) - s.spent }

// replay returns the content that follows from the slots.
func (a *account) replay(size float64) float64 {
	content := a.base
	for n := slotCount - 1; n >= 0; n-- {
		content = a.slots[n].after(content, size)
	}
	return min(size, content)
}

// decides reports whether an owner with a share may refuse a request for good, and may let
// one that is larger than its bucket take it into debt.
func (a *account) decides(share float64) bool { return a.fixed || share >= wholeShare }

// spend decides about a request. The account was advanced to now.
func (a *account) spend(cost, share float64, now time.Time) decision {
	size := share * a.burst
	d := decision{never: cost > a.burst+a.perSecond*a.window.Seconds()}
	needed := cost
	if a.decides(share) {
		needed = min(cost, size)
	}
	switch {
	case d.never:
		d.retryAt = now.Add(a.window)
	case a.content >= needed:
		d.granted = true
		a.content -= cost
	case max(0, a.content)+a.allowance >= cost:
		d.granted = true
		a.allowance -= cost - max(0, a.content)
		a.content = min(0, a.content)
	case !a.decides(share):
		// The organisation may have room at another owner.
		d.retryAt = now
	default:
		d.retryAt = a.nextReturn(cost, needed, share, now)
	}
	if d.granted {
		a.slots[0].spent += cost
	} else {
		a.refusedAt = now
	}
	d.left = max(0, a.content) + a.allowance
	return d
}

// nextReturn returns when the caller of a refused request finds room. Callers return one
// after the other.
func (a *account) nextReturn(cost, needed, share float64, now time.Time) time.Time {
	rate := share * a.perSecond
	latest := now.Add(a.window)
	at := now.Add(seconds((needed - a.content) / rate))
	if a.returnAt.After(at) {
		at = a.returnAt
	}
	if at.After(latest) {
		return latest
	}
	a.returnAt = at.Add(seconds(cost / rate))
	return at
}

// maxSeconds bounds a duration that is computed from a rate.
const maxSeconds = 3600

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}

// forgetCharges makes earlier charges permanent. After the bucket has been cut, giving one
// back would fill it with what other owners have granted since.
func (a *account) forgetCharges() { a.slots, a.base = [slotCount]slot{}, max(0, a.content) }

// refund removes a charge that was made at the given time (rule 8).
func (a *account) refund(cost float64, at, now time.Time, size float64) {
	n := 0
	if at.Before(a.slotStart) {
		n = 1 + int(a.slotStart.Sub(at)/(a.window/slotCount))
	}
	if n >= slotCount || now.Sub(at) > a.window {
		return
	}
	before := a.replay(size)
	// The times of charge and refund are those of the instance, so the charge may lie in a
	// slot beside this one.
	for _, k := range []int{n, n - 1, n + 1} {
		if k >= 0 && k < slotCount {
			removed := min(cost, a.slots[k].spent)
			a.slots[k].spent -= removed
			cost -= removed
		}
	}
	a.content = min(size, a.content+a.replay(size)-before)
}
