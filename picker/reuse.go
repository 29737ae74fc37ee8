package picker

import (
	"math"
	"slices"
	"time"

	"github.com/egretflow/egretflow"
)

const (
	// sureConfidence is the confidence from which a kept beginning counts as sure
	// when the first-token target is compared.
	sureConfidence = 0.9
	// storedErrorShare is the share by which the count of tokens that a server has
	// used since a beginning may be wrong.
	storedErrorShare = 0.2
	// knowledgeFullFor is the age up to which knowledge without cache events counts
	// in full. Older knowledge counts in inverse proportion to its age: what other
	// instances placed and restarts that nobody noticed are missing in it.
	knowledgeFullFor = 30 * time.Second
	// eventsFresh is the time after a cache event during which the server counts as
	// followed, so that what is known about it does not age.
	eventsFresh = 30 * time.Second
	// evictedValue scales the cost of evicted tokens: the least recently used ones
	// are needed less often than others.
	evictedValue = 0.5
	// clearRatio is the least quotient of the prefill times with and without a kept
	// beginning from which the time shows whether it was kept.
	clearRatio = 2
	// riskPenalty ranks a pair that meets the target only if an unsure beginning is
	// kept behind those that meet it anyway, latePenalty one that misses the target
	// behind those that meet it. Both are in seconds, below suspectPenalty.
	riskPenalty = 1e3
	latePenalty = 2e3
)

// Reuse compares what a server that keeps the beginning of a prompt saves with the
// wait there. It is zero if no candidate keeps one.
type Reuse struct {
	// Tokens is the number of prompt tokens that the server is recorded to keep,
	// Confidence the probability that it still keeps them, and Age the time since
	// it used them last.
	Tokens     int
	Confidence float64
	Age        time.Duration
	// Saved is the expected prefill time that is saved, Wait the time that the
	// request waits longer than on the server that would start it first.
	Saved time.Duration
	Wait  time.Duration
	// Used is false if another server was chosen.
	Used bool
}

// reuse is the comparison for one candidate, in seconds.
type reuse struct {
	tokens     int
	confidence float64
	age        time.Duration
	// saved is the expected time saved, risk the part of it that is lost if the
	// server keeps nothing and that is not sure enough to rely on.
	saved float64
	risk  float64
	// evicted is the cost of what the prompt evicts.
	evicted float64
}

// expectedTokens returns the tokens that are expected to be reused.
func (r *reuse) expectedTokens() int { return int(float64(r.tokens) * r.confidence) }

// weighReuse completes the reuse of a request on s, given the expected time per prompt
// token there in seconds.
func (p *Pool) weighReuse(r *reuse, w *egretflow.Work, s *Server, perToken float64, now time.Time) {
	r.saved = float64(r.expectedTokens()) * perToken
	if r.confidence < sureConfidence {
		r.risk = r.saved
	}
	evicted := w.PromptTokens - r.expectedTokens() - s.unusedTokens(now)
	r.evicted = float64(max(0, evicted)) * perToken * p.reuseShare * evictedValue
}

// knownReuse returns the tokens that the server of m keeps of w, and how sure and how
// old that knowledge is.
func knownReuse(w *egretflow.Work, m *match, now time.Time) reuse {
	tokens := w.PrefixEnd(m.chunks - 1)
	if m.tokens > 0 {
		tokens = min(tokens, int(m.tokens))
	}
	// At least one token is computed.
	r := reuse{tokens: min(tokens, max(0, w.PromptTokens-1)), age: now.Sub(time.UnixMilli(m.addedAtMS))}
	s := m.server
	r.confidence = s.cache.trust * s.keptProbability(&m.holder, r.tokens, now) * s.freshness(r.age, now)
	return r
}

// keptProbability returns the probability, from 0 to 1, that s still keeps the given number
// of tokens of h when a prompt that is placed there now starts. The least recently
// used ones are evicted first.
func (s *Server) keptProbability(h *holder, tokens int, now time.Time) float64 {
	spare := int(int32(h.usedAt - uint32(tokens) - s.cache.oldestKept))
	if unused := s.unusedTokens(now); spare >= 0 && unused > 0 {
		spare += unused
	} else {
		// What is computed before evicts as much as it needs.
		spare = min(spare, s.cache.capacityTokens-h.newerTokens()-tokens)
	}
	doubt := storedErrorShare * float64(h.newerTokens())
	switch {
	case float64(spare) >= doubt:
		return 1
	case float64(spare) <= -doubt:
		return 0
	}
	return 0.5 + float64(spare)/(2*doubt)
}

