package picker

import (
	"time"

	"github.com/egretflow/egretflow"
)

// meanWeight is the weight of one request in the means of a pool.
const meanWeight = 0.05

// Reserve takes the slots of a placement, decode first.
func (p *Pool) Reserve(pl *Placement, w *egretflow.Work, now time.Time) {
	p.take(pl.Decode, pl.Slots, now)
	if pl.isolated {
		pl.Decode.isolated++
	}
	if pl.Decode.Speed.Suspect() {
		pl.Decode.Speed.StartProbe(now)
	}
	if pl.Prefill == nil {
		return
	}
	pl.transferring = true
	pl.Decode.transfers += pl.bytes
	p.reservePrefill(pl, w, now)
}

func (p *Pool) reservePrefill(pl *Placement, w *egretflow.Work, now time.Time) {
	s := pl.Prefill
	p.take(s, 1, now)
	pl.heldPrefill, pl.computing = true, true
	p.compute(s, pl.tokens)
	s.busyUntil = later(s.busyUntil, now).Add(toDuration(pl.tokens / s.prefillRate() * s.Speed.Factor()))
	if pl.isolated {
		s.isolated++
	}
	if s.Speed.Suspect() {
		s.Speed.StartProbe(now)
	}
	if p.perPrefill == 0 {
		p.perPrefill = pl.tokens
	}
	pl.prefix, pl.placedAt = w.Prefix, now
	p.prefixes.place(s, w.Prefix, now)
}

// Computed notes the prompt of a placement, which its server has computed.
func (p *Pool) Computed(pl *Placement) {
	p.prefills++
	p.perPrefill += weightOf(p.prefills) * (pl.tokens - p.perPrefill)
}

// weightOf is the weight of the nth observation in a mean: equal ones at first,
// then meanWeight.
func weightOf(n int) float64 { return max(meanWeight, 1/float64(n)) }

