package picker

import (
	"slices"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/estimator"
)

const (
	// SampleSize is the number of random servers considered per role. The best
	// of 12 samples is among the best fifth of the fleet in 93% of the choices.
	SampleSize = 12
	// maxScanned bounds the servers that one search looks at.
	maxScanned = 64
	// minSlotsForPrefillHeadroom is the number of usable prefill slots from
	// which on the last free one is kept from less important requests.
	minSlotsForPrefillHeadroom = 4
	// headroomMinRank is the lowest importance rank that must leave headroom,
	// that of Normal.
	headroomMinRank = 2
	// decodeHeadroomSlots is the number of slots kept free on one decode server.
	decodeHeadroomSlots = 2
	// minSlotsForDecodeHeadroom is the number of usable decode slots from which
	// on decodeHeadroomSlots are kept free.
	minSlotsForDecodeHeadroom = 16
	// lateHeadroomShare is the share of the capacity of a decode server that
	// requests chosen with Options.LeaveHeadroom leave free.
	lateHeadroomShare = 0.1
	// suspectPenalty in seconds ranks suspect servers behind all others, and is
	// subtracted for probes, which rank first.
	suspectPenalty = 1e6
	// failedProbeCost is the time of a probe that fails, as a multiple of the
	// nominal time: three until it is hedged and one for the hedge.
	failedProbeCost = 4
	// maxProbeShare is the largest share of the time until the first-token
	// target that a failed probe may take.
	maxProbeShare = 0.5
	// occupancyWeight spreads decode work over the servers: the time per token
	// is expected to be longer by this share on a full engine than on an idle
	// one.
	occupancyWeight = 0.5
	// defaultServiceTime is the expected time of a service call until one was
	// measured.
	defaultServiceTime = 50 * time.Millisecond
)

// Options restrict the servers that Pick may choose. PickBaseline uses Decode
// alone.
type Options struct {
	// Isolate excludes servers that run another isolated request (5.6).
	Isolate bool
	// ExcludeSuspects excludes suspect servers and accepts a prefill server
	// with a backlog. Hedges set it.
	ExcludeSuspects bool
	// LeaveHeadroom leaves a part of each decode server free for requests that
	// can still meet their target.
	LeaveHeadroom bool
	// KeepFree is a decode server that must stay free for another request, or
	// nil.
	KeepFree *Server
	// Decode is set if only the prefill server is chosen again: it is the decode
	// server that the request keeps, and ExcludePrefill the prefill server to
	// replace.
	Decode         *Server
	ExcludePrefill *Server
}

// Placement is a choice of servers, with what the request has reserved on them.
type Placement struct {
	Prefill *Server
	Decode  *Server
	Slots   int
	// CachedTokens is the number of prompt tokens that the prefill server is
	// expected to reuse from its prefix cache.
	CachedTokens int
	// Reuse compares the time saved by kept tokens with the wait for them.
	Reuse Reuse
	// PrefillBy, TransferBy and FirstTokenAt are the expected times at which
	// the prefill ends, the KV transfer ends and the first token arrives.
	PrefillBy    time.Time
	TransferBy   time.Time
	FirstTokenAt time.Time
	// Suspect reports whether a suspect server was chosen. Probe reports whether the
	// request tests one.
	Suspect bool
	Probe   bool
	// Candidates is the number of server pairs that were compared, or of
	// servers for a service call.
	Candidates int

	startedAt time.Time
	// prefix and prefixEnds are those of the request, use is what they change in the
	// cache of the prefill server. The elements that it did not hold were added to
	// the prefix index at placedAt.
	prefix         []egretflow.PrefixHash
	prefixEnds     []int
	use            cacheUse
	placedAt       time.Time
	isolated       bool
	uncachedTokens float64
	// backlog is the time in seconds until the prefill was expected to start
	// when the servers were chosen.
	backlog float64
	// peerSlack is the time in seconds that one unreported prompt of another
	// instance may take on the prefill server before this one. It is 0 if
	// servers are not shared.
	peerSlack float64
	kvBytes   int64
	// What is still reserved: the prefill slot, the memory of the prompt on the
	// prefill server, the outstanding prompt tokens, the link of the decode server and
	// the link of the prefill server.
	holdsPrefill        bool
	holdsPrompt         bool
	computing           bool
	decodeLinkReserved  bool
	prefillLinkReserved bool
}

// candidate is a server with the parts of its expected time, in seconds.
type candidate struct {
	server  *Server
	seconds float64
	// delay is the time until a prefill server starts the request.
	delay float64
	reuse reuse
	// outputPenalty is the seconds by which the output ends later than on an idle
	// typical server.
	outputPenalty float64
	// linkWait is the time until the pending transfers of the link are done,
	// secondsPerByte the time per KV byte.
	linkWait       float64
	secondsPerByte float64
	probe          bool
	suspect        bool
}

