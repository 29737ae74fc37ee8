package picker

import (
	"time"

	"github.com/egretflow/egretflow"
)

// meanWeight is the weight of one request in the running means of a pool.
const meanWeight = 0.05

// Reserve takes the slots, prompt tokens and decode link of a placement, and
// adds its prompt to the prefix index.
func (p *Pool) Reserve(pl *Placement, w *egretflow.Work, now time.Time) {
	p.takeSlots(pl.Decode, pl.Slots, now)
	if pl.isolated {
		pl.Decode.isolatedRequests++
	}
	if pl.Decode.Speed.Suspect() {
		pl.Decode.Speed.StartProbe(now)
	}
	if pl.Prefill == nil {
		return
	}
	pl.decodeLinkReserved = true
	pl.Decode.pendingKVBytes += pl.kvBytes
	p.reservePrefill(pl, w, now)
}

func (p *Pool) reservePrefill(pl *Placement, w *egretflow.Work, now time.Time) {
	s := pl.Prefill
	p.takeSlots(s, 1, now)
	pl.holdsPrefill, pl.computing = true, true
	s.removeAwaiter(w.Request)
	p.addOutstanding(s, pl.uncachedTokens)
	s.busyUntil = later(s.busyUntil, now).Add(toDuration(pl.uncachedTokens / s.prefillRate() * s.Speed.Factor()))
	if pl.isolated {
		s.isolatedRequests++
	}
	if s.Speed.Suspect() {
		s.Speed.StartProbe(now)
	}
	if p.meanUncachedTokens == 0 {
		p.meanUncachedTokens = pl.uncachedTokens
	}
	p.reservePrompt(pl, w, now)
}

// reservePrompt takes the memory of the prompt, and records the beginnings that the
// server does not hold yet: requests that are placed there next find them.
func (p *Pool) reservePrompt(pl *Placement, w *egretflow.Work, now time.Time) {
	s := pl.Prefill
	pl.holdsPrompt = true
	s.promptTokens += int(pl.uncachedTokens)
	s.evictBeyondRoom(now)
	p.reuseShare += meanWeight * (float64(pl.Reuse.Tokens)/float64(max(1, w.PromptTokens)) - p.reuseShare)
	pl.prefix, pl.prefixEnds, pl.placedAt = w.Prefix, w.PrefixEnds, now
	pl.use = p.prefixes.useOf(s, pl.prefix, pl.prefixEnds, now)
	s.cache.pendingTokens += pl.use.stored + pl.use.moved
	for n, h := range pl.prefix[pl.use.held:] {
		p.prefixes.addHolder(h, holder{
			server: s, usedAt: s.cache.position + s.cache.pendingTokens,
			tokens: uint32(w.PrefixEnd(pl.use.held + n)), addedAtMS: now.UnixMilli(),
		})
	}
}

// keepPrompt records that the server keeps the prompt that it has computed.
func (p *Pool) keepPrompt(pl *Placement, now time.Time) {
	s := pl.Prefill
	s.retainedTokens += int(pl.uncachedTokens)
	s.cache.pendingTokens -= pl.use.stored + pl.use.moved
	s.cache.advance(pl.use.stored, pl.use.moved)
	p.prefixes.refresh(s, pl.prefix, pl.prefixEnds, now)
	s.evictBeyondRoom(now)
}

// releasePrompt frees the memory of the prompt on the prefill server.
func (pl *Placement) releasePrompt() {
	if !pl.holdsPrompt {
		return
	}
	pl.holdsPrompt = false
	pl.Prefill.promptTokens -= int(pl.uncachedTokens)
	if pl.computing {
		pl.Prefill.cache.pendingTokens -= pl.use.stored + pl.use.moved
	} else {
		pl.Prefill.retainedTokens -= int(pl.uncachedTokens)
	}
}

// ObserveComputedPrompt adds the uncached tokens of a prompt that its server
// has computed to the mean of the pool.
func (p *Pool) ObserveComputedPrompt(pl *Placement) {
	p.computedPrompts++
	p.meanUncachedTokens += observationWeight(p.computedPrompts) * (pl.uncachedTokens - p.meanUncachedTokens)
}

// observationWeight returns the weight of the nth observation in a running
// mean: equal weights at first, then meanWeight.
func observationWeight(n int) float64 { return max(meanWeight, 1/float64(n)) }

