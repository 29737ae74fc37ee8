package scheduler

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/admitter"
	"github.com/egretflow/egretflow/crashdetector"
	"github.com/egretflow/egretflow/picker"
)

// trialJitter spreads the callers that come back when a trial of their parts is due.
const trialJitter = time.Second

// verdict returns whether work may run, and whether it must run apart from other
// crash suspects. Requests without a fingerprint are judged by their parts alone.
func (t *task) verdict(work *egretflow.Work) crashdetector.Verdict {
	v := t.requestVerdict(work)
	if v == crashdetector.Reject || len(work.Parts) == 0 {
		return v
	}
	_, byPart := t.crashes.PartVerdict(work.Parts, t.now)
	if byPart == crashdetector.Allow || byPart == crashdetector.Separate && v == crashdetector.Isolate {
		return v
	}
	return byPart
}

// requestVerdict returns the verdict on work without regard to its parts.
func (t *task) requestVerdict(work *egretflow.Work) crashdetector.Verdict {
	if work.Fingerprint == 0 {
		return crashdetector.Allow
	}
	return t.crashes.Verdict(work.Fingerprint, t.now)
}

// refuseCrashing refuses a request whose verdict is crashdetector.Reject.
func (t *task) refuseCrashing(w *waiter) {
	if t.requestVerdict(w.work) == crashdetector.Reject {
		t.refuse(w, http.StatusUnprocessableEntity, egretflow.RefusalCrashSuspect, "the request was running on servers that crashed", admitter.Verdict{})
		return
	}
	part, _ := t.crashes.PartVerdict(w.work.Parts, t.now)
	message := fmt.Sprintf("requests with part %v of the prompt were running on servers that crashed", part)
	t.refuse(w, http.StatusServiceUnavailable, egretflow.RefusalCrashSuspect, message, admitter.Verdict{})
}

// postponeRetry asks the caller of rejected work not to return before the next trial of
// its parts, or before the losses expire. One that is no longer rejected may return as
// after any other refusal.
func (t *task) postponeRetry(refusal *egretflow.Refusal, work *egretflow.Work) {
	if t.requestVerdict(work) == crashdetector.Reject {
		refusal.RetryAt = t.crashes.ExpiresAt(work.Fingerprint)
		return
	}
	if at := t.crashes.RetryAt(work.Parts, t.now); !at.IsZero() {
		refusal.RetryAt = at.Add(time.Duration(t.cfg.Rand.Int64N(int64(trialJitter))))
	}
}

// isolationKeys returns the fingerprint and the suspected parts of work. Of the
// isolated requests with one of them only one runs at a time.
func (t *task) isolationKeys(work *egretflow.Work) []uint64 {
	var keys []uint64
	if work.Fingerprint != 0 {
		keys = append(keys, work.Fingerprint)
	}
	for _, part := range t.crashes.SuspectParts(work.Parts, t.now) {
		keys = append(keys, uint64(part))
	}
	return keys
}

// startIsolation marks a as the only running request with its suspected parts.
func (t *task) startIsolation(a *attempt, work *egretflow.Work) {
	a.isolationKeys = t.isolationKeys(work)
	for _, key := range a.isolationKeys {
		t.isolated[key] = true
	}
}

// endIsolation lets other requests with the same suspected parts run.
func (t *task) endIsolation(a *attempt) {
	for _, key := range a.isolationKeys {
		delete(t.isolated, key)
	}
	a.isolated, a.isolationKeys = false, nil
	a.pool.picker.EndIsolation(&a.placement)
}

// answerAdvanced processes output of a, whose answer has come to the given progress. If
// that clears the request of what it was suspected of, or if it only prefers to be apart,
// others need not wait until its answer ends.
func (t *task) answerAdvanced(a *attempt, progress int) {
	if progress <= a.progress {
		return
	}
	work, before := a.assignment.Work, a.progress
	a.progress = progress
	t.crashes.AnswerAdvanced(work.Fingerprint, work.Parts, before, progress, t.now)
	if a.isolated && (!a.mustIsolate || t.verdict(work) != crashdetector.Isolate) {
		t.endIsolation(a)
		t.dispatch(a.pool)
	}
}

// callServed processes the response of a, which is a call. If it has the parts of a
// prompt, the response is complete.
func (t *task) callServed(a *attempt) {
	if len(a.assignment.Work.Parts) > 0 {
		t.answerAdvanced(a, crashdetector.WholeAnswer)
	}
}

// queueSuspect queues a crash suspect apart from other requests, so that they are
// not blocked while it waits for servers without another suspect (5.6).
func (t *task) queueSuspect(w *waiter) {
	if t.addSuspect(w) {
		t.dispatch(w.pool)
	}
}

// tryPlaceSuspect starts the crash suspect w on servers without another suspect, or
// on any servers if it is no suspect any more. It refuses w if its first-token target
// has passed or if it is rejected now. It returns false if w has to wait longer.
func (t *task) tryPlaceSuspect(w *waiter) bool {
	if t.missesTarget(w.work, t.now) {
		t.refuseLate(w, admitter.Verdict{})
		return true
	}
	if w.verdict = t.verdict(w.work); w.verdict == crashdetector.Reject {
		t.refuseCrashing(w)
		return true
	}
	pl, ok := t.pickFor(w, picker.Options{})
	if !ok || t.missesTarget(w.work, pl.FirstTokenAt) {
		return false
	}
	t.start(w, pl)
	return true
}