// Pick chooses the servers with the earliest expected first token. It reports
// false if there are none, and also if the chosen prefill server has a backlog
// above maxBacklog: waiting in the queue is then better than running on another
// server. The same holds if a server without a free slot keeps so much of the prompt
// that the request is served sooner there. Critical requests do not wait, because no
// request can overtake them in the queue and the engine lets them overtake others.
// Neither do requests with Options.ExcludeSuspects. Normal and Low requests do not get
// the last free prefill slot (rule 8).
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
	if p.reservesLastPrefill(w) {
		return Placement{}, false
	}
	prefills := p.prefillCandidates(w, o, now)
	if len(prefills) == 0 {
		return Placement{}, false
	}
	pl := p.bestPair(w, o, prefills, decodes, now)
	if p.awaitFullHolder(&pl, w, o, now) {
		return Placement{}, false
	}
	if o.ExcludeSuspects || w.Importance.Rank() == 0 || !pl.Prefill.hasDeepBacklog(now) || isReuseWorthWait(&pl, prefills, now) {
		return pl, true
	}
	return p.suspectPair(w, o, prefills, decodes, now)
}

// suspectPair returns the best pair with a suspect prefill server, if a first token
// from it is still expected in time. While the other prefill servers have a backlog,
// a slow server that is idle is better than waiting for them, and its answer shows
// whether it is still slow (rule 3).
func (p *Pool) suspectPair(w *egretflow.Work, o Options, prefills, decodes []candidate, now time.Time) (Placement, bool) {
	prefills = slices.DeleteFunc(prefills, func(c candidate) bool { return !c.suspect || c.server.hasDeepBacklog(now) })
	if len(prefills) == 0 {
		return Placement{}, false
	}
	pl := p.bestPair(w, o, prefills, decodes, now)
	return pl, w.FirstTokenBy.IsZero() || !pl.FirstTokenAt.After(w.FirstTokenBy)
}

// reservesLastPrefill reports whether the last free prefill slot is kept from
// w, so that a more important request does not have to wait for a prefill of
// this instance to end. With fewer slots than minSlotsForPrefillHeadroom that
// would cost too much capacity.
func (p *Pool) reservesLastPrefill(w *egretflow.Work) bool {
	slots := p.totals.PrefillSlots
	return slots >= minSlotsForPrefillHeadroom && w.Importance.Rank() >= headroomMinRank && slots-p.prefill.used <= 1
}

func (p *Pool) bestPair(w *egretflow.Work, o Options, prefills, decodes []candidate, now time.Time) Placement {
	bytes := int64(w.PromptTokens) * p.kvBytesPerToken
	var bestPrefill, bestDecode *candidate
	bestScore, bestStart, bestTransfer := 0.0, 0.0, 0.0
	remaining := secondsUntilTarget(w, now)
	weighsReuse := slices.ContainsFunc(prefills, func(c candidate) bool { return c.reuse.tokens > 0 })
	for i := range prefills {
		a := &prefills[i]
		for j := range decodes {
			b := &decodes[j]
			start := max(a.seconds, a.linkWait, b.linkWait)
			transfer := float64(bytes) * max(a.secondsPerByte, b.secondsPerByte)
			score := start + transfer + b.score() + a.penalty()
			if weighsReuse {
				atRisk := max(start, a.seconds+a.reuse.risk) + transfer + b.seconds
				score += a.reuse.evicted + targetPenalty(remaining, start+transfer+b.seconds, atRisk)
			}
			if bestPrefill == nil || score < bestScore {
				bestPrefill, bestDecode = a, b
				bestScore, bestStart, bestTransfer = score, start, transfer
			}
		}
	}
	a, b := bestPrefill, bestDecode
	pl := Placement{
		Prefill: a.server, Decode: b.server, Slots: b.server.SlotsFor(w), CachedTokens: a.reuse.expectedTokens(),
		Suspect: a.suspect || b.suspect, Probe: a.probe || b.probe, Candidates: len(prefills) * len(decodes),
		startedAt: now, isolated: o.Isolate, kvBytes: bytes, Reuse: reuseOf(a, prefills, p.fullHolders),
		uncachedTokens: float64(w.PromptTokens - a.reuse.expectedTokens()), backlog: a.server.backlog(now),
	}
	if p.sharing == SharingGrants {
		pl.peerSlack = p.meanUncachedTokens / a.server.prefillRate()
	}
	pl.PrefillBy = now.Add(toDuration(a.seconds + pl.peerSlack))
	pl.TransferBy = now.Add(toDuration(bestStart + bestTransfer))
	pl.FirstTokenAt = pl.TransferBy.Add(toDuration(b.seconds))
	if w.Importance != egretflow.ImportanceCritical {
		pl.FirstTokenAt = pl.FirstTokenAt.Add(toDuration(pl.peerSlack))
	}
	return pl
}

