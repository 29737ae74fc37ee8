package scheduler

import (
	"slices"
	"strconv"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/estimator"
	"github.com/egretflow/egretflow/picker"
)

// overdueRatio is the multiple of the nominal prefill time after which a running
// prefill counts against its server.
const overdueRatio = estimator.SuspectRatio

// observe updates the estimates, the slots and the usability of a server from an
// observation. Observations of servers that are not in the tables are
// ignored.
func (t *task) observe(o *egretflow.Observation) {
	p, ok := t.poolOf[o.Server]
	if !ok {
		return
	}
	s, ok := p.picker.Server(o.Server)
	if !ok {
		return
	}
	a := t.attempts[o.Attempt]
	t.observeLoss(p, s, o)
	t.adjustCallWindow(p, o)
	switch o.Kind {
	case egretflow.ObservationPrefillDone:
		t.prefillDone(p, s, a, o)
	case egretflow.ObservationTransferDone:
		t.transferDone(p, a, o)
	case egretflow.ObservationTokens:
		t.tokensGenerated(p, s, a, o)
	case egretflow.ObservationServed:
		if a != nil {
			a.produced = true
			t.callServed(a)
		}
		t.recordServerChange(s, s.Speed.Observe(p.picker.ServiceRatio(o.EndedAt.Sub(o.StartedAt)), t.now))
	case egretflow.ObservationErrored:
		t.callErrored(p, s, a, o)
	case egretflow.ObservationCrashed:
		p.picker.ForgetCache(s)
		if !o.Unsent {
			t.crashed(s, a)
		}
		t.recordServerChange(s, s.Speed.ObserveFailure(t.now))
	case egretflow.ObservationReplaced:
		p.picker.ForgetCache(s)
		t.recordServerChange(s, s.Speed.ObserveFailure(t.now))
	case egretflow.ObservationFailed, egretflow.ObservationSilent:
		t.recordServerChange(s, s.Speed.ObserveFailure(t.now))
	case egretflow.ObservationRefused:
		p.picker.Pause(s, o.RetryAt, t.now)
	case egretflow.ObservationLoad:
		if o.Load != nil {
			p.picker.ApplyLoadReport(s, o.Load, t.now)
			t.dispatch(p)
		}
	case egretflow.ObservationCache:
		for n := range o.Cache {
			p.picker.ApplyCacheEvent(s, &o.Cache[n], t.now)
		}
	}
}

// callErrored updates the estimates from a call that ended with an error. A quick error
// says nothing about how long calls take. a is nil if the attempt has ended.
func (t *task) callErrored(p *pool, s *picker.Server, a *attempt, o *egretflow.Observation) {
	took := o.EndedAt.Sub(o.StartedAt)
	ratio := p.picker.ErrorRatio(took)
	if ratio >= estimator.QuickErrorRatio {
		p.picker.ServiceRatio(took)
		if a != nil {
			a.produced = true
		}
	}
	t.recordServerChange(s, s.Speed.ObserveError(ratio, t.now))
}

// runsPrefillOn reports whether a is a running attempt whose prefill runs on s. It
// keeps a late observation of a replaced prefill server from ending the new
// prefill.
func runsPrefillOn(a *attempt, s *picker.Server) bool {
	return a != nil && a.placement.Prefill == s && a.placement.Computing()
}

// prefillDone processes an observed prefill on s. a is nil
// if the attempt has ended.
func (t *task) prefillDone(p *pool, s *picker.Server, a *attempt, o *egretflow.Observation) {
	if !runsPrefillOn(a, s) {
		p.rates.countPrefill(t.now, o.Tokens)
		return
	}
	tokens, took := o.Tokens, t.serverTime(o)
	if o.CacheReported {
		p.picker.ObserveCachedTokens(&a.placement, o.CachedTokens)
	} else {
		tokens = p.picker.ComputedTokens(&a.placement, o.Tokens, took)
	}
	p.rates.countPrefill(t.now, tokens)
	p.picker.ObserveComputedPrompt(&a.placement)
	p.picker.LearnPrefill(&a.placement, tokens, o.EndedAt.Add(-took), o.EndedAt, t.now)
	if ratio, ok := a.placement.PrefillRatio(took, tokens); ok {
		t.observeRatio(p, s, o, ratio)
	}
	p.picker.FinishPrefill(&a.placement, t.now)
}

