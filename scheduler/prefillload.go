package scheduler

import (
	"maps"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/picker"
)

const (
	// peerLoadLifetime is how long the queues that a peer reported are used: two
	// heartbeats, since each message replaces the one before.
	peerLoadLifetime = time.Second
	// sameClassShare is the share of the prompt tokens queued at peers in the
	// importance class of a request that is expected to be served before it.
	sameClassShare = 0.5
)

// peerQueue is the prefill work in prompt tokens that waits at one peer, by rank of
// importance.
type peerQueue struct {
	tokens     [4]int
	receivedAt time.Time
}

// prefillLoad returns the load that this instance reports to its peers: its prefill
// work on servers and in queues (5.2).
func (t *task) prefillLoad(now time.Time) egretflow.PrefillLoad {
	var l egretflow.PrefillLoad
	for _, p := range t.orderedPools {
		p.picker.Servers(func(s *picker.Server) {
			if tokens := s.Remaining(now); tokens > 0 {
				l.Backlogs = append(l.Backlogs, egretflow.Backlog{Server: s.Spec.Name, Tokens: tokens})
			}
		})
		if tokens := p.queue.WaitingTokens(); tokens != [4]int{} {
			l.Queues = append(l.Queues, egretflow.Queue{Pool: p.picker.Name(), Tokens: tokens})
		}
	}
	return l
}

// applyPrefillLoad replaces the work that a peer (from) has reported.
func (t *task) applyPrefillLoad(from egretflow.InstanceName, l *egretflow.PrefillLoad) {
	for _, p := range t.orderedPools {
		p.picker.ApplyBacklogs(from, l.Backlogs, t.now)
		delete(p.peerQueues, from)
	}
	for _, q := range l.Queues {
		if p := t.pools[q.Pool]; p != nil {
			p.peerQueues[from] = peerQueue{q.Tokens, t.now}
		}
	}
}

// waitingAtPeers returns, by rank of importance, the prompt tokens that wait at
// peers and are expected to be served before a request of that class. It drops the
// queues that are older than peerLoadLifetime.
func (p *pool) waitingAtPeers(now time.Time) (ahead [4]float64) {
	maps.DeleteFunc(p.peerQueues, func(_ egretflow.InstanceName, q peerQueue) bool { return now.Sub(q.receivedAt) > peerLoadLifetime })
	for _, q := range p.peerQueues {
		before := 0
		for rank, tokens := range q.tokens {
			ahead[rank] += float64(before) + sameClassShare*float64(tokens)
			before += tokens
		}
	}
	return ahead
}