// penalty is added to the expected time in seconds. It ranks probes before and
// other suspect servers behind all others.
func (c *candidate) penalty() float64 {
	switch {
	case c.probe:
		return -suspectPenalty
	case c.suspect:
		return suspectPenalty
	}
	return 0
}

func (c *candidate) score() float64 { return c.seconds + c.outputPenalty + c.penalty() }

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// usable reports whether w may be placed on s, apart from free slots.
func usable(s *Server, w *egretflow.Work, o Options, now time.Time) bool {
	switch {
	case now.Before(s.pausedUntil):
		return false
	case o.Isolate && s.isolatedRequests > 0:
		return false
	case o.ExcludeSuspects && s.Speed.Suspect():
		return false
	case s == o.ExcludePrefill:
		return false
	}
	return len(w.Avoid) == 0 || !slices.Contains(w.Avoid, s.Spec.Name)
}

// decodeCandidates samples decode servers, or servers of a service pool, with
// enough free slots for w.
func (p *Pool) decodeCandidates(w *egretflow.Work, o Options, now time.Time) []candidate {
	list := p.candidates[0][:0]
	if o.Decode != nil {
		list = append(list, p.decodeCandidate(o.Decode, w, now))
		p.candidates[0] = list
		return list
	}
	g := p.decode
	headroom := p.headroomServer(w, now)
	for n := 0; n < len(g.open) && n < maxScanned && len(list) < SampleSize; {
		s := p.draw(g, n)
		free := s.free(now)
		if free <= 0 {
			g.removeOpen(s)
			continue
		}
		slots := s.SlotsFor(w)
		if s == headroom && slots <= decodeHeadroomSlots {
			free -= decodeHeadroomSlots
		}
		if o.LeaveHeadroom {
			free -= int(lateHeadroomShare * float64(s.capacity()))
		}
		if s != o.KeepFree && free >= slots && usable(s, w, o, now) {
			list = append(list, p.decodeCandidate(s, w, now))
		}
		n++
	}
	if p.sharing == SharingGrants && len(list) == 0 {
		list = p.decodeBeyondGrant(list, w, o, now)
	}
	p.candidates[0] = list
	return list
}

// headroomServer returns the decode server on which decodeHeadroomSlots are
// kept from w, or nil. A long prompt of an important request needs several
// slots of one server, and waiting for them takes longer than its target
// allows. Requests that need more than decodeHeadroomSlots are not held back,
// or they might never fit.
func (p *Pool) headroomServer(w *egretflow.Work, now time.Time) *Server {
	if w.Importance.Rank() < headroomMinRank || p.totals.DecodeSlots < minSlotsForDecodeHeadroom || p.kind != egretflow.PoolKindModel {
		return nil
	}
	return p.MostFreeDecodeServer(now)
}

// MostFreeDecodeServer returns the decode server with the most free slots among
// the first maxScanned open ones, or nil if none has a free slot.
func (p *Pool) MostFreeDecodeServer(now time.Time) *Server {
	var most *Server
	for _, s := range p.decode.open[:min(len(p.decode.open), maxScanned)] {
		if free := s.free(now); free > 0 && (most == nil || free > most.free(now)) {
			most = s
		}
	}
	return most
}

// draw moves a random open server that was not drawn yet to position n and
// returns it.
func (p *Pool) draw(g *group, n int) *Server {
	g.swap(n, n+p.rand.IntN(len(g.open)-n))
	return g.open[n]
}

func (p *Pool) decodeCandidate(s *Server, w *egretflow.Work, now time.Time) candidate {
	c := p.newCandidate(s)
	step := p.tokenGap.Seconds()
	if p.kind == egretflow.PoolKindService {
		if step = p.meanServiceTime; step == 0 {
			step = defaultServiceTime.Seconds()
		}
	} else if s.load.Waiting > 0 && s.loadAge(now) < loadLifetime {
		step += float64(s.load.Waiting) * p.tokenGap.Seconds()
	}
	c.suspect = s.Speed.Suspect()
	c.probe = c.suspect && mayProbe(s, w, step, now)
	c.seconds = step * s.Speed.Slowness() * (1 + occupancyWeight*s.occupancy()) * c.factor()
	c.outputPenalty = p.outputPenalty(s, w)
	return c
}

