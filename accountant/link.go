package accountant

import (
	"slices"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/rendezvous"
)

const (
	// heartbeatInterval is the longest time between two messages to an owner. A vote
	// survives one lost heartbeat.
	heartbeatInterval = 350 * time.Millisecond
	// minResend and maxResend bound the time after which an unanswered message is
	// repeated; it doubles each time.
	minResend = 40 * time.Millisecond
	maxResend = 160 * time.Millisecond
	// failoverTimeout is how long a waiting request gets no answer before the next member
	// is asked, idleFailoverTimeout the same while none waits. Small instances stall for up
	// to 100 ms when their processor quota is used up.
	failoverTimeout     = 150 * time.Millisecond
	idleFailoverTimeout = 400 * time.Millisecond
	// suspectPeriod is how long a member that did not answer is passed over, leavingPeriod
	// how long one that shuts down.
	suspectPeriod = 2 * time.Second
	leavingPeriod = 15 * time.Second
	// maxFailovers is the number of members that may fail in a row before the instance asks
	// itself for selfPeriod.
	maxFailovers = 2
	selfPeriod   = 2 * time.Second
	// rankInterval is how often the owner of a shard is chosen again.
	rankInterval = 200 * time.Millisecond
	// newOwnerWait is how long a request waits at most for room at a new owner, and
	// newOwnerResend how often it asks again.
	newOwnerWait   = 400 * time.Millisecond
	newOwnerResend = 80 * time.Millisecond
	// answerLifetime is how long after its question an answer can be used. A process that
	// was paused for longer asks again.
	answerLifetime = time.Second
	// takeoverRepeat is how long messages carry the number of an allowance. It is shorter
	// than the time for which an owner remembers the number.
	takeoverRepeat = time.Second
)

// waiter is a request that waits for a decision.
type waiter struct {
	organisation egretflow.CallerName
	cost         int
	// ready receives one signal when the fields below it are set.
	ready  chan struct{}
	result result
	// owner decided in epoch.
	owner egretflow.InstanceName
	epoch uint64

	// The fields below belong to the goroutine of Run.
	id        uint64
	startedAt time.Time
	// sentIn is the message in which the present owner was sent the question first; 0
	// before that. sentAt is when.
	sentIn uint64
	sentAt time.Time
	// abandoned means that nobody waits any more. The result is awaited to refund it.
	abandoned bool
}

// pendingRefund is a refund that the owner has not acknowledged.
type pendingRefund struct {
	number       uint64
	organisation egretflow.CallerName
	cost         int
	chargedAt    time.Time
	// sentIn is the message in which it was sent first; 0 before that.
	sentIn uint64
}

// link is the state of this instance for one shard, and what its owner knows of it.
type link struct {
	shard   int
	target  egretflow.Member
	waiting []*waiter
	refunds []pendingRefund
	// active asks for heartbeats: an organisation of the shard has a quota.
	active bool

	sequence uint64
	// answered is the newest message that was answered.
	answered uint64
	// urgent asks for a message at once.
	urgent      bool
	sentAt      time.Time
	resendAfter time.Duration
	// silentSince is when the first message was sent that has no answer yet; zero if
	// all are answered.
	silentSince time.Time

	// epoch counts the owners that were asked: it grows with the target and with its
	// incarnation. Refunds belong to an epoch.
	epoch uint64
	// ownerStamp is the newest one of the target, formerStamps holds those of earlier
	// targets. A stamp that has expired still shows whether its owner was suspended.
	ownerStamp
	formerStamps map[egretflow.InstanceName]ownerStamp
	// released is the message that released the vote at the former owner.
	released uint64
	// voter is the member that may count the vote of this instance until voteUntil.
	voter     egretflow.Member
	voteUntil time.Time
	// takeover numbers the allowances that were given, the last one at takeoverAt in
	// takeoverEpoch.
	takeover      uint64
	takeoverAt    time.Time
	takeoverEpoch uint64
	// allowanceEpoch is the epoch for which it was decided whether to give one.
	allowanceEpoch uint64

	lastRefund uint64
	rankedAt   time.Time
	// failovers counts the members that did not answer since the last answer.
	failovers int
	// selfUntil is until when this instance asks itself.
	selfUntil time.Time
	// detached reports whether the instance asks itself because no owner answers.
	detached bool
}

// ownerStamp is a time on the clock of an owner.
type ownerStamp struct {
	// owner is the incarnation of the owner; 0 before its first answer.
	owner   uint64
	stamp   int64
	stampAt time.Time
}

// maxFormer bounds the owners whose stamps are remembered.
const maxFormer = 64

// rank orders the members for a shard, its owner first.
func rank(key string, members []egretflow.Member) []egretflow.Member {
	return rendezvous.RankByProcessorShare(key, members)
}

func (l *link) empty() bool { return len(l.waiting)+len(l.refunds) == 0 }

// unsent reports whether the owner has not been sent all questions that a message lists.
func (l *link) unsent() bool {
	listed := l.waiting[:min(len(l.waiting), maxListed)]
	return slices.ContainsFunc(listed, func(w *waiter) bool { return w.sentIn == 0 })
}

