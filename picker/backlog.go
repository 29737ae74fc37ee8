package picker

import (
	"time"

	"github.com/egretflow/egretflow"
)

const (
	// peerBacklogLifetime is how long the backlog that a peer reported counts.
	// It is two heartbeat intervals, because each message replaces the previous
	// one.
	peerBacklogLifetime = time.Second
	// minRemainingShare is the share of this instance's outstanding prompt
	// tokens that counts as not computed even after the expected end of the
	// work: prompts of other instances may have run first.
	minRemainingShare = 0.25
)

// peerBacklog is the work that one peer reported for one server, in prompt tokens
// still to compute.
type peerBacklog struct {
	from   egretflow.InstanceName
	tokens float64
	at     time.Time
}

// Remaining returns the prompt tokens of this instance that the server is
// expected to have still to compute.
func (s *Server) Remaining(now time.Time) int {
	if s.outstanding <= 0 {
		return 0
	}
	left := s.busyUntil.Sub(now).Seconds() * s.prefillRate() / s.Speed.Factor()
	return int(min(max(left, minRemainingShare*s.outstanding), s.outstanding))
}

// ApplyBacklogs replaces the work that a peer (from) has reported. The peer
// has no work on servers that backlogs does not name.
func (p *Pool) ApplyBacklogs(from egretflow.InstanceName, backlogs []egretflow.Backlog, now time.Time) {
	for _, s := range p.listed {
		if len(s.peerBacklogs) > 0 {
			s.removePeerBacklog(from, now)
		}
	}
	for _, b := range backlogs {
		if s, ok := p.Server(b.Server); ok {
			s.peerBacklogs = append(s.peerBacklogs, peerBacklog{from: from, tokens: float64(b.Tokens), at: now})
			s.updatePeerTokens()
		}
	}
	p.peerLoadAt = now
}

// removePeerBacklog removes the work of a peer (from), and entries of any peer
// older than peerBacklogLifetime.
func (s *Server) removePeerBacklog(from egretflow.InstanceName, now time.Time) {
	kept := s.peerBacklogs[:0]
	for _, b := range s.peerBacklogs {
		if b.from != from && now.Sub(b.at) < peerBacklogLifetime {
			kept = append(kept, b)
		}
	}
	s.peerBacklogs = kept
	s.updatePeerTokens()
}

// updatePeerTokens recomputes peerTokens and peerTokensAsOf. They are cached
// because a choice looks at many servers.
func (s *Server) updatePeerTokens() {
	s.peerTokens = 0
	if len(s.peerBacklogs) == 0 {
		return
	}
	first := s.peerBacklogs[0].at
	var after float64
	for _, b := range s.peerBacklogs {
		s.peerTokens += b.tokens
		after += b.tokens * b.at.Sub(first).Seconds()
	}
	s.peerTokensAsOf = first
	if s.peerTokens > 0 {
		s.peerTokensAsOf = first.Add(toDuration(after / s.peerTokens))
	}
}

// peerTokensAt returns the prompt tokens placed by peers that the server is
// expected to have still to compute.
func (s *Server) peerTokensAt(now time.Time) float64 {
	age := now.Sub(s.peerTokensAsOf)
	if s.peerTokens == 0 || age > peerBacklogLifetime {
		return 0
	}
	return max(0, s.peerTokens-age.Seconds()*s.prefillRate()/s.Speed.Factor())
}
