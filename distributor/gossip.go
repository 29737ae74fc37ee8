package distributor

import (
	"context"
	"time"

	"github.com/egretflow/egretflow"
)

func (t *task) untilNextRound() time.Duration {
	return jitter(t.cfg.Rand, t.cfg.Timing.AntiEntropyInterval)
}

// antiEntropy compares with one peer (rule 3).
func (t *task) antiEntropy(ctx context.Context) {
	t.rounds++
	if t.rounds%2 == 1 && t.stopWatch == nil {
		if watcher, ok := t.pickWatcher(); ok {
			t.ask(ctx, watcher, purposeCompare)
			return
		}
	}
	for _, peer := range t.sample(1) {
		t.ask(ctx, peer, purposeCompare)
	}
}

// pickWatcher returns a watcher of the own failure domain, or of any when the
// last one asked could not confirm.
func (t *task) pickWatcher() (egretflow.Member, bool) {
	var candidates []egretflow.Member
	for _, m := range t.peers {
		near := domainOf(m) == domainOf(t.cfg.Self) || t.askOtherDomain
		if near && contains(t.watchers[domainOf(m)], m.Name) {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return egretflow.Member{}, false
	}
	return candidates[t.cfg.Rand.IntN(len(candidates))], true
}

// pushHints announces the active revision to random peers (rule 2).
func (t *task) pushHints(ctx context.Context) {
	for _, peer := range t.sample(max(0, t.cfg.Timing.PushFanout)) {
		t.ask(ctx, peer, purposePush)
	}
}

func (t *task) askStartupPeers(ctx context.Context) {
	for _, peer := range t.sample(StartupPeers) {
		t.startupOpen++
		t.ask(ctx, peer, purposeStartup)
	}
}

// sample returns up to n different random peers.
func (t *task) sample(n int) []egretflow.Member {
	chosen := make([]egretflow.Member, 0, n)
	for _, i := range t.cfg.Rand.Perm(len(t.peers))[:min(n, len(t.peers))] {
		chosen = append(chosen, t.peers[i])
	}
	return chosen
}
