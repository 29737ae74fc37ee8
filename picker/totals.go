package picker

import (
	"time"

	"github.com/egretflow/egretflow"
)

// totalsPerRefresh bounds the servers that one refresh looks at. Grants and
// load reports of the others are at most a few refreshes older.
const totalsPerRefresh = 64

// Totals is the capacity that this instance may use.
type Totals struct {
	// PrefillRate in tokens/s is the sum over the prefill servers that may be
	// used, each scaled by its straggler estimate.
	PrefillRate float64
	// Others estimates the prompt tokens that other instances have placed on
	// them.
	Others float64
	// Slots counts the decode slots that may be used.
	Slots int
}

// Totals returns the sums, after a look at some servers whose grant, load
// report or estimate may have changed with time.
func (p *Pool) Totals(now time.Time) Totals {
	for range min(totalsPerRefresh, len(p.listed)) {
		p.nextTotal = (p.nextTotal + 1) % len(p.listed)
		p.count(p.listed[p.nextTotal], now)
	}
	return p.totals
}

// changed updates the sums and the open servers after s changed.
func (p *Pool) changed(s *Server, now time.Time) {
	p.count(s, now)
	p.groupOf(s).enter(s)
}

// count replaces the part of s in the sums.
func (p *Pool) count(s *Server, now time.Time) {
	part := Totals{}
	limit := s.Limit(now)
	switch {
	case limit == 0:
	case s.role == egretflow.RolePrefill:
		part.PrefillRate = s.prefillRate() / s.Speed.Factor()
		part.Others = s.backlog(now) - s.outstanding
	default:
		part.Slots = limit
	}
	p.totals.PrefillRate += part.PrefillRate - s.counted.PrefillRate
	p.totals.Others += part.Others - s.counted.Others
	p.totals.Slots += part.Slots - s.counted.Slots
	s.counted = part
}
