package picker

import (
	"slices"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/estimator"
)

const (
	// SampleSize is the number of random servers considered per role. With 12
	// samples the best of them is among the best fifth of the fleet in 93% of
	// the choices.
	SampleSize = 12
	// fallbackSize bounds the search for a server with several free slots.
	fallbackSize = 64
	// minSlotsToKeep is the number of prefill slots from which on one is kept
	// from requests of rank firstRankToWait and less important ones.
	minSlotsToKeep  = 4
	firstRankToWait = 2
	// cushionSlots are kept on one decode server when an instance has at least
	// minSlotsForCushion.
	cushionSlots       = 2
	minSlotsForCushion = 16
	// lateReserve is the share of a decode server that late requests leave free.
	lateReserve = 0.1
	// suspectPenalty in seconds ranks suspect servers behind all others.
	suspectPenalty = 1e6
	// probeCost is the time of a probe that fails, in nominal times: three until
	// it is hedged and one for the hedge. It may take probeShare of the time
	// left.
	probeCost  = 4
	probeShare = 0.5
	// occupancyWeight spreads decode work: a full engine takes this much longer
	// per token than an idle one.
	occupancyWeight = 0.5
	// defaultService is the time of a service call before any was measured.
	defaultService = 50 * time.Millisecond
)

// Options restrict a choice.
type Options struct {
	// Isolate keeps the request off servers with another isolated one (5.6).
	Isolate bool
	// Healthy excludes suspect servers and accepts a backlog, for hedges.
	Healthy bool
	// Late keeps a part of each decode server free for requests that can still
	// meet their target.
	Late bool
	// Keep is a decode server that is kept for another request.
	Keep *Server
	// Decode is set when only the prefill server is chosen again, instead of
	// Exclude.
	Decode  *Server
	Exclude *Server
}

// Placement is a choice of servers and what is reserved on them.
type Placement struct {
	Prefill *Server
	Decode  *Server
	Slots   int
	// CachedTokens is the expected prefix reuse.
	CachedTokens int
	// PrefillBy, TransferBy and FirstTokenAt are expected times.
	PrefillBy    time.Time
	TransferBy   time.Time
	FirstTokenAt time.Time
	// Suspect says that a suspect server was chosen, Probe that it is tested.
	Suspect bool
	Probe   bool
	// Candidates is the number of pairs that were compared.
	Candidates int

	startedAt time.Time
	// prefix was placed in the index of prefixes at placedAt.
	prefix   []egretflow.PrefixHash
	placedAt time.Time
	isolated bool
	matched  int
	tokens   float64
	// backlog is the time in seconds until the prefill was expected to start.
	backlog float64
	// slack is the time in seconds that a prompt of another instance may take
	// before this one without being known.
	slack float64
	bytes int64
	// What is still reserved: the prefill slot, the prompt tokens, the decode
	// link and the prefill link.
	heldPrefill  bool
	computing    bool
	transferring bool
	sending      bool
}

// candidate is a server with the terms of its expected time, in seconds.
type candidate struct {
	server  *Server
	seconds float64
	cached  int
	matched int
	// drain is the time until pending transfers on the link are done, perByte
	// the time per KV byte.
	drain   float64
	perByte float64
	probe   bool
	suspect bool
}

// Pick chooses the servers with the earliest expected first token. It finds
// none when the best prefill server still has work to do: the request then does
// better to wait for it than to run elsewhere. The most important class does
// not wait, because nothing can pass it and the engine lets it pass others.
func (p *Pool) Pick(w *egretflow.Work, o Options, now time.Time) (Placement, bool) {
	decodes := p.decodeCandidates(w, o, now)
	if len(decodes) == 0 {
		return Placement{}, false
	}
	if p.kind == egretflow.PoolKindService {
		best := slices.MinFunc(decodes, func(a, b candidate) int { return compare(a.score(), b.score()) })
		pl := Placement{Decode: best.server, Slots: 1, Candidates: len(decodes), Suspect: best.suspect, Probe: best.probe, startedAt: now, isolated: o.Isolate}
		pl.FirstTokenAt = now.Add(toDuration(best.seconds))
		pl.PrefillBy, pl.TransferBy = now, now
		return pl, true
	}
	if p.keptFree(w) {
		return Placement{}, false
	}
	prefills := p.prefillCandidates(w, o, now)
	if len(prefills) == 0 {
		return Placement{}, false
	}
	pl := p.bestPair(w, o, prefills, decodes, now)
	return pl, o.Healthy || w.Importance.Rank() == 0 || !pl.Prefill.deep(now)
}

