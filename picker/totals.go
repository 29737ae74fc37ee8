package picker

import (
	"time"

	"github.com/egretflow/egretflow"
)

// maxVisitedPrefill bounds the prefill servers that one call of
// VisitPrefillServers visits. In a larger pool the visited servers stand for
// all.
const maxVisitedPrefill = 64

// serversPerRefresh bounds the servers that one call of Totals updates. The
// other servers' grants and load reports are at most a few calls old.
const serversPerRefresh = 64

// Totals is the capacity that this instance may use.
type Totals struct {
	// PrefillRate is the sum of the rates of the usable prefill servers in
	// tokens/s, each divided by its straggler estimate.
	PrefillRate float64
	// DecodeSlots counts the usable decode slots, or blocks, and PrefillSlots
	// the usable prefill slots.
	DecodeSlots  int
	PrefillSlots int
}

// Totals returns the sums after updating the part of some servers, whose grant,
// load report or straggler estimate may have changed with time.
func (p *Pool) Totals(now time.Time) Totals {
	for range min(serversPerRefresh, len(p.listed)) {
		p.nextCounted = (p.nextCounted + 1) % len(p.listed)
		p.updateTotals(p.listed[p.nextCounted], now)
	}
	return p.totals
}

// serverChanged updates the sums and the open servers after a change of s.
func (p *Pool) serverChanged(s *Server, now time.Time) {
	p.updateTotals(s, now)
	p.groupOf(s).addOpen(s)
}

// updateTotals replaces the part of s in the sums.
func (p *Pool) updateTotals(s *Server, now time.Time) {
	part := Totals{}
	limit := s.Limit(now)
	switch {
	case limit == 0:
	case s.role == egretflow.RolePrefill:
		part.PrefillRate = s.prefillRate() / s.Speed.Factor()
		part.PrefillSlots = limit
	default:
		part.DecodeSlots = limit
	}
	p.totals.PrefillRate += part.PrefillRate - s.countedTotals.PrefillRate
	p.totals.DecodeSlots += part.DecodeSlots - s.countedTotals.DecodeSlots
	p.totals.PrefillSlots += part.PrefillSlots - s.countedTotals.PrefillSlots
	s.countedTotals = part
}

// VisitPrefillServers calls add for usable prefill servers, with the seconds
// until each is free and its rate in tokens/s, which stands for the unvisited
// servers too. Suspect servers count at the rate that they are expected to have.
func (p *Pool) VisitPrefillServers(now time.Time, add func(ready, rate float64)) {
	all := p.prefill.all
	count := min(len(all), maxVisitedPrefill)
	scale := float64(len(all)) / float64(max(1, count))
	p.nextPrefill += count
	for n := range count {
		s := all[(p.nextPrefill+n)%len(all)]
		if s.usableSoon(now) {
			add(s.backlog(now), scale*s.prefillRate()/s.Speed.Factor())
		}
	}
}

// usableSoon reports whether the server may be used, or may be granted in the
// next exchange: its owner has granted no slots, and that grant has not
// expired.
func (s *Server) usableSoon(now time.Time) bool {
	return s.Limit(now) > 0 || !s.expiresAt.IsZero() && !s.expired(now) && !s.blocked()
}
