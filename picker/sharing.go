package picker

import (
	"time"

	"github.com/egretflow/egretflow"
)

// Sharing says how the servers of a pool are shared with other instances.
type Sharing string

// The kinds of sharing.
const (
	// SharingNone: the instance has the servers to itself.
	SharingNone Sharing = "None"
	// SharingGrants: slots come from grants of the server's owner (5.3).
	SharingGrants Sharing = "Grants"
	// SharingPeers: peers tell what they use, and engines hold memory on request
	// (rule 10).
	SharingPeers Sharing = "Peers"
)

const (
	// learnWeight is the weight of one observation in a learned nominal value.
	learnWeight = 0.1
	// A prompt that shares its server with others shows less than the rate of the
	// server, so lower observations weigh less.
	fasterWeight = 0.3
	slowerWeight = 0.02
	// minComputing is the least time of a prefill that shows the rate, as a multiple
	// of callOverhead, which is an estimate.
	minComputing = 3
)

// learned holds the nominal values of a pool whose tables name none (rule 11).
type learned struct {
	// prefillRate is in tokens/s; gap is the time to the first output of a decode
	// server and pace the time between two events of a stream.
	prefillRate  float64
	gap          time.Duration
	pace         time.Duration
	prefillKnown bool
	gapKnown     bool
}

func (l *learned) observePrefill(tokens int, took time.Duration) {
	computing := took.Seconds() - callOverhead
	if tokens <= 0 || computing < minComputing*callOverhead {
		return
	}
	rate := float64(tokens) / computing
	if !l.prefillKnown {
		l.prefillKnown, l.prefillRate = true, rate
	}
	weight := slowerWeight
	if rate > l.prefillRate {
		weight = fasterWeight
	}
	l.prefillRate += weight * (rate - l.prefillRate)
}

func (l *learned) observeGap(took time.Duration) {
	if took <= 0 {
		return
	}
	if !l.gapKnown {
		l.gapKnown, l.gap = true, took
	}
	l.gap += time.Duration(learnWeight * float64(took-l.gap))
}

// LearnPrefill takes the time of a prefill that found its server idle.
func (p *Pool) LearnPrefill(pl *Placement, tokens int, took time.Duration) {
	if pl.Prefill.Spec.PrefillTokensPerSecond == 0 && pl.backlog == 0 {
		p.learned.observePrefill(tokens, took)
	}
}

// LearnGap takes the time from the start of decode to the first output.
func (p *Pool) LearnGap(took time.Duration) {
	if p.namesGap {
		return
	}
	p.learned.observeGap(took)
	p.gap = p.learned.gap
}

// PaceRatio compares the time between two events, or tokens where the table names
// their gap, with the nominal one, and learns from it.
func (p *Pool) PaceRatio(took time.Duration) float64 {
	if p.namesGap || p.sharing != SharingPeers {
		return took.Seconds() / p.gap.Seconds()
	}
	l := &p.learned
	if l.pace == 0 {
		l.pace = took
	}
	ratio := took.Seconds() / l.pace.Seconds()
	l.pace += time.Duration(learnWeight * float64(took-l.pace))
	return ratio
}

// countsBlocks reports whether places on a server are counted in blocks.
func (p *Pool) countsBlocks(spec *egretflow.Server) bool {
	return p.sharing == SharingPeers && spec.Role == egretflow.RoleDecode && spec.Blocks > 0
}

// capacity returns all places of the server, in slots or blocks.
func (s *Server) capacity() int {
	if s.byBlocks {
		return s.Spec.Blocks
	}
	return s.Spec.Slots
}

// Grow counts a placement with what its request has generated.
func (p *Pool) Grow(pl *Placement, w *egretflow.Work, generated int) {
	if !pl.Decode.byBlocks {
		return
	}
	blocks := blocksFor(w, generated)
	grown := blocks - pl.Slots
	pl.Slots = blocks
	pl.Decode.inUse += grown
	if pl.Decode.gone {
		return
	}
	g := p.groupOf(pl.Decode)
	g.used += grown
	g.enter(pl.Decode)
}

// blocksFor returns the blocks that w is counted with.
func blocksFor(w *egretflow.Work, generated int) int {
	return (w.MemoryTokens(generated) + egretflow.BlockTokens - 1) / egretflow.BlockTokens
}