// compute changes the prompt tokens that s has to compute.
func (p *Pool) compute(s *Server, tokens float64) {
	s.outstanding = max(0, s.outstanding+tokens)
	p.outstanding = max(0, p.outstanding+tokens)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ReplacePrefill moves pl to the prefill server of next and keeps its decode
// place.
func (p *Pool) ReplacePrefill(pl *Placement, next Placement, w *egretflow.Work, now time.Time) {
	p.ReleasePrefill(pl, now)
	pl.stopSending()
	if !pl.transferring {
		pl.transferring = true
		pl.Decode.transfers += pl.bytes
	}
	pl.Prefill, pl.CachedTokens, pl.matched = next.Prefill, next.CachedTokens, next.matched
	pl.tokens, pl.backlog, pl.slack, pl.startedAt = next.tokens, next.backlog, next.slack, next.startedAt
	pl.PrefillBy, pl.TransferBy, pl.FirstTokenAt = next.PrefillBy, next.TransferBy, next.FirstTokenAt
	p.reservePrefill(pl, w, now)
}

// FinishPrefill notes that the prompt is computed; the transfer starts.
func (p *Pool) FinishPrefill(pl *Placement, now time.Time) {
	if !pl.computing {
		return
	}
	pl.computing = false
	s := pl.Prefill
	p.compute(s, -pl.tokens)
	s.busyUntil = now.Add(toDuration(s.outstanding / s.prefillRate() * s.Speed.Factor()))
	if pl.transferring {
		pl.sending = true
		pl.Prefill.transfers += pl.bytes
	}
}

// stopSending frees the link of the prefill server.
func (pl *Placement) stopSending() {
	if pl.sending {
		pl.sending = false
		pl.Prefill.transfers -= pl.bytes
	}
}

// FinishTransfer notes that the KV cache is at the decode server.
func (p *Pool) FinishTransfer(pl *Placement) {
	if !pl.transferring {
		return
	}
	pl.transferring = false
	pl.Decode.transfers -= pl.bytes
	pl.stopSending()
}

// ReleasePrefill gives the prefill place back and reports whether it was held.
// The transfer stays pending on both links.
func (p *Pool) ReleasePrefill(pl *Placement, now time.Time) bool {
	if !pl.heldPrefill {
		return false
	}
	if pl.computing {
		// The prompt was not computed, so the server does not hold it.
		p.prefixes.revoke(pl.Prefill, pl.prefix, pl.placedAt)
	}
	p.FinishPrefill(pl, now)
	pl.heldPrefill = false
	if pl.isolated {
		pl.Prefill.isolated--
	}
	p.give(pl.Prefill, 1, now)
	return true
}

// ReleaseAll gives back everything that pl still holds.
func (p *Pool) ReleaseAll(pl *Placement, now time.Time) {
	p.ReleasePrefill(pl, now)
	p.FinishTransfer(pl)
	if pl.isolated {
		pl.Decode.isolated--
	}
	p.give(pl.Decode, pl.Slots, now)
}

func (p *Pool) take(s *Server, slots int, now time.Time) {
	s.notePeak(now)
	s.requests++
	s.inUse += slots
	s.notePeak(now)
	if !s.gone {
		p.groupOf(s).used += slots
	}
}

func (p *Pool) give(s *Server, slots int, now time.Time) {
	s.notePeak(now)
	s.requests--
	s.inUse -= slots
	if !s.gone {
		g := p.groupOf(s)
		g.used -= slots
		g.enter(s)
	}
}

// HoldsPrefill reports whether the prefill place is still held.
func (pl *Placement) HoldsPrefill() bool { return pl.heldPrefill }

// Computing reports whether the prefill is still running.
func (pl *Placement) Computing() bool { return pl.computing }

// callOverhead is the time in seconds that a call takes besides the prefill.
// Without it a prompt of a few tokens, whose prefill takes less than a
// millisecond, makes any server look slow.
const callOverhead = 0.010

// PrefillRatio compares an observed prefill time with the nominal time for
// tokens computed behind the backlog at the start. With peers the slack is no
// evidence: a short prompt behind a long one of another instance would make its
// server look many times too slow.
func (pl *Placement) PrefillRatio(took time.Duration, tokens int) (ratio float64, ok bool) {
	return pl.prefillRatio(took, tokens, pl.slack)
}

func (pl *Placement) prefillRatio(took time.Duration, tokens int, slack float64) (ratio float64, ok bool) {
	nominal := pl.backlog + float64(tokens)/pl.Prefill.prefillRate() + callOverhead
	if nominal <= 0 || took <= 0 {
		return 0, false
	}
	excess := took.Seconds() - nominal
	if slack == 0 || excess <= 0 {
		return took.Seconds() / nominal, true
	}
	return 1 + max(0, excess-slack)/max(nominal, slack), true
}

// OverdueRatio compares the time since the start with the nominal prefill time.
// Work that peers have on the server now explains a longer wait.
func (pl *Placement) OverdueRatio(now time.Time) (ratio float64, ok bool) {
	if !pl.computing {
		return 0, false
	}
	slack := max(pl.slack, pl.Prefill.peerTokensAt(now)/pl.Prefill.prefillRate())
	return pl.prefillRatio(now.Sub(pl.startedAt), int(pl.tokens), slack)
}

// TransferRatio compares the observed time from the end of the prefill to the
// first token with the nominal one. The token is part of the nominal time, or a
// short transfer would make its link look slow.
func (p *Pool) TransferRatio(pl *Placement, took time.Duration) (ratio float64, ok bool) {
	rate := pl.Decode.Spec.LinkBytesPerSecond
	if own := pl.Prefill.Spec.LinkBytesPerSecond; rate == 0 || (own > 0 && own < rate) {
		rate = own
	}
	if rate <= 0 || pl.bytes <= 0 || took <= 0 {
		return 0, false
	}
	return took.Seconds() / (float64(pl.bytes)/float64(rate) + p.gap.Seconds()*pl.Decode.Speed.Factor()), true
}

// ServiceRatio compares the time of a service call with the mean of the pool.
func (p *Pool) ServiceRatio(took time.Duration) float64 {
	if p.perService == 0 {
		p.perService = took.Seconds()
	}
	ratio := took.Seconds() / max(p.perService, 1e-6)
	p.perService += meanWeight * (took.Seconds() - p.perService)
	return ratio
}

// Idle returns the expected time to the first token of w when nothing else is
// running, as an average over the pool.
func (p *Pool) Idle(w *egretflow.Work) time.Duration {
	prefill, decode := p.Median()
	if p.kind == egretflow.PoolKindService {
		if p.perService > 0 {
			return toDuration(p.perService)
		}
		return defaultService
	}
	idle := p.gap.Seconds() * decode
	if len(p.prefill.all) > 0 {
		s := p.prefill.all[0]
		idle += float64(p.Uncached(w)) / s.prefillRate() * prefill
		if s.Spec.LinkBytesPerSecond > 0 {
			idle += float64(int64(w.PromptTokens)*p.kvBytes) / float64(s.Spec.LinkBytesPerSecond)
		}
	}
	return toDuration(idle)
}

// Uncached returns the prompt tokens that a server with the longest known
// prefix computes.
func (p *Pool) Uncached(w *egretflow.Work) int {
	var buffer [maxMatches]match
	matches := p.prefixes.find(w.Prefix, buffer[:0])
	if len(matches) == 0 {
		return w.PromptTokens
	}
	m := matches[0]
	cached := float64(min(m.chunks*chunkTokens, w.PromptTokens-1)) * m.server.cache.trust
	return w.PromptTokens - int(cached)
}