// freshness returns how much knowledge of the given age counts, from 0 to 1.
func (s *Server) freshness(age time.Duration, now time.Time) float64 {
	if age <= knowledgeFullFor || s.cache.sequence != 0 && now.Sub(s.cache.eventAt) < eventsFresh {
		return 1
	}
	return knowledgeFullFor.Seconds() / age.Seconds()
}

// roomTokens returns the memory in tokens that running prompts leave: by what this
// instance has placed or by the load report, whichever is less. Some engines report no
// free blocks, so 0 counts as unknown.
func (s *Server) roomTokens(now time.Time) int {
	room := s.cache.capacityTokens - s.promptTokens
	if s.load.FreeBlocks > 0 && s.loadAge(now) < loadLifetime {
		room = min(room, s.load.FreeBlocks*egretflow.BlockTokens)
	}
	return max(0, room)
}

// unusedTokens returns the memory in tokens that neither running prompts nor kept
// beginnings use.
func (s *Server) unusedTokens(now time.Time) int {
	return max(0, s.roomTokens(now)+s.retainedTokens-s.cache.keptTokens)
}

// evictBeyondRoom notes what the server must have evicted for running prompts.
func (s *Server) evictBeyondRoom(now time.Time) {
	s.cache.evictDownTo(s.retainedTokens + s.roomTokens(now))
}

// addMemoryWaits adds to the candidates the time until the memory that w needs
// beside what is kept is free, given that prompts leave at the rate at which they
// are computed.
func addMemoryWaits(prefills []candidate, w *egretflow.Work, now time.Time) {
	for n := range prefills {
		c := &prefills[n]
		missing := w.PromptTokens - c.reuse.expectedTokens() - c.server.roomTokens(now)
		wait := float64(max(0, missing)) / c.server.prefillRate() * c.factor()
		c.delay += wait
		c.seconds += wait
	}
}

// targetPenalty ranks a pair by whether it meets the first-token target, in seconds.
// remaining is the time until the target, expected the time until the first token, and
// atRisk that time if nothing unsure is kept.
func targetPenalty(remaining, expected, atRisk float64) float64 {
	switch {
	case expected > remaining:
		return latePenalty
	case atRisk > remaining:
		return riskPenalty
	}
	return 0
}

// secondsUntilTarget returns the time until the first-token target of w, +Inf without
// one.
func secondsUntilTarget(w *egretflow.Work, now time.Time) float64 {
	if w.FirstTokenBy.IsZero() {
		return math.Inf(1)
	}
	return w.FirstTokenBy.Sub(now).Seconds()
}

// reuseOf returns the comparison to report for a choice: that of the chosen prefill
// server if it keeps something, otherwise that of the candidate or of the full holder
// that saves the most.
func reuseOf(chosen *candidate, prefills, fullHolders []candidate) Reuse {
	least := chosen.delay
	for n := range prefills {
		if c := &prefills[n]; c.suspect == chosen.suspect {
			least = min(least, c.delay)
		}
	}
	best := chosen
	if chosen.reuse.saved == 0 {
		best = mostSaved(mostSaved(chosen, prefills), fullHolders)
	}
	if best.reuse.tokens == 0 {
		return Reuse{}
	}
	r := best.reuse
	return Reuse{
		Tokens: r.tokens, Confidence: r.confidence, Age: r.age, Saved: toDuration(r.saved),
		Wait: toDuration(max(0, best.delay-least)), Used: best == chosen && r.saved > 0,
	}
}

// mostSaved returns the candidate that saves the most, best if none saves more than it.
func mostSaved(best *candidate, list []candidate) *candidate {
	for n := range list {
		if list[n].reuse.saved > best.reuse.saved {
			best = &list[n]
		}
	}
	return best
}

// isReuseWorthWait reports whether the chosen server has a backlog only because it
// keeps the beginning of the prompt, while another one would start the request at
// once. The time saved then outweighs the backlog, and waiting in the queue would
// hold up requests that the other servers can start.
func isReuseWorthWait(pl *Placement, prefills []candidate, now time.Time) bool {
	if !pl.Reuse.Used {
		return false
	}
	for n := range prefills {
		if c := &prefills[n]; !c.suspect && !c.server.hasDeepBacklog(now) {
			return true
		}
	}
	return false
}

// awaiter is a request that waits in the queue for a slot of a server.
type awaiter struct {
	request egretflow.RequestID
	// seconds is the expected time of its prefill there.
	seconds float64
	// until is when a slot is expected to be free for it. It no longer counts then.
	until time.Time
}

