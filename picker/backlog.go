package picker

import (
	"time"

	"github.com/egretflow/egretflow"
)

const (
	// peerLifetime is how long the backlog that a peer named counts: two
	// heartbeats, since each message replaces the one before.
	peerLifetime = time.Second
	// minRemaining is the share of the own work that counts as not computed even
	// when it should be: prompts of other instances may have been before it.
	minRemaining = 0.25
)

// peerBacklog is the work of one peer on one server: prompt tokens to compute,
// and blocks of engine memory in use.
type peerBacklog struct {
	from   egretflow.InstanceName
	tokens float64
	blocks int
	at     time.Time
}

// Remaining returns the own prompt tokens that the server is expected to have
// still to compute.
func (s *Server) Remaining(now time.Time) int {
	if s.outstanding <= 0 {
		return 0
	}
	left := s.busyUntil.Sub(now).Seconds() * s.prefillRate() / s.Speed.Factor()
	return int(min(max(left, minRemaining*s.outstanding), s.outstanding))
}

// ApplyBacklogs replaces the work of a peer. Servers not named have none.
func (p *Pool) ApplyBacklogs(from egretflow.InstanceName, backlogs []egretflow.Backlog, now time.Time) {
	for _, s := range p.listed {
		if len(s.peers) > 0 {
			s.forget(from, now)
		}
	}
	for _, b := range backlogs {
		if s, ok := p.Server(b.Server); ok {
			s.peers = append(s.peers, peerBacklog{from: from, tokens: float64(b.Tokens), blocks: b.Blocks, at: now})
			s.sumPeers()
		}
	}
	p.heardAt = now
}

// BlocksInUse returns the blocks that own requests occupy, 0 where places are
// not counted in blocks.
func (s *Server) BlocksInUse() int {
	if !s.byBlocks {
		return 0
	}
	return s.inUse
}

// usedByPeers returns the blocks that peers have named within their lifetime.
func (s *Server) usedByPeers(now time.Time) int {
	if !s.byBlocks {
		return 0
	}
	blocks := 0
	for _, b := range s.peers {
		if now.Sub(b.at) < peerLifetime {
			blocks += b.blocks
		}
	}
	return blocks
}

// forget removes the work of one peer and what is too old.
func (s *Server) forget(from egretflow.InstanceName, now time.Time) {
	kept := s.peers[:0]
	for _, b := range s.peers {
		if b.from != from && now.Sub(b.at) < peerLifetime {
			kept = append(kept, b)
		}
	}
	s.peers = kept
	s.sumPeers()
}

// sumPeers keeps the sum over the peers and its mean time, because a choice
// looks at many servers.
func (s *Server) sumPeers() {
	s.peerTokens = 0
	if len(s.peers) == 0 {
		return
	}
	first := s.peers[0].at
	var after float64
	for _, b := range s.peers {
		s.peerTokens += b.tokens
		after += b.tokens * b.at.Sub(first).Seconds()
	}
	s.peersAt = first
	if s.peerTokens > 0 {
		s.peersAt = first.Add(toDuration(after / s.peerTokens))
	}
}

// peerTokensAt returns the prompt tokens that peers have placed and that the
// server is expected to have still to compute.
func (s *Server) peerTokensAt(now time.Time) float64 {
	age := now.Sub(s.peersAt)
	if s.peerTokens == 0 || age > peerLifetime {
		return 0
	}
	return max(0, s.peerTokens-age.Seconds()*s.prefillRate()/s.Speed.Factor())
}