// addOutstanding adds tokens, which may be negative, to the outstanding prompt
// tokens of s and of the pool.
func (p *Pool) addOutstanding(s *Server, tokens float64) {
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
// reservation.
func (p *Pool) ReplacePrefill(pl *Placement, next Placement, w *egretflow.Work, now time.Time) {
	p.ReleasePrefill(pl, now)
	pl.releasePrompt()
	pl.releasePrefillLink()
	if !pl.decodeLinkReserved {
		pl.decodeLinkReserved = true
		pl.Decode.pendingKVBytes += pl.kvBytes
	}
	pl.Prefill, pl.CachedTokens, pl.Reuse = next.Prefill, next.CachedTokens, next.Reuse
	pl.uncachedTokens, pl.backlog, pl.peerSlack, pl.startedAt = next.uncachedTokens, next.backlog, next.peerSlack, next.startedAt
	pl.PrefillBy, pl.TransferBy, pl.FirstTokenAt = next.PrefillBy, next.TransferBy, next.FirstTokenAt
	p.reservePrefill(pl, w, now)
}

// FinishPrefill records that the prompt of pl is computed and that its transfer
// starts, which reserves the link of the prefill server. It does nothing if the
// prefill is not running.
func (p *Pool) FinishPrefill(pl *Placement, now time.Time) {
	if !pl.computing {
		return
	}
	pl.computing = false
	s := pl.Prefill
	if pl.holdsPrompt {
		p.keepPrompt(pl, now)
	}
	p.addOutstanding(s, -pl.uncachedTokens)
	s.busyUntil = now.Add(toDuration(s.outstanding / s.prefillRate() * s.Speed.Factor()))
	if pl.decodeLinkReserved {
		pl.prefillLinkReserved = true
		pl.Prefill.pendingKVBytes += pl.kvBytes
	}
}

// releasePrefillLink releases the link of the prefill server.
func (pl *Placement) releasePrefillLink() {
	if pl.prefillLinkReserved {
		pl.prefillLinkReserved = false
		pl.Prefill.pendingKVBytes -= pl.kvBytes
	}
}

// FinishTransfer records that the KV cache has reached the decode server, and
// releases both links.
func (p *Pool) FinishTransfer(pl *Placement) {
	pl.releasePrompt()
	if !pl.decodeLinkReserved {
		return
	}
	pl.decodeLinkReserved = false
	pl.Decode.pendingKVBytes -= pl.kvBytes
	pl.releasePrefillLink()
}

// ReleasePrefill releases the prefill slot and reports whether it was held. The
// transfer stays pending on both links.
func (p *Pool) ReleasePrefill(pl *Placement, now time.Time) bool {
	if !pl.holdsPrefill {
		return false
	}
	if pl.computing {
		// The prompt was not computed, so the server does not hold its prefix.
		p.prefixes.removeAdded(pl.Prefill, pl.prefix[pl.use.held:], pl.placedAt)
		pl.releasePrompt()
	}
	p.FinishPrefill(pl, now)
	pl.holdsPrefill = false
	if pl.isolated {
		pl.Prefill.isolatedRequests--
	}
	p.releaseSlots(pl.Prefill, 1, now)
	return true
}

// ReleaseAll releases everything that pl still holds. It must be called once
// per placement.
func (p *Pool) ReleaseAll(pl *Placement, now time.Time) {
	p.ReleasePrefill(pl, now)
	p.FinishTransfer(pl)
	if pl.isolated {
		pl.Decode.isolatedRequests--
	}
	p.releaseSlots(pl.Decode, pl.Slots, now)
}

// EndIsolation lets other isolated requests run on the servers of pl.
func (p *Pool) EndIsolation(pl *Placement) {
	if !pl.isolated {
		return
	}
	pl.isolated = false
	pl.Decode.isolatedRequests--
	if pl.holdsPrefill {
		pl.Prefill.isolatedRequests--
	}
}

// Adopt reserves the decode capacity of an attempt that another instance has
// placed and that has generated the given number of tokens. It returns false if
// the table does not list the server.
func (p *Pool) Adopt(server egretflow.ServerName, w *egretflow.Work, generated int, now time.Time) (Placement, bool) {
	s, ok := p.Server(server)
	if !ok {
		return Placement{}, false
	}
	pl := Placement{Decode: s, Slots: s.SlotsFor(w), startedAt: now}
	if s.byBlocks {
		pl.Slots = blocksFor(w, generated)
	}
	p.takeSlots(s, pl.Slots, now)
	return pl, true
}

func (p *Pool) takeSlots(s *Server, slots int, now time.Time) {
	s.notePeak(now)
	s.requests++
	s.inUse += slots
	s.notePeak(now)
	if !s.delisted {
		p.groupOf(s).used += slots
	}
}

func (p *Pool) releaseSlots(s *Server, slots int, now time.Time) {
	s.notePeak(now)
	s.requests--
	s.inUse -= slots
	if !s.delisted {
		g := p.groupOf(s)
		g.used -= slots
		g.addOpen(s)
	}
}

// HoldsPrefill reports whether the prefill slot is still held.
func (pl *Placement) HoldsPrefill() bool { return pl.holdsPrefill }

// Computing reports whether the prefill is still running.
func (pl *Placement) Computing() bool { return pl.computing }

// callOverheadSeconds is the time that a call takes besides the prefill.
// Without it, a prompt of a few tokens, whose prefill takes less than a
// millisecond, makes any server look slow.
const callOverheadSeconds = 0.010

// PrefillRatio returns the ratio of an observed prefill time to the nominal
// time for tokens, including the backlog at the start. If servers are shared, a
// delay of up to the slack does not raise the ratio: a short prompt behind a
// long one of another instance would make its server look many times too slow.
// ok is false without a usable time.
func (pl *Placement) PrefillRatio(took time.Duration, tokens int) (ratio float64, ok bool) {
	return pl.prefillRatio(took, tokens, pl.peerSlack)
}

func (pl *Placement) prefillRatio(took time.Duration, tokens int, slack float64) (ratio float64, ok bool) {
	nominal := pl.backlog + float64(tokens)/pl.Prefill.prefillRate() + callOverheadSeconds
	if nominal <= 0 || took <= 0 {
		return 0, false
	}
	excess := took.Seconds() - nominal
	if slack == 0 || excess <= 0 {
		return took.Seconds() / nominal, true
	}
	return 1 + max(0, excess-slack)/max(nominal, slack), true
}

// OverdueRatio returns the ratio of the time since the start to the nominal
// prefill time of the whole prompt: if the server has lost what it kept of it, it
// is not slow. Work that peers have on the server now counts as slack if it is more
// than at the start. ok is false if the prefill is not running.
func (pl *Placement) OverdueRatio(now time.Time) (ratio float64, ok bool) {
	if !pl.computing {
		return 0, false
	}
	slack := max(pl.peerSlack, pl.Prefill.peerTokensAt(now)/pl.Prefill.prefillRate())
	return pl.prefillRatio(now.Sub(pl.startedAt), int(pl.uncachedTokens)+pl.CachedTokens, slack)
}

// TransferRatio returns the ratio of the observed time from the end of the
// prefill to the first token to the nominal one. The nominal time includes the
// time of the token, or a short transfer would make its link look slow. ok is
// false if the rate of the links or the size is unknown.
func (p *Pool) TransferRatio(pl *Placement, took time.Duration) (ratio float64, ok bool) {
	rate := pl.Decode.Spec.LinkBytesPerSecond
	if prefillLinkRate := pl.Prefill.Spec.LinkBytesPerSecond; rate == 0 || (prefillLinkRate > 0 && prefillLinkRate < rate) {
		rate = prefillLinkRate
	}
	if rate <= 0 || pl.kvBytes <= 0 || took <= 0 {
		return 0, false
	}
	return took.Seconds() / (float64(pl.kvBytes)/float64(rate) + p.tokenGap.Seconds()*pl.Decode.Speed.Slowness()*pl.Decode.Speed.Factor()), true
}

// ServiceRatio returns the ratio of the time of a service call to the mean of
// the pool, and updates the mean.
func (p *Pool) ServiceRatio(took time.Duration) float64 {
	if p.meanServiceTime == 0 {
		p.meanServiceTime = took.Seconds()
	}
	ratio := took.Seconds() / max(p.meanServiceTime, 1e-6)
	p.meanServiceTime += meanWeight * (took.Seconds() - p.meanServiceTime)
	return ratio
}

// ErrorRatio returns the ratio of the time in which a service call ended with an error
// to the mean of the pool. It does not change the mean.
func (p *Pool) ErrorRatio(took time.Duration) float64 {
	if p.meanServiceTime == 0 {
		return 1
	}
	return took.Seconds() / p.meanServiceTime
}

// IdleFirstTokenTime returns the expected time to the first token of w on an
// idle pool, as an average over its servers. For a service pool it is the mean
// time of a call.
func (p *Pool) IdleFirstTokenTime(w *egretflow.Work, now time.Time) time.Duration {
	prefill, decode := p.MedianRatios()
	if p.kind == egretflow.PoolKindService {
		if p.meanServiceTime > 0 {
			return toDuration(p.meanServiceTime)
		}
		return defaultServiceTime
	}
	idle := p.tokenGap.Seconds() * decode
	if len(p.prefill.all) > 0 {
		s := p.prefill.all[0]
		idle += float64(p.UncachedTokens(w, now)) / p.nominalPrefillRate(s) * prefill
		if s.Spec.LinkBytesPerSecond > 0 {
			idle += float64(int64(w.PromptTokens)*p.kvBytesPerToken) / float64(s.Spec.LinkBytesPerSecond)
		}
	}
	return toDuration(idle)
}

// UncachedTokens returns the prompt tokens that a server with the longest known
// prefix is expected to compute.
func (p *Pool) UncachedTokens(w *egretflow.Work, now time.Time) int {
	var buffer [maxMatches]match
	matches := p.prefixes.find(w.Prefix, buffer[:0])
	if len(matches) == 0 {
		return w.PromptTokens
	}
	r := knownReuse(w, &matches[0], now)
	return w.PromptTokens - r.expectedTokens()
}
