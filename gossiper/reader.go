package gossiper

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/rendezvous"
)

// rankKey is the key for which the members are ranked by rendezvous hashing.
const rankKey = "directory"

// Rank returns the position of this instance in the order in which instances read
// the platform for all. It is 0 for the one that reads. Subscribers rank after all
// members.
func (g *Gossiper) Rank() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	readers := g.readers(g.cfg.Clock())
	if at := slices.IndexFunc(readers, g.isSelf); at >= 0 {
		return at
	}
	return len(readers) + 1
}

// Watches reports whether this instance watches the configuration for all, as the first
// reader and the first one of another failure domain do (rule 7).
func (g *Gossiper) Watches() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(watchers(g.readers(g.cfg.Clock())), g.isSelf)
}

func (g *Gossiper) isSelf(m egretflow.Member) bool { return m.Name == g.cfg.Self.Name }

// watchers returns the first of the readers and the first one of another failure domain,
// or the second one if there is no other domain.
func watchers(readers []egretflow.Member) []egretflow.Member {
	if len(readers) < 2 {
		return readers
	}
	second := max(1, slices.IndexFunc(readers, func(m egretflow.Member) bool { return m.FailureDomain != readers[0].FailureDomain }))
	return []egretflow.Member{readers[0], readers[second]}
}

// readers returns the live members in the order in which they read the platform for all.
// Those that the store refuses come last. The caller holds mu.
func (g *Gossiper) readers(now time.Time) []egretflow.Member {
	ranked := rendezvous.Rank(rankKey, g.liveMembers(now))
	slices.SortStableFunc(ranked, func(a, b egretflow.Member) int { return g.failing(a.Name) - g.failing(b.Name) })
	return ranked
}

// failing returns 1 for a member that the store refuses and 0 for the others. The caller
// holds mu.
func (g *Gossiper) failing(name egretflow.InstanceName) int {
	failing := g.storeFailing
	if x, ok := g.members[name]; ok && name != g.cfg.Self.Name {
		failing = x.storeFailing
	}
	if failing {
		return 1
	}
	return 0
}

// readsForAll reports whether this instance has rank 0. The caller holds mu.
func (g *Gossiper) readsForAll(now time.Time) bool {
	readers := g.readers(now)
	return len(readers) > 0 && g.isSelf(readers[0])
}

// refusedAlone reports whether the store refuses this instance and answers another member.
func (g *Gossiper) refusedAlone() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	readers := g.readers(g.cfg.Clock())
	return g.storeFailing && len(readers) > 0 && g.failing(readers[0].Name) == 0
}

// storeAnswers reports whether the store has answered this instance lately.
func (g *Gossiper) storeAnswers() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.storeFailing && g.cfg.Clock().Sub(g.storeAnsweredAt) < memberTimeout
}

// noteStoreCall notes the outcome of a call of the store by this instance. Other errors
// than ErrUnavailable are answers.
func (g *Gossiper) noteStoreCall(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	failing := errors.Is(err, egretflow.ErrUnavailable)
	g.mu.Lock()
	defer g.mu.Unlock()
	if !failing {
		g.storeAnsweredAt = g.cfg.Clock()
	}
	if g.storeFailing == failing {
		return
	}
	reason := ""
	if failing {
		reason = err.Error()
	}
	g.record(egretflow.EventStoreAccessChanged, "Failing", strconv.FormatBool(failing), "Error", reason)
	g.storeFailing, g.membersDue, g.recheckDue = failing, true, true
	g.wakeSender()
}