// transferDone processes the end of the KV transfer of a, which may be nil.
func (t *task) transferDone(p *pool, a *attempt, o *egretflow.Observation) {
	if a == nil {
		return
	}
	t.answerAdvanced(a, 1)
	if a.placement.Prefill == nil {
		return
	}
	p.picker.LearnGap(a.placement.Decode, o.EndedAt.Sub(o.StartedAt))
	if ratio, ok := p.picker.TransferRatio(&a.placement, o.EndedAt.Sub(o.StartedAt)); ok {
		a.placement.Prefill.Link.Observe(ratio, t.now)
		a.placement.Decode.Link.Observe(ratio, t.now)
	}
	p.picker.FinishTransfer(&a.placement)
}

// tokensGenerated processes output tokens of s. a is nil if the attempt has ended;
// the speed of s is still learned from them.
func (t *task) tokensGenerated(p *pool, s *picker.Server, a *attempt, o *egretflow.Observation) {
	if a != nil && o.Tokens > 0 {
		a.produced = true
		a.tokens += o.Tokens
		t.answerAdvanced(a, max(a.tokens, o.Generated))
		p.picker.FinishTransfer(&a.placement)
		if o.Generated > 0 {
			p.picker.UpdateGenerated(&a.placement, a.assignment.Work, o.Generated)
		}
	}
	if took := t.serverTime(o); o.Tokens > 0 && took > 0 {
		t.observeRatio(p, s, o, p.picker.GapRatio(s, o.Tokens, took, t.now))
	}
}

// serverTime returns the time that the server took for what was observed. An instance
// that is slow itself reports times that are too long.
func (t *task) serverTime(o *egretflow.Observation) time.Duration {
	return time.Duration(float64(o.EndedAt.Sub(o.StartedAt)) / t.reporters.Slowness(o.From))
}

// observeRatio updates the estimate of s with the ratio of observed to nominal time,
// which serverTime has corrected.
func (t *task) observeRatio(p *pool, s *picker.Server, o *egretflow.Observation, ratio float64) {
	t.reporters.Observe(o.From, o.Server, ratio*t.reporters.Slowness(o.From)/p.picker.MedianRatio(s))
	t.recordServerChange(s, s.Speed.Observe(ratio, t.now))
}

// recordServerChange records that s became suspect or recovered. It does nothing
// for estimator.ChangeNone.
func (t *task) recordServerChange(s *picker.Server, c estimator.Change) {
	if c == estimator.ChangeNone {
		return
	}
	name := egretflow.EventSuspectServer
	if c == estimator.ChangeRecovered {
		name = egretflow.EventServerRecovered
	}
	t.record(name, nil, nil, []egretflow.EventField{
		{Key: "Server", Value: string(s.Spec.Name)},
		{Key: "Factor", Value: strconv.FormatFloat(s.Speed.Factor(), 'f', 2, 64)},
	})
}

// checkOverdue counts running prefills that take much longer than nominal against
// their server before they end, so that a stalled server is avoided at once (5.4).
// It also removes the prefills that have ended from t.prefills.
func (t *task) checkOverdue() {
	t.prefills = slices.DeleteFunc(t.prefills, func(a *attempt) bool {
		if a.ended || !a.placement.Computing() {
			return true
		}
		if ratio, ok := a.placement.OverdueRatio(t.now); ok && ratio > overdueRatio {
			s := a.placement.Prefill
			t.recordServerChange(s, s.Speed.ObserveOverdue(ratio, t.now))
		}
		return false
	})
}