// sendAt returns when the next message is due; false if none is.
func (l *link) sendAt() (time.Time, bool) {
	outstanding := l.answered < l.sequence
	switch {
	case l.urgent || !outstanding && l.unsent():
		return l.sentAt, true
	case !l.active && l.empty():
		return time.Time{}, false
	case outstanding:
		return l.sentAt.Add(l.resendAfter), true
	case len(l.waiting) > 0:
		return l.sentAt.Add(newOwnerResend), true
	}
	return l.sentAt.Add(heartbeatInterval), true
}

// failAt returns when the owner counts as failed; false while it owes nothing.
func (l *link) failAt() (time.Time, bool) {
	if l.silentSince.IsZero() || !l.active && l.empty() {
		return time.Time{}, false
	}
	oldest := l.silentSince.Add(idleFailoverTimeout)
	for _, w := range l.waiting {
		since := w.startedAt
		if since.Before(l.silentSince) {
			since = l.silentSince
		}
		if at := since.Add(failoverTimeout); at.Before(oldest) {
			oldest = at
		}
	}
	return oldest, true
}

// retarget makes another member the owner to ask.
func (l *link) retarget(m egretflow.Member) {
	if l.formerStamps == nil || len(l.formerStamps) >= maxFormer {
		l.formerStamps = map[egretflow.InstanceName]ownerStamp{}
	}
	l.formerStamps[l.target.Name] = l.ownerStamp
	l.target, l.ownerStamp = m, l.formerStamps[m.Name]
	l.newEpoch()
	l.silentSince, l.urgent = time.Time{}, l.active || !l.empty()
	l.answered = l.sequence
	for _, w := range l.waiting {
		w.sentIn = 0
	}
}

// newEpoch begins an epoch. Only the process that was charged takes a refund, so those
// that it has not acknowledged are dropped.
func (l *link) newEpoch() {
	l.epoch++
	l.refunds = nil
	l.waiting = slices.DeleteFunc(l.waiting, func(w *waiter) bool { return w.abandoned })
}

// message returns the whole state of the link as the next message (rule 2).
func (l *link) message(now time.Time, window time.Duration) *request {
	l.sequence++
	r := &request{Sequence: l.sequence, Owner: l.owner, Stamp: l.stamp}
	if l.stamp != 0 {
		r.StampAge = max(0, now.Sub(l.stampAt).Microseconds())
		// An expired stamp only shows whether the owner was suspended.
		if now.Sub(l.stampAt) < voteLifetime {
			r.Vote = l.vote(now)
			r.Takeover = l.giveAllowance(now, window)
		}
	}
	for n, w := range l.waiting {
		if n == maxListed {
			break
		}
		if w.sentIn == 0 {
			w.sentIn, w.sentAt = l.sequence, now
		}
		r.Questions = append(r.Questions, question{
			ID: w.id, Organisation: w.organisation, Cost: w.cost, Final: now.Sub(w.startedAt) >= newOwnerWait,
		})
	}
	for n := range l.refunds {
		if n == maxListed {
			break
		}
		x := &l.refunds[n]
		if x.sentIn == 0 {
			x.sentIn = l.sequence
		}
		r.Refunds = append(r.Refunds, refund{
			Number: x.number, Organisation: x.organisation, Cost: x.cost, Age: max(0, now.Sub(x.chargedAt).Microseconds()),
		})
	}
	return r
}

// vote reports whether the next message may carry the vote (rule 4).
func (l *link) vote(now time.Time) bool {
	if l.voter.Name != l.target.Name && now.Before(l.voteUntil) {
		return false
	}
	l.voter = l.target
	l.voteUntil = l.stampAt.Add(voteLifetime + voteMargin)
	return true
}

// giveAllowance returns the number of the allowance that the next message gives, or 0
// (rule 6).
func (l *link) giveAllowance(now time.Time, window time.Duration) uint64 {
	if l.allowanceEpoch != l.epoch {
		l.allowanceEpoch = l.epoch
		if l.takeover == 0 || now.Sub(l.takeoverAt) >= window {
			l.takeover++
			l.takeoverAt, l.takeoverEpoch = now, l.epoch
		}
	}
	if l.takeoverEpoch != l.epoch || now.Sub(l.takeoverAt) > takeoverRepeat {
		return 0
	}
	return l.takeover
}

// addRefund appends a refund for the present owner.
func (l *link) addRefund(o egretflow.CallerName, cost int, chargedAt time.Time) {
	if len(l.refunds) >= maxListed {
		l.refunds = l.refunds[1:]
	}
	l.lastRefund++
	l.refunds = append(l.refunds, pendingRefund{number: l.lastRefund, organisation: o, cost: cost, chargedAt: chargedAt})
}

// acknowledge removes the refunds that the owner has applied.
func (l *link) acknowledge(number uint64) {
	l.refunds = slices.DeleteFunc(l.refunds, func(r pendingRefund) bool { return r.number <= number })
}

// take removes the question with the given id and returns it, or nil.
func (l *link) take(id uint64) *waiter {
	at := slices.IndexFunc(l.waiting, func(w *waiter) bool { return w.id == id })
	if at < 0 {
		return nil
	}
	w := l.waiting[at]
	l.waiting = slices.Delete(l.waiting, at, at+1)
	return w
}
