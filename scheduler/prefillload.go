package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/picker"
)

const (
	// queueLifetime is how long the queue that a peer named counts: two
	// heartbeats, since each message replaces the one before.
	queueLifetime = time.Second
	// sameClassShare is the part of the queues of peers in the class of a request
	// that is expected to be served before it.
	sameClassShare = 0.5
)

// peerQueue is the prefill work that waits at one peer, by rank of importance.
type peerQueue struct {
	tokens [4]int
	at     time.Time
}

// prefillLoad returns the own prefill work, on servers and in queues (5.2).
func (t *task) prefillLoad(now time.Time) egretflow.PrefillLoad {
	var l egretflow.PrefillLoad
	for _, p := range t.order {
		p.picker.Servers(func(s *picker.Server) {
			b := egretflow.Backlog{Server: s.Spec.Name, Tokens: s.Remaining(now), Blocks: s.BlocksInUse()}
			if b.Tokens > 0 || b.Blocks > 0 {
				l.Backlogs = append(l.Backlogs, b)
			}
		})
		if tokens := p.queue.Tokens(); tokens != [4]int{} {
			l.Queues = append(l.Queues, egretflow.Queue{Pool: p.picker.Name(), Tokens: tokens})
		}
	}
	for name, until := range t.changing {
		if now.Before(until) {
			l.Changing = append(l.Changing, name)
		}
	}
	slices.Sort(l.Changing)
	l.Lost = t.ownLosses(now)
	return l
}

func (t *task) applyPrefillLoad(from egretflow.InstanceName, l *egretflow.PrefillLoad) {
	for _, p := range t.order {
		p.picker.ApplyBacklogs(from, l.Backlogs, t.now)
		delete(p.peerQueues, from)
	}
	for _, q := range l.Queues {
		if p := t.pools[q.Pool]; p != nil {
			p.peerQueues[from] = peerQueue{q.Tokens, t.now}
		}
	}
	for _, name := range l.Changing {
		t.withhold(name, t.now.Add(queueLifetime))
	}
	t.hearLosses(l.Lost)
}

// waitingAtPeers returns the prompt tokens that wait at peers and are served
// before a request of each class.
func (p *pool) waitingAtPeers(now time.Time) (ahead [4]float64) {
	maps.DeleteFunc(p.peerQueues, func(_ egretflow.InstanceName, q peerQueue) bool { return now.Sub(q.at) > queueLifetime })
	for _, q := range p.peerQueues {
		before := 0
		for rank, tokens := range q.tokens {
			ahead[rank] += float64(before) + sameClassShare*float64(tokens)
			before += tokens
		}
	}
	return ahead
}