// awaitFullHolder makes w wait in the queue for a full holder if its prefill is expected to
// end sooner there than with pl. It adds w to the awaiters of that server then, and reports
// whether it did.
func (p *Pool) awaitFullHolder(pl *Placement, w *egretflow.Work, o Options, now time.Time) bool {
	// A crash suspect that is not placed on its own may be placed beside others next.
	if o.Isolate || o.ExcludeSuspects || o.Decode != nil || w.Importance.Rank() == 0 || pl.Suspect {
		return false
	}
	for n := range p.fullHolders {
		if a, ok := awaiterOf(&p.fullHolders[n], pl, w, now); ok {
			p.fullHolders[n].server.addAwaiter(a)
			return true
		}
	}
	return false
}

// awaiterOf returns w as an awaiter of the full holder c, or false if the prefill is not
// expected to end sooner there than with pl. It ends there after those of the earlier
// awaiters. What is not sure to be kept counts as missing, and what the prompt evicts counts
// as time. A slot becomes free once a prompt is computed and moved. If none is being
// computed there, it is not known when.
func awaiterOf(c *candidate, pl *Placement, w *egretflow.Work, now time.Time) (awaiter, bool) {
	s := c.server
	if c.suspect || s.outstanding == 0 {
		return awaiter{}, false
	}
	move := float64(pl.kvBytes) * c.secondsPerByte
	before := s.awaitedSeconds(w.Request, now) + move
	computed := before + c.seconds + c.reuse.risk + c.reuse.evicted
	endsAt := now.Add(toDuration(max(computed, c.linkWait) + pl.peerSlack))
	if !endsAt.Before(pl.PrefillBy) {
		return awaiter{}, false
	}
	until := now.Add(toDuration(before + c.delay))
	return awaiter{request: w.Request, seconds: c.seconds - c.delay, until: until}, true
}

// awaitedSeconds returns the expected time of the prefills that wait for s before that
// of the given request. It removes those whose time has passed: they have been placed
// elsewhere or cancelled.
func (s *Server) awaitedSeconds(request egretflow.RequestID, now time.Time) float64 {
	s.awaiters = slices.DeleteFunc(s.awaiters, func(a awaiter) bool { return !now.Before(a.until) })
	var seconds float64
	for _, a := range s.awaiters {
		if a.request == request {
			break
		}
		seconds += a.seconds
	}
	return seconds
}

// addAwaiter adds a request that waits for s, behind the others unless it waits already.
func (s *Server) addAwaiter(a awaiter) {
	n := slices.IndexFunc(s.awaiters, func(other awaiter) bool { return other.request == a.request })
	if n < 0 {
		s.awaiters = append(s.awaiters, a)
		return
	}
	s.awaiters[n] = a
}

// removeAwaiter removes a request that was placed on s.
func (s *Server) removeAwaiter(request egretflow.RequestID) {
	s.awaiters = slices.DeleteFunc(s.awaiters, func(a awaiter) bool { return a.request == request })
}

// ObserveCachedTokens adjusts the trust in the prefill server by the number of
// cached tokens that the engine reported for a placement.
func (p *Pool) ObserveCachedTokens(pl *Placement, reported int) {
	if !pl.Reuse.Used || pl.Reuse.Tokens <= 0 {
		return
	}
	s := pl.Prefill
	ratio := min(1, float64(reported)/float64(pl.Reuse.Tokens))
	s.cache.trust = max(minTrust, s.cache.trust+trustWeight*(ratio-s.cache.trust))
}

// ComputedTokens returns how many tokens of a prompt its server has computed in the
// given time, if the engine reports only the length of the prompt: all, or all but
// those that it was recorded to keep, whichever fits the speed of the server better.
// It adjusts the trust in the server if the two times are clearly different.
func (p *Pool) ComputedTokens(pl *Placement, promptTokens int, took time.Duration) int {
	computed, reported := max(0, promptTokens-pl.Reuse.Tokens), pl.Reuse.Tokens
	ratio, ok := pl.PrefillRatio(took, computed)
	if !pl.Reuse.Used || !ok {
		return promptTokens
	}
	ratioIfLost, _ := pl.PrefillRatio(took, promptTokens)
	slowness := pl.Prefill.Speed.Factor()
	if ratio*ratioIfLost > slowness*slowness {
		computed, reported = promptTokens, 0
	}
	if ratio >= clearRatio*ratioIfLost {
		p.ObserveCachedTokens(pl, reported)
	}
	return computed
}

// ForgetCache discards what is known about the cache of s, whose process is gone.
func (p *Pool) ForgetCache(s *Server) { s.cache.forget() }
