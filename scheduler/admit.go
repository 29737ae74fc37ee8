package scheduler

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/admitter"
	"github.com/egretflow/egretflow/crashdetector"
	"github.com/egretflow/egretflow/picker"
)

const (
	// headsPerRound is the number of waiting requests that are tried in one round.
	// If none of them can start, the pool counts as full.
	headsPerRound = 4
	// lateTolerance is the share of the first-token target by which an expected
	// time may exceed the target: the estimate is not more accurate than that.
	lateTolerance = 0.05
	// maxCrashSuspects is the number of crash suspects that may wait in one pool.
	maxCrashSuspects = 64
	// minRetryAfter and maxRetryAfter limit the time after which a refused caller
	// is asked to return, before jitter is added.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// acquire starts, queues or refuses w.
func (t *task) acquire(w *waiter) {
	if w.replaces != "" {
		t.acquireReplacement(w)
		return
	}
	p, ok := t.pools[w.work.Pool]
	if !ok {
		t.refuse(w, http.StatusServiceUnavailable, egretflow.RefusalNoServer, "the pool is not in the tables", admitter.Verdict{})
		return
	}
	w.pool = p
	if !t.precheck(w) {
		return
	}
	t.streams.Open(w.work)
	w.streamOpen = true
	p.lastRank = w.work.Importance.Rank()
	switch {
	case !t.usesJointPolicy() && w.work.Hedge:
		t.refuse(w, http.StatusServiceUnavailable, egretflow.RefusalOverload, "a baseline policy does not hedge", admitter.Verdict{})
	case !t.usesJointPolicy():
		t.enqueueBaseline(w)
	case w.work.Hedge:
		t.hedge(w)
	case w.verdict == crashdetector.Isolate:
		t.queueSuspect(w)
	default:
		t.offer(w)
	}
}

// precheck makes the checks that do not depend on the load of the servers:
// deadline, crashes, retry budget and open streams. It returns false if it refused
// w. The first attempt of a request adds to the budgets for retries and hedges.
func (t *task) precheck(w *waiter) bool {
	work, r := w.work, t.routes[w.work.Route]
	if !work.Deadline.IsZero() && !t.now.Before(work.Deadline) {
		t.refuse(w, http.StatusGatewayTimeout, egretflow.RefusalDeadline, "the deadline has passed", admitter.Verdict{})
		return false
	}
	if w.verdict = t.verdict(work); w.verdict == crashdetector.Reject {
		t.refuseCrashing(w)
		return false
	}
	if r == nil {
		return true
	}
	if work.Retry {
		return t.spendRetry(w, r)
	}
	if work.Hedge || work.Reacquired {
		return true
	}
	if r.maxStreams > 0 && t.streams.Count(work) >= r.maxStreams {
		t.refuse(w, http.StatusTooManyRequests, egretflow.RefusalTooManyStreams, "too many open streams", admitter.Verdict{})
		return false
	}
	t.retryBudgetFor(work, r).Earn(t.now)
	r.hedges.Earn(t.now)
	return true
}

// offer starts or queues w. A request that is expected to miss its first-token
// target is postponed or refused at once (5.1).
func (t *task) offer(w *waiter) {
	p := w.pool
	p.rates.countArrival(t.now, p.queue.ServiceRank(w.work), p.picker.SlotsFor(w.work))
	if t.startAtOnce(w) {
		return
	}
	w.item = admitter.Item{Work: w.work, Slots: 1, ServiceTime: p.picker.IdleFirstTokenTime(w.work, t.now), UserData: w}
	if p.picker.Kind() == egretflow.PoolKindModel {
		w.item.Tokens = p.picker.UncachedTokens(w.work, t.now)
		w.item.Slots = p.picker.SlotsFor(w.work)
	}
	c := t.capacity(p)
	if p.picker.Kind() == egretflow.PoolKindModel {
		c.ArrivingShares = p.arrivingShares(c.SlotsPerSecond, t.now)
	}
	v := p.queue.Offer(&w.item, c, t.now)
	if !v.Admitted {
		p.rates.countMissed(t.now, w.work.Importance.Rank(), w.item.Slots)
		t.postpone(w, v)
		return
	}
	if v.Displaced != nil {
		t.refuseLate(v.Displaced.UserData.(*waiter), v)
	}
	t.dispatch(p)
}

// startAtOnce starts w if no request waits before it and servers are free. Most
// requests of a pool that is not full then need no estimate of their wait.
func (t *task) startAtOnce(w *waiter) bool {
	p := w.pool
	if p.queue.WaitingBefore(w.work) || t.fullFor(p, w.work) {
		return false
	}
	pl, ok := t.pickFor(w, picker.Options{})
	if !ok || (!pl.Probe && !allowsRemeasurement(p) && t.missesTarget(w.work, pl.FirstTokenAt)) {
		return false
	}
	t.start(w, pl)
	return true
}

// allowsRemeasurement reports whether a request of p may start although its response
// is expected too late. The expected time is that of earlier requests. If a fault has
// raised it above the target and no request is running, only a new one can correct it.
// Before its first request a model pool is judged by the rates of its tables, which are
// not measured.
func allowsRemeasurement(p *pool) bool {
	measured := p.picker.Kind() == egretflow.PoolKindService || p.rates.meanHold > 0
	return measured && p.running == 0
}

// hedge starts w at once on servers that are not suspect, or refuses it (5.4).
func (t *task) hedge(w *waiter) {
	pl, ok := w.pool.picker.Pick(w.work, picker.Options{ExcludeSuspects: true}, t.now)
	r := t.routes[w.work.Route]
	switch {
	case !ok || t.missesTarget(w.work, pl.FirstTokenAt):
		t.refuse(w, http.StatusServiceUnavailable, egretflow.RefusalOverload, "no healthy server is free for a hedge", admitter.Verdict{})
	case w.verdict != crashdetector.Allow || r == nil || !r.hedges.Spend(t.now):
		t.refuse(w, http.StatusServiceUnavailable, egretflow.RefusalOverload, "the hedge budget of the route is spent", admitter.Verdict{})
	default:
		t.start(w, pl)
	}
}

// dispatch starts waiting requests of p while servers are free. It serves, in this
// order, attempts that need another prefill server, crash suspects, the queue and,
// once the queue is empty, the late queue.
func (t *task) dispatch(p *pool) {
	t.dispatchReplacements(p)
	if !t.usesJointPolicy() {
		t.dispatchBaseline(p)
		return
	}
	p.blocked = nil
	if len(p.crashSuspects) > 0 {
		p.crashSuspects = slices.DeleteFunc(p.crashSuspects, t.tryPlaceSuspect)
	}
	for p.queue.Len() > 0 && !t.full(p) && t.placeNext(p, p.queue, picker.Options{}) {
	}
	for p.queue.Len() == 0 && p.lateQueue.Len() > 0 && !t.full(p) && t.placeNext(p, p.lateQueue, picker.Options{LeaveHeadroom: true}) {
	}
	p.rates.setSaturated(p.queue.Len()+p.lateQueue.Len() > 0, t.now)
}

// placeNext tries the next requests of q in order and reports whether one of them
// left the queue. If a request that needs several slots of one server does not
// fit, the server with the most free slots is kept for it. Otherwise requests that
// need one slot would take each slot that becomes free.
func (t *task) placeNext(p *pool, q *admitter.Queue, o picker.Options) bool {
	for _, item := range q.Next(headsPerRound) {
		w := item.UserData.(*waiter)
		if t.tryPlace(w, o) {
			return true
		}
		if p.blocked == nil {
			p.blocked = w
		}
		if o.KeepFree == nil && item.Slots > 1 {
			o.KeepFree = p.picker.MostFreeDecodeServer(t.now)
		}
	}
	return false
}

// tryPlace takes w out of its queue and starts, postpones or refuses it. It returns
// false if w has to wait longer.
func (t *task) tryPlace(w *waiter, o picker.Options) bool {
	if w.verdict = t.verdict(w.work); w.verdict == crashdetector.Isolate || w.verdict == crashdetector.Reject {
		t.moveSuspect(w)
		return true
	}
	pl, ok := t.pickFor(w, o)
	if !ok {
		return false
	}
	if !pl.Probe && t.missesTarget(w.work, pl.FirstTokenAt) {
		if pl.Suspect {
			return false
		}
		w.queue().Remove(&w.item)
		t.postpone(w, admitter.Verdict{FirstTokenAt: pl.FirstTokenAt})
		return true
	}
	w.queue().Take(&w.item)
	t.start(w, pl)
	return true
}

// missesTarget reports whether a first token at the given time misses the target
// of work by more than lateTolerance. Work without a target never misses it.
func (t *task) missesTarget(work *egretflow.Work, firstToken time.Time) bool {
	if work.FirstTokenBy.IsZero() {
		return false
	}
	target := work.FirstTokenBy.Sub(work.ArrivedAt)
	return firstToken.After(work.FirstTokenBy.Add(time.Duration(lateTolerance * float64(target))))
}

// cancel ends the wait of w because its context ended. It does nothing if w
// already has its result.
func (t *task) cancel(w *waiter) {
	if w.done {
		return
	}
	if p := w.pool; p != nil {
		w.queue().Remove(&w.item)
		isCancelled := func(other *waiter) bool { return other == w }
		p.replacing = slices.DeleteFunc(p.replacing, isCancelled)
		p.fifo = slices.DeleteFunc(p.fifo, isCancelled)
		p.crashSuspects = slices.DeleteFunc(p.crashSuspects, isCancelled)
	}
	t.closeStream(w)
	w.refundRetry()
	t.record(egretflow.EventCancelled, w.work, nil, nil)
	w.finish(nil, fmt.Errorf("wait for an assignment: %w", context.Canceled))
}

// closeStream ends the open stream that w counts as, if any.
func (t *task) closeStream(w *waiter) {
	if w.streamOpen {
		w.streamOpen = false
		t.streams.Close(w.work)
	}
}

// refuseLate refuses a request that would miss its first-token target.
func (t *task) refuseLate(w *waiter, v admitter.Verdict) {
	t.refuse(w, http.StatusServiceUnavailable, egretflow.RefusalOverload, "the first-token target cannot be met", v)
}

// refuse finishes w with a refusal and records it. It does not remove w from its
// queue. v.FirstTokenAt is the expected first token, or zero if it is not known.
func (t *task) refuse(w *waiter, status int, reason egretflow.RefusalReason, message string, v admitter.Verdict) {
	t.closeStream(w)
	w.refundRetry()
	if w.pool != nil && reason == egretflow.RefusalOverload && !w.work.Hedge {
		w.pool.shares.CountRefused(w.work, t.now)
	}
	state := egretflow.RunStateNotRun
	if w.work.Retry || w.work.Hedge || w.replaces != "" {
		state = egretflow.RunStateMayHaveRun
	}
	refusal := &egretflow.Refusal{Status: status, Reason: reason, RunState: state, Message: message, RetryAt: t.retryAt(w.work, v)}
	if reason == egretflow.RefusalCrashSuspect {
		t.postponeRetry(refusal, w.work)
	}
	t.recordRefusal(w.work, refusal, v)
	w.finish(nil, refusal)
}

// retryAt returns when the caller of refused work should return: when the backlog
// is expected to be short enough, with jitter so that refused callers do not return
// together.
func (t *task) retryAt(work *egretflow.Work, v admitter.Verdict) time.Time {
	p, ok := t.pools[work.Pool]
	if ok && p.shares.Enabled() && p.picker.Kind() == egretflow.PoolKindModel && work.Deadline.After(t.now) && !v.FirstTokenAt.IsZero() {
		return p.returns.Book(work, p.picker.SlotsFor(work), t.slotRates(p), v.FirstTokenAt, t.now, t.cfg.Rand)
	}
	if ok && !v.FirstTokenAt.IsZero() && p.shouldReturnLater(work) {
		return admitter.RetryTime(work, t.now, t.cfg.Rand)
	}
	after := minRetryAfter
	switch {
	case v.FirstTokenAt.IsZero() || work.FirstTokenBy.IsZero():
	case !work.GiveUpBy.IsZero():
		// The caller would have waited that long. It should return after the
		// requests before it are served, not during the same load peak.
		after = min(max(after, v.FirstTokenAt.Sub(t.now)), maxRetryAfter)
	default:
		after = min(max(after, v.FirstTokenAt.Sub(work.FirstTokenBy)), maxRetryAfter)
	}
	return t.now.Add(after + time.Duration(t.cfg.Rand.Int64N(int64(after))))
}

// slotRates returns how fast decode slots of p become free, how fast requests took
// them over the last rateWindow, and how long requests run.
func (t *task) slotRates(p *pool) admitter.Rates {
	recent := p.rates.sum(t.now)
	return admitter.Rates{Freed: t.capacity(p).SlotsPerSecond, Taken: recent.totalArrived() / rateWindow.Seconds(), Hold: p.rates.hold()}
}

// refuseAll refuses all waiting requests of a pool that is no longer in the
// tables.
func (t *task) refuseAll(p *pool) {
	for _, q := range []*admitter.Queue{p.queue, p.lateQueue} {
		for q.Len() > 0 {
			for _, item := range q.Next(headsPerRound) {
				q.Remove(item)
				t.refuse(item.UserData.(*waiter), http.StatusServiceUnavailable, egretflow.RefusalNoServer, "the pool was removed", admitter.Verdict{})
			}
		}
	}
	for _, w := range slices.Concat(p.replacing, p.fifo, p.crashSuspects) {
		t.refuse(w, http.StatusServiceUnavailable, egretflow.RefusalNoServer, "the pool was removed", admitter.Verdict{})
	}
	p.replacing, p.fifo, p.crashSuspects = nil, nil, nil
}
