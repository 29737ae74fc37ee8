package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/admitter"
	"github.com/egretflow/egretflow/crashdetector"
	"github.com/egretflow/egretflow/picker"
)

// attempt is a request that runs on servers, from its start to its release.
type attempt struct {
	// assignment is the newest one that the caller has received. It points to
	// firstAssignment until the prefill server is replaced.
	assignment *egretflow.Assignment
	// firstAssignment is part of the attempt to save an allocation.
	firstAssignment egretflow.Assignment
	placement       picker.Placement
	pool            *pool
	// use is what the attempt uses of the share of its organisation.
	use       admitter.Use
	startedAt time.Time
	// isolated is true if the request is a crash suspect and shares its servers
	// with no other one. mustIsolate is true if it must not.
	isolated    bool
	mustIsolate bool
	// isolationKeys holds what keeps other isolated requests from running.
	isolationKeys []uint64
	// progress is how far the answer has come, in tokens; 0 before it began, which a
	// prefill alone does not show. tokens counts those that were observed one by one.
	progress int
	tokens   int
	// produced reports whether a server sent output for the attempt.
	produced bool
	// crashed reports whether a server crashed while it ran the attempt.
	crashed bool
	// ended reports whether the attempt was released.
	ended bool
	// adopted reports whether another scheduler placed the attempt, so that its
	// start is not known.
	adopted bool
}

// start reserves the slots of pl, starts the attempt of w and finishes w with its
// assignment.
func (t *task) start(w *waiter, pl picker.Placement) {
	p := w.pool
	a := &w.attempt
	a.placement, a.pool, a.startedAt, a.isolated = pl, p, t.now, w.apart
	a.mustIsolate = w.verdict == crashdetector.Isolate
	if t.usesJointPolicy() {
		t.checkReservation(w.work, &pl)
	}
	p.picker.Reserve(&a.placement, w.work, t.now)
	if a.isolated {
		t.startIsolation(a, w.work)
	}
	decision, id := t.newIDs()
	a.firstAssignment = egretflow.Assignment{Decision: decision, Attempt: id, Work: w.work}
	a.assignment = &a.firstAssignment
	fillAssignment(a.assignment, &a.placement)
	t.attempts[id] = a
	if pl.Prefill != nil {
		t.prefills = append(t.prefills, a)
	}
	a.use = p.shares.Start(w.work)
	if !w.work.Reacquired {
		p.shares.CountServed(w.work, t.now)
	}
	p.running++
	p.addCallStart(t.now)
	p.rates.estimateHold(w.work, p.picker.Gap())
	w.streamOpen = false // the attempt owns the stream from here on
	t.recordAssignment(a)
	w.finish(a.assignment, nil)
}

// checkReservation asserts that pl has a decode server to reserve slots on (5.2)
// and that no slots beyond the grants are taken (5.3).
func (t *task) checkReservation(work *egretflow.Work, pl *picker.Placement) {
	if pl.Decode == nil {
		t.cfg.Checker.Check(egretflow.InvariantReservedFirst, false, work.Request, "placement without a decode server")
		return
	}
	t.checkGrant(work, pl.Decode, pl.Slots)
	if pl.Prefill != nil {
		t.checkGrant(work, pl.Prefill, 1)
	}
}

func (t *task) checkGrant(work *egretflow.Work, s *picker.Server, slots int) {
	if limit := s.LimitFor(work, t.now); s.InUse()+slots > limit {
		t.cfg.Checker.Check(egretflow.InvariantWithinGrant, false, work.Request,
			fmt.Sprintf("server %s: %d of %d slots in use, %d more taken", s.Spec.Name, s.InUse(), limit, slots))
	}
}

// fillAssignment copies the servers, the expected times and the earlier of the
// two grant deadlines of pl into a.
func fillAssignment(a *egretflow.Assignment, pl *picker.Placement) {
	a.Decode, a.Slots, a.CachedTokens = pl.Decode.Spec, pl.Slots, pl.CachedTokens
	a.PrefillBy, a.TransferBy, a.FirstTokenAt = pl.PrefillBy, pl.TransferBy, pl.FirstTokenAt
	a.GrantExpiresAt = pl.Decode.ExpiresAt()
	if pl.Prefill == nil {
		return
	}
	a.Prefill = pl.Prefill.Spec
	if e := pl.Prefill.ExpiresAt(); e.Before(a.GrantExpiresAt) {
		a.GrantExpiresAt = e
	}
}