// keptFree reports whether the last free prefill slot is kept from w, so that a
// more important request does not have to wait for an own prefill to end. With
// few slots that would cost too much capacity.
func (p *Pool) keptFree(w *egretflow.Work) bool {
	slots := p.totals.PrefillSlots
	return slots >= minSlotsToKeep && w.Importance.Rank() >= firstRankToWait && slots-p.prefill.used <= 1
}

func (p *Pool) bestPair(w *egretflow.Work, o Options, prefills, decodes []candidate, now time.Time) Placement {
	bytes := int64(w.PromptTokens) * p.kvBytes
	var bestPrefill, bestDecode *candidate
	bestScore, bestStart, bestTransfer := 0.0, 0.0, 0.0
	for i := range prefills {
		a := &prefills[i]
		for j := range decodes {
			b := &decodes[j]
			start := max(a.seconds, a.drain, b.drain)
			transfer := float64(bytes) * max(a.perByte, b.perByte)
			score := start + transfer + b.seconds + a.rank() + b.rank()
			if bestPrefill == nil || score < bestScore {
				bestPrefill, bestDecode = a, b
				bestScore, bestStart, bestTransfer = score, start, transfer
			}
		}
	}
	a, b := bestPrefill, bestDecode
	pl := Placement{
		Prefill: a.server, Decode: b.server, Slots: b.server.SlotsFor(w), CachedTokens: a.cached,
		Suspect: a.suspect || b.suspect, Probe: a.probe || b.probe, Candidates: len(prefills) * len(decodes),
		startedAt: now, isolated: o.Isolate, matched: a.matched, bytes: bytes,
		tokens: float64(w.PromptTokens - a.cached), backlog: a.server.backlog(now),
	}
	if p.sharing != SharingNone {
		pl.slack = p.perPrefill / a.server.prefillRate()
	}
	pl.PrefillBy = now.Add(toDuration(a.seconds + pl.slack))
	pl.TransferBy = now.Add(toDuration(bestStart + bestTransfer))
	pl.FirstTokenAt = pl.TransferBy.Add(toDuration(b.seconds))
	if w.Importance != egretflow.ImportanceCritical {
		pl.FirstTokenAt = pl.FirstTokenAt.Add(toDuration(pl.slack))
	}
	return pl
}

// rank puts probes before and suspects behind all others.
func (c *candidate) rank() float64 {
	switch {
	case c.probe:
		return -suspectPenalty
	case c.suspect:
		return suspectPenalty
	}
	return 0
}

func (c *candidate) score() float64 { return c.seconds + c.rank() }

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// usable reports whether w may be placed on s at all.
func usable(s *Server, w *egretflow.Work, o Options, now time.Time) bool {
	switch {
	case now.Before(s.pausedUntil):
		return false
	case o.Isolate && s.isolated > 0:
		return false
	case o.Healthy && s.Speed.Suspect():
		return false
	case s == o.Exclude:
		return false
	}
	return len(w.Avoid) == 0 || !slices.Contains(w.Avoid, s.Spec.Name)
}

// decodeCandidates samples servers of the last stage with enough free slots.
func (p *Pool) decodeCandidates(w *egretflow.Work, o Options, now time.Time) []candidate {
	list := p.candidates[0][:0]
	if o.Decode != nil {
		list = append(list, p.decodeCandidate(o.Decode, w, now))
		p.candidates[0] = list
		return list
	}
	g := p.decode
	kept := p.cushion(w, now)
	for n := 0; n < len(g.open) && n < fallbackSize && len(list) < SampleSize; {
		s := p.draw(g, n)
		free := s.free(now)
		if free <= 0 {
			g.leave(s)
			continue
		}
		slots := s.SlotsFor(w)
		if s == kept && slots <= cushionSlots {
			free -= cushionSlots
		}
		if o.Late {
			free -= int(lateReserve * float64(s.capacity()))
		}
		if s != o.Keep && free >= slots && usable(s, w, o, now) {
			list = append(list, p.decodeCandidate(s, w, now))
		}
		n++
	}
	if p.sharing == SharingGrants && len(list) == 0 {
		list = p.decodeReserve(list, w, o, now)
	}
	p.candidates[0] = list
	return list
}

// cushion returns the decode server on which cushionSlots are kept from w, or
// nil. A long prompt of an important request needs several slots of one server,
// and waiting for them there takes longer than its target allows. Requests that
// need more than the cushion are not held back by it, or they might never fit.
func (p *Pool) cushion(w *egretflow.Work, now time.Time) *Server {
	if w.Importance.Rank() < firstRankToWait || p.totals.Slots < minSlotsForCushion || p.kind != egretflow.PoolKindModel {
		return nil
	}
	return p.Widest(now)
}

