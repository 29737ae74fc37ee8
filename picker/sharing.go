package picker

import (
	"time"

	"github.com/egretflow/egretflow"
)

// Sharing says how the servers of a pool are shared with other instances.
type Sharing string

// The ways of sharing.
const (
	// SharingNone means that this instance uses the servers alone.
	SharingNone Sharing = "None"
	// SharingGrants means that slots come from grants of the instance that owns
	// the server (5.3).
	SharingGrants Sharing = "Grants"
	// SharingCoordinated means that one instance at a time schedules the requests
	// of all for the servers of a model pool, and that engines hold memory for a
	// request when asked (rule 10).
	SharingCoordinated Sharing = "Coordinated"
)

const (
	// learnWeight is the weight of one observation in a learned nominal value.
	learnWeight = 0.1
	// A prompt that shares its server with others is computed at less than the
	// rate of the server, so an observation below the learned rate has a lower
	// weight.
	fasterRateWeight = 0.3
	slowerRateWeight = 0.02
	// minPrefillTimeFactor is the shortest prefill from which the rate is
	// learned, as a multiple of callOverheadSeconds, which is an estimate.
	minPrefillTimeFactor = 3
)

// learnedRates holds the nominal values that are learned for a pool whose
// tables give none (rule 11).
type learnedRates struct {
	// prefillRate is in tokens/s. tokenGap is the time from the start of decode
	// to the first output, eventGap the time between two events of a stream; 0
	// before the first one.
	prefillRate      float64
	tokenGap         time.Duration
	eventGap         time.Duration
	prefillRateKnown bool
	tokenGapKnown    bool
	// typicalPrefill is the rate of the typical prefill server, and typicalEventGap
	// the event gap of the typical decode server; 0 while the servers are alike.
	typicalPrefill  float64
	typicalEventGap float64
}

// nominalPrefillRate returns the tokens/s of a server that is not known to differ
// from the others.
func (l *learnedRates) nominalPrefillRate() float64 {
	if l.typicalPrefill > 0 {
		return l.typicalPrefill
	}
	return l.prefillRate
}

// nominalEventGap returns the seconds between two events of a stream on a server
// that is not known to differ from the others; 0 if unknown.
func (l *learnedRates) nominalEventGap() float64 {
	if l.typicalEventGap > 0 {
		return l.typicalEventGap
	}
	return l.eventGap.Seconds()
}

func (l *learnedRates) observePrefill(tokens int, took time.Duration) {
	computing := took.Seconds() - callOverheadSeconds
	if tokens <= 0 || computing < minPrefillTimeFactor*callOverheadSeconds {
		return
	}
	rate := float64(tokens) / computing
	if !l.prefillRateKnown {
		l.prefillRateKnown, l.prefillRate = true, rate
	}
	weight := slowerRateWeight
	if rate > l.prefillRate {
		weight = fasterRateWeight
	}
	l.prefillRate += weight * (rate - l.prefillRate)
}

func (l *learnedRates) observeTokenGap(took time.Duration) {
	if took <= 0 {
		return
	}
	if !l.tokenGapKnown {
		l.tokenGapKnown, l.tokenGap = true, took
	}
	l.tokenGap += time.Duration(learnWeight * float64(took-l.tokenGap))
}

// LearnPrefill updates the learned rates of the pool and of the server with a
// prefill of tokens. It ignores servers whose rate the table gives. The rate of the
// pool is learned only from prefills that found no backlog.
func (p *Pool) LearnPrefill(pl *Placement, tokens int, startedAt, endedAt, now time.Time) {
	s := pl.Prefill
	if s.Spec.PrefillTokensPerSecond > 0 {
		return
	}
	if pl.backlog == 0 {
		p.learned.observePrefill(tokens, toDuration(endedAt.Sub(startedAt).Seconds()/s.Speed.Slowness()))
	}
	reused := pl.Reuse.Used && float64(pl.Reuse.Tokens) >= maxMeasuredReuse*float64(tokens)
	if seconds, ok := s.measurePrefill(pl.backlog > 0, startedAt, endedAt); ok && !reused {
		s.Speed.ObserveWork(float64(tokens), seconds, now)
		p.refreshSpeedsIfDue(now)
	}
}

// LearnGap updates the learned token gap with the time from the start of decode on
// s to the first output. It does nothing if the table gives the gap.
func (p *Pool) LearnGap(s *Server, took time.Duration) {
	if p.gapFromTable {
		return
	}
	p.learned.observeTokenGap(toDuration(took.Seconds() / s.Speed.Slowness()))
	p.tokenGap = p.learned.tokenGap
}

// GapRatio returns the ratio of the time between the given number of tokens of s to
// the nominal one. With SharingCoordinated and a table without a token gap, took is
// the time between events of a stream, and it is compared with the lasting speed of
// the server, which it updates.
func (p *Pool) GapRatio(s *Server, tokens int, took time.Duration, now time.Time) float64 {
	gap := took.Seconds() / float64(tokens)
	if p.gapFromTable || p.sharing != SharingCoordinated {
		return gap / p.tokenGap.Seconds()
	}
	l := &p.learned
	if l.eventGap == 0 {
		l.eventGap = toDuration(gap)
	}
	ratio := gap / (l.nominalEventGap() * s.Speed.Slowness())
	l.eventGap += toDuration(learnWeight * (gap/s.Speed.Slowness() - l.eventGap.Seconds()))
	if s.role == egretflow.RoleDecode {
		s.Speed.ObserveWork(float64(tokens), took.Seconds(), now)
		p.refreshSpeedsIfDue(now)
	}
	return ratio
}

// countsBlocks reports whether the capacity of a server is counted in blocks.
func (p *Pool) countsBlocks(spec *egretflow.Server) bool {
	return p.sharing == SharingCoordinated && spec.Role == egretflow.RoleDecode && spec.Blocks > 0
}

// capacity returns the capacity of the server, in slots or blocks.
func (s *Server) capacity() int {
	if s.byBlocks {
		return s.Spec.Blocks
	}
	return s.Spec.Slots
}

// UpdateGenerated updates the blocks of a placement after its request has
// generated the given number of tokens. It does nothing if the decode capacity
// is counted in slots.
func (p *Pool) UpdateGenerated(pl *Placement, w *egretflow.Work, generated int) {
	if !pl.Decode.byBlocks {
		return
	}
	blocks := blocksFor(w, generated)
	grown := blocks - pl.Slots
	pl.Slots = blocks
	pl.Decode.inUse += grown
	if pl.Decode.delisted {
		return
	}
	g := p.groupOf(pl.Decode)
	g.used += grown
	g.addOpen(pl.Decode)
}

// blocksFor returns the number of blocks that w is counted with after it has
// generated the given number of tokens.
func blocksFor(w *egretflow.Work, generated int) int {
	return (w.MemoryTokens(generated) + egretflow.BlockTokens - 1) / egretflow.BlockTokens
}