func (t *task) release(r egretflow.Release) {
	a, ok := t.attempts[r.Attempt]
	if !ok {
		t.cfg.Checker.Check(egretflow.InvariantReleasedOnce, false, "", "release of an attempt that is not running: "+string(r.Attempt))
		return
	}
	p := a.pool
	if r.PrefillOnly {
		p.picker.ReleasePrefill(&a.placement, t.now)
		t.dispatch(p)
		return
	}
	a.ended = true
	delete(t.attempts, r.Attempt)
	if a.isolated {
		t.endIsolation(a)
	}
	p.picker.ReleaseAll(&a.placement, t.now)
	p.shares.End(a.use)
	p.running--
	p.removeCallStart(a.startedAt)
	p.rates.countEnd(t.now, a.placement.Slots, t.now.Sub(a.startedAt), !a.adopted && (a.produced || p.picker.Kind() == egretflow.PoolKindService))
	p.shares.SetHold(p.rates.hold())
	work := a.assignment.Work
	t.streams.Close(work)
	if r.Complete {
		t.crashes.AnswerAdvanced(work.Fingerprint, work.Parts, a.progress, crashdetector.WholeAnswer, t.now)
	}
	if a.produced && !a.crashed && work.Fingerprint != 0 {
		t.crashes.Clear(work.Fingerprint)
	}
	t.dispatch(p)
}

// acquireReplacement frees the prefill slot of a running attempt and lets w wait
// for another prefill server. It spends the retry budget, because the prompt is
// computed again (5.5).
func (t *task) acquireReplacement(w *waiter) {
	a, ok := t.attempts[w.replaces]
	if !ok {
		w.finish(nil, fmt.Errorf("replace prefill of attempt %s: %w", w.replaces, egretflow.ErrNotFound))
		return
	}
	w.pool = a.pool
	if w.verdict = t.verdict(w.work); w.verdict == crashdetector.Reject {
		t.refuseCrashing(w)
		return
	}
	if r := t.routes[w.work.Route]; r != nil && !t.spendRetry(w, r) {
		return
	}
	a.pool.picker.ReleasePrefill(&a.placement, t.now)
	a.pool.replacing = append(a.pool.replacing, w)
	t.dispatch(a.pool)
	if t.pools[a.pool.picker.Name()] != a.pool {
		// Nothing starts the requests of a removed pool later.
		t.refuseAll(a.pool)
	}
}

// dispatchReplacements serves the attempts that wait for another prefill server.
// They hold decode slots while they wait, so they are served before the queue.
func (t *task) dispatchReplacements(p *pool) {
	if len(p.replacing) > 0 {
		p.replacing = slices.DeleteFunc(p.replacing, t.tryReplace)
	}
}

// tryReplace moves the attempt that w replaces to another prefill server. It
// returns false if there is none yet and w has to wait longer; otherwise w has its
// result.
func (t *task) tryReplace(w *waiter) bool {
	a, ok := t.attempts[w.replaces]
	if !ok {
		w.finish(nil, fmt.Errorf("replace prefill of attempt %s: %w", w.replaces, egretflow.ErrNotFound))
		return true
	}
	o := picker.Options{Decode: a.placement.Decode, ExcludePrefill: a.placement.Prefill, Isolate: a.isolated}
	pl, ok := t.pick(a.pool, w.work, o)
	if !ok && a.isolated && !a.mustIsolate {
		t.endIsolation(a)
		o.Isolate = false
		pl, ok = t.pick(a.pool, w.work, o)
	}
	if !ok {
		if by := w.work.LatestStart(); !by.IsZero() && t.now.After(by) {
			t.refuseLate(w, admitter.Verdict{})
			return true
		}
		return false
	}
	a.pool.picker.ReplacePrefill(&a.placement, pl, w.work, t.now)
	next := *a.assignment
	next.Work = w.work
	next.Decision = egretflow.DecisionID(t.newID())
	fillAssignment(&next, &a.placement)
	// The decode slots were taken under an earlier grant and are kept.
	next.GrantExpiresAt = pl.Prefill.ExpiresAt()
	a.assignment = &next
	t.prefills = append(t.prefills, a)
	t.recordAssignment(a)
	w.finish(&next, nil)
	return true
}

// pick chooses servers by the configured policy.
func (t *task) pick(p *pool, work *egretflow.Work, o picker.Options) (picker.Placement, bool) {
	if t.usesJointPolicy() {
		return p.picker.Pick(work, o, t.now)
	}
	return p.picker.PickBaseline(t.cfg.Policy, work, o, t.now)
}
