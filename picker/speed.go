package picker

import (
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/estimator"
)

const (
	// refreshInterval is the least time between two updates of the typical speeds.
	refreshInterval = 100 * time.Millisecond
	// idleLifetime is how long prefills that find a backlog are not measured after
	// one that found none.
	idleLifetime = 2 * time.Second
	// maxMeasuredReuse is the share of a prompt that may be expected in the prefix
	// cache if the speed of its server is measured with it.
	maxMeasuredReuse = 0.1
)

// measurePrefill returns the time in seconds in which the server computed a prompt.
// ok is false if the time says little. A prefill that found a backlog counts from the
// end of the one before, and only if none without a backlog was seen for idleLifetime:
// a call has a fixed part, which overlaps with other prompts.
func (s *Server) measurePrefill(waited bool, startedAt, endedAt time.Time) (seconds float64, ok bool) {
	begin := startedAt.Add(toDuration(callOverheadSeconds))
	if waited {
		begin = later(begin, s.computedAt)
	} else {
		s.idleAt = later(s.idleAt, endedAt)
	}
	s.computedAt = later(s.computedAt, endedAt)
	return max(0, endedAt.Sub(begin).Seconds()), !waited || endedAt.Sub(s.idleAt) > idleLifetime
}

// refreshSpeedsIfDue calls refreshSpeeds at most once per refreshInterval.
func (p *Pool) refreshSpeedsIfDue(now time.Time) {
	if now.Sub(p.speedsAt) >= refreshInterval {
		p.refreshSpeeds(now)
	}
}

// refreshSpeeds updates the speeds of the servers relative to the typical one of
// their role.
func (p *Pool) refreshSpeeds(now time.Time) {
	p.speedsAt = now
	p.learned.typicalPrefill, p.learned.typicalEventGap = 0, 0
	if seconds, uneven := p.prefill.refreshSpeeds(now); uneven {
		p.learned.typicalPrefill = 1 / seconds
	}
	if seconds, uneven := p.decode.refreshSpeeds(now); uneven {
		p.learned.typicalEventGap = seconds
	}
}

// refreshSpeeds returns the time in seconds per unit of work of the typical server,
// and whether the servers differ.
func (g *group) refreshSpeeds(now time.Time) (seconds float64, uneven bool) {
	g.speeds = g.speeds[:0]
	for _, s := range g.all {
		g.speeds = append(g.speeds, s.Speed)
	}
	g.speed.Refresh(g.speeds, now)
	return g.speed.Typical()
}

// nominalPrefillRate returns the prefill rate of the typical server of the pool, of
// which s is one.
func (p *Pool) nominalPrefillRate(s *Server) float64 { return s.prefillRate() * s.Speed.Slowness() }

// outputPenalty returns the seconds by which the output of w is expected to end
// later on the decode server s than on an idle typical one, so that faster servers get
// requests until their memory is full. It is 0 while the servers are alike.
func (p *Pool) outputPenalty(s *Server, w *egretflow.Work) float64 {
	if p.learned.typicalEventGap == 0 || p.eventTokens == 0 {
		return 0
	}
	output := float64(w.Output()) / float64(p.eventTokens) * p.learned.typicalEventGap
	return output * (s.Speed.Slowness()*(1+occupancyWeight*s.occupancy()) - 1)
}

// LastingSpeed returns the lasting speed of the server.
func (s *Server) LastingSpeed(now time.Time) estimator.Speed { return s.Speed.LastingSpeed(now) }

// occupancy returns the share of the capacity that is in use.
func (s *Server) occupancy() float64 { return float64(s.inUse) / float64(s.capacity()) }