// Widest returns the decode server with the most free slots, among at most
// fallbackSize; nil when none is free.
func (p *Pool) Widest(now time.Time) *Server {
	var widest *Server
	for _, s := range p.decode.open[:min(len(p.decode.open), fallbackSize)] {
		if free := s.free(now); free > 0 && (widest == nil || free > widest.free(now)) {
			widest = s
		}
	}
	return widest
}

// draw moves a random server that was not drawn yet to position n.
func (p *Pool) draw(g *group, n int) *Server {
	g.swap(n, n+p.rand.IntN(len(g.open)-n))
	return g.open[n]
}

func (p *Pool) decodeCandidate(s *Server, w *egretflow.Work, now time.Time) candidate {
	c := p.linkTerms(s)
	occupancy := float64(s.inUse+s.usedByPeers(now)) / float64(s.capacity())
	step := p.gap.Seconds()
	if p.kind == egretflow.PoolKindService {
		if step = p.perService; step == 0 {
			step = defaultService.Seconds()
		}
	} else if s.load.Waiting > 0 && s.loadAge(now) < loadLifetime {
		step += float64(s.load.Waiting) * p.gap.Seconds()
	}
	c.suspect = s.Speed.Suspect()
	c.probe = c.suspect && mayProbe(s, w, step, now)
	c.seconds = step * (1 + occupancyWeight*occupancy) * c.factor()
	return c
}

// mayProbe reports whether w may test the suspect server s. A hedge saves a
// probe that fails, so it must leave time for one. When no request that is
// short enough comes for long, one is taken that meets its target at the limit
// of suspicion.
func mayProbe(s *Server, w *egretflow.Work, nominal float64, now time.Time) bool {
	if !w.Idempotent || w.Hedge || w.Retry || !s.Speed.ProbeDue(now) {
		return false
	}
	if w.FirstTokenBy.IsZero() {
		return true
	}
	left := w.FirstTokenBy.Sub(now).Seconds()
	if s.Speed.ProbeOverdue(now) {
		return nominal*estimator.SuspectRatio < left
	}
	return nominal*probeCost < probeShare*left
}

// factor scales the nominal time on c. For a probe it is the one at which the
// server recovers, so that a probe that fails is hedged early.
func (c *candidate) factor() float64 {
	if c.probe {
		return c.server.Speed.RecoverFactor()
	}
	return c.server.Speed.Factor()
}

func (p *Pool) linkTerms(s *Server) candidate {
	c := candidate{server: s}
	if s.Spec.LinkBytesPerSecond > 0 {
		c.perByte = s.Link.Factor() / float64(s.Spec.LinkBytesPerSecond)
		c.drain = float64(s.transfers) * c.perByte
	}
	return c
}

// prefillCandidates lists the servers with the longest known prefix and a
// sample of the others.
func (p *Pool) prefillCandidates(w *egretflow.Work, o Options, now time.Time) []candidate {
	list := p.candidates[1][:0]
	var buffer [maxMatches]match
	matches := p.prefixes.find(w.Prefix, buffer[:0])
	for _, m := range matches {
		if m.server.role == p.prefill.role && m.server.InUse() < m.server.Ceiling(w, now) && usable(m.server, w, o, now) {
			list = append(list, p.prefillCandidate(m.server, w, m.chunks, now))
		}
	}
	g := p.prefill
	limit := len(list) + SampleSize
	for n := 0; n < len(g.open) && n < fallbackSize && len(list) < limit; {
		s := p.draw(g, n)
		if s.free(now) <= 0 {
			g.leave(s)
			continue
		}
		if !contains(matches, s) && usable(s, w, o, now) {
			list = append(list, p.prefillCandidate(s, w, 0, now))
		}
		n++
	}
	if p.sharing == SharingGrants {
		list = p.addReserve(list, matches, w, o, now)
	}
	p.candidates[1] = list
	return list
}

func (p *Pool) prefillCandidate(s *Server, w *egretflow.Work, chunks int, now time.Time) candidate {
	c := p.linkTerms(s)
	c.matched = min(chunks*chunkTokens, max(0, w.PromptTokens-1))
	c.cached = int(float64(c.matched) * s.cache.trust)
	nominal := float64(w.PromptTokens-c.cached) / s.prefillRate()
	c.suspect = s.Speed.Suspect()
	c.probe = c.suspect && mayProbe(s, w, nominal, now)
	c.seconds = p.wait(s, w, now) + nominal*c.factor()
	return c
}

// wait returns the seconds until s begins with w. With peers a critical request
// waits for one prompt at most, because the engine takes it before the others.
func (p *Pool) wait(s *Server, w *egretflow.Work, now time.Time) float64 {
	backlog := s.backlog(now)
	if p.sharing != SharingNone && w.Importance == egretflow.ImportanceCritical {
		return min(backlog, p.perPrefill/s.prefillRate()*s.Speed.Factor())
	}
	return backlog
}

func toDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
