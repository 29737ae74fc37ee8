package picker

import (
	"time"

	"github.com/egretflow/egretflow"
)

// maxLanes bounds the prefill servers that an estimate of the wait looks at. In
// a larger pool a part stands for the whole.
const maxLanes = 64

// totalsPerRefresh bounds the servers that one refresh looks at. Grants and
// load reports of the others are at most a few refreshes older.
const totalsPerRefresh = 64

// Totals is the capacity that this instance may use.
type Totals struct {
	// PrefillRate in tokens/s is the sum over the prefill servers that may be
	// used, each scaled by its straggler estimate.
	PrefillRate float64
	// Slots counts the decode slots that may be used, PrefillSlots those of
	// prefill servers.
	Slots        int
	PrefillSlots int
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
		part.PrefillSlots = limit
	default:
		part.Slots = limit
	}
	p.totals.PrefillRate += part.PrefillRate - s.counted.PrefillRate
	p.totals.Slots += part.Slots - s.counted.Slots
	p.totals.PrefillSlots += part.PrefillSlots - s.counted.PrefillSlots
	s.counted = part
}

// Lanes calls add for the prefill servers that may be used, with the seconds
// until each is free and its rate in tokens/s. Suspect servers count only when
// there are no others.
func (p *Pool) Lanes(now time.Time, add func(ready, rate float64)) {
	if p.addLanes(now, false, add) == 0 {
		p.addLanes(now, true, add)
	}
}

func (p *Pool) addLanes(now time.Time, suspect bool, add func(ready, rate float64)) int {
	all := p.prefill.all
	count := min(len(all), maxLanes)
	scale := float64(len(all)) / float64(max(1, count))
	added := 0
	p.nextLane += count
	for n := range count {
		s := all[(p.nextLane+n)%len(all)]
		if s.Limit(now) > 0 && s.Speed.Suspect() == suspect {
			add(s.backlog(now), scale*s.prefillRate()/s.Speed.Factor())
			added++
		}
	}
	return added
}