// mayProbe reports whether w may test the suspect server s, where nominal is
// the time in seconds that w takes at nominal speed. A hedge rescues the
// request if the probe fails, so there must be time for one. If no request
// short enough has come for several probe intervals, any request is taken that
// meets its target on a server at SuspectRatio.
func mayProbe(s *Server, w *egretflow.Work, nominal float64, now time.Time) bool {
	if w.Hedge || w.Retry || !s.Speed.ProbeDue(now) {
		return false
	}
	if !w.Idempotent && !s.Speed.AcceptsAnyProbe(now) {
		return false
	}
	if w.FirstTokenBy.IsZero() {
		return true
	}
	remaining := w.FirstTokenBy.Sub(now).Seconds()
	if s.Speed.ProbeOverdue(now) {
		return nominal*estimator.SuspectRatio < remaining
	}
	return nominal*failedProbeCost < maxProbeShare*remaining
}

// factor returns the ratio of expected to nominal time on c. For a probe it is
// the ratio at which the server recovers, so that a failing probe is hedged
// early.
func (c *candidate) factor() float64 {
	if c.probe {
		return c.server.Speed.RecoverFactor()
	}
	return c.server.Speed.Factor()
}

func (p *Pool) newCandidate(s *Server) candidate {
	c := candidate{server: s}
	if s.Spec.LinkBytesPerSecond > 0 {
		c.secondsPerByte = s.Link.Factor() / float64(s.Spec.LinkBytesPerSecond)
		c.linkWait = float64(s.pendingKVBytes) * c.secondsPerByte
	}
	return c
}

// prefillCandidates lists the servers with the longest known prefix, a sample
// of the others with free slots, and with SharingGrants servers on which w may
// exceed the grant. It sets fullHolders.
func (p *Pool) prefillCandidates(w *egretflow.Work, o Options, now time.Time) []candidate {
	list := p.candidates[1][:0]
	var buffer [maxMatches]match
	matches := p.prefixes.find(w.Prefix, buffer[:0])
	p.fullHolders = p.fullHolders[:0]
	for _, m := range matches {
		if m.server.role != p.prefill.role || !usable(m.server, w, o, now) {
			continue
		}
		if m.server.InUse() < m.server.LimitFor(w, now) {
			list = append(list, p.prefillCandidate(m.server, w, &m, now))
		} else if m.server.Limit(now) > 0 {
			p.fullHolders = append(p.fullHolders, p.prefillCandidate(m.server, w, &m, now))
		}
	}
	g := p.prefill
	limit := len(list) + SampleSize
	for n := 0; n < len(g.open) && n < maxScanned && len(list) < limit; {
		s := p.draw(g, n)
		if s.free(now) <= 0 {
			g.removeOpen(s)
			continue
		}
		if !containsServer(matches, s) && usable(s, w, o, now) {
			list = append(list, p.prefillCandidate(s, w, &match{}, now))
		}
		n++
	}
	if p.sharing == SharingGrants {
		list = p.addPrefillBeyondGrant(list, matches, w, o, now)
	}
	if len(matches) > 0 {
		addMemoryWaits(list, w, now)
		addMemoryWaits(p.fullHolders, w, now)
	}
	p.candidates[1] = list
	return list
}

// prefillCandidate returns s as a prefill server of w. m names s if it is recorded to
// keep the beginning of the prompt.
func (p *Pool) prefillCandidate(s *Server, w *egretflow.Work, m *match, now time.Time) candidate {
	c := p.newCandidate(s)
	if m.server == s {
		c.reuse = knownReuse(w, m, now)
	}
	nominal := float64(w.PromptTokens-c.reuse.expectedTokens()) / s.prefillRate()
	c.suspect = s.Speed.Suspect()
	c.probe = c.suspect && mayProbe(s, w, nominal, now)
	p.weighReuse(&c.reuse, w, s, c.factor()/s.prefillRate(), now)
	c.delay = p.prefillDelay(s, w, now)
	c.seconds = c.delay + nominal*c.factor()
	return c
}

// prefillDelay returns the seconds until s starts the prefill of w. If servers
// are shared, a critical request waits for at most one prompt, because the
// engine runs it before the others.
func (p *Pool) prefillDelay(s *Server, w *egretflow.Work, now time.Time) float64 {
	backlog := s.backlog(now)
	if p.sharing != SharingNone && w.Importance == egretflow.ImportanceCritical {
		return min(backlog, p.meanUncachedTokens/s.prefillRate()*s.Speed.Factor())
	}
	return backlog
}

func toDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