// moveSuspect takes a request that became a crash suspect while it waited out of
// its queue. It queues the request with the other suspects or refuses it.
func (t *task) moveSuspect(w *waiter) {
	w.queue().Remove(&w.item)
	if t.verdict(w.work) == crashdetector.Reject {
		t.refuseCrashing(w)
		return
	}
	t.addSuspect(w)
}

// pickFor chooses servers for w. A crash suspect gets servers without another one if
// there are some; it gets no others if its verdict is crashdetector.Isolate.
func (t *task) pickFor(w *waiter, o picker.Options) (picker.Placement, bool) {
	w.apart = false
	if w.verdict == crashdetector.Allow {
		return w.pool.picker.Pick(w.work, o, t.now)
	}
	if !slices.ContainsFunc(t.isolationKeys(w.work), func(key uint64) bool { return t.isolated[key] }) {
		apart := o
		apart.Isolate = true
		if pl, ok := w.pool.picker.Pick(w.work, apart, t.now); ok {
			w.apart = true
			return pl, true
		}
	}
	if w.verdict == crashdetector.Isolate {
		return picker.Placement{}, false
	}
	return w.pool.picker.Pick(w.work, o, t.now)
}

// addSuspect appends w to the waiting crash suspects, or refuses it if there are too
// many. It reports whether w waits.
func (t *task) addSuspect(w *waiter) bool {
	if len(w.pool.crashSuspects) >= maxCrashSuspects {
		t.refuse(w, http.StatusServiceUnavailable, egretflow.RefusalCrashSuspect, "too many requests run on their own after a crash", admitter.Verdict{})
		return false
	}
	w.pool.crashSuspects = append(w.pool.crashSuspects, w)
	return true
}

// crashed counts the crash of s against the request of a, or against all requests
// that run on s if a is nil (5.6).
func (t *task) crashed(s *picker.Server, a *attempt) {
	if a != nil {
		t.charge(a, s)
		return
	}
	for _, id := range t.runningOn(s) {
		t.charge(t.attempts[id], s)
	}
}

// runningOn returns the attempts that run on s, in a fixed order.
func (t *task) runningOn(s *picker.Server) []egretflow.AttemptID {
	var ids []egretflow.AttemptID
	for id, a := range t.attempts {
		if a.placement.Decode == s || runsPrefillOn(a, s) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// charge counts the crash of s against the request of a and against the parts of its
// prompt, and records the verdict. Requests without a fingerprint and without parts are not
// counted.
func (t *task) charge(a *attempt, s *picker.Server) {
	work, server := a.assignment.Work, s.Spec.Name
	verdicts := t.crashes.Verdicts()
	a.crashed = true
	site := t.crashSiteOf(s)
	if work.Fingerprint != 0 {
		shared := t.mayShareLoss(a, site)
		t.crashes.RecordLoss(work.Fingerprint, crashdetector.Loss{Server: server, Progress: a.progress, Shared: shared}, t.now)
	}
	fields := []egretflow.EventField{{Key: "Server", Value: string(server)}}
	if part, ok := t.chargeParts(a, server, site); ok {
		fields = append(fields, egretflow.EventField{Key: "Part", Value: part.String()},
			egretflow.EventField{Key: "Losses", Value: strconv.Itoa(t.crashes.PartLosses(part, t.now))},
			egretflow.EventField{Key: "Progress", Value: strconv.Itoa(a.progress)})
	}
	if work.Fingerprint == 0 && len(work.Parts) == 0 {
		return
	}
	if t.cfg.OnServerLost != nil {
		t.cfg.OnServerLost()
	}
	t.notifyVerdict(verdicts)
	t.record(egretflow.EventCrashSuspect, work, a.assignment, append(fields, egretflow.EventField{Key: "Verdict", Value: string(t.verdict(work))}))
}

// mergeCrashes applies the crash reports of a peer.
func (t *task) mergeCrashes(reports []egretflow.CrashReport) {
	verdicts := t.crashes.Verdicts()
	t.crashes.Merge(reports, t.now)
	t.notifyVerdict(verdicts)
}

// notifyVerdict calls Config.OnVerdict if a verdict has changed since there were that many
// changes.
func (t *task) notifyVerdict(verdicts uint64) {
	if t.cfg.OnVerdict != nil && t.crashes.Verdicts() != verdicts {
		t.cfg.OnVerdict()
	}
}

// chargeParts counts the crash of a server against the parts of a, and returns the
// part that is most suspected.
func (t *task) chargeParts(a *attempt, server egretflow.ServerName, site crashSite) (egretflow.PartHash, bool) {
	startedAt := a.startedAt
	if a.adopted {
		startedAt = time.Time{}
	}
	loss := crashdetector.Loss{Server: server, At: site.at, Progress: a.progress, Shared: site.explains(a.assignment.Attempt), Caused: site.convicts(a.assignment.Attempt)}
	return t.crashes.RecordPartLoss(a.assignment.Work.Parts, loss, startedAt, t.now)
}
