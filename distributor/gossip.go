package distributor

import (
	"context"
	"time"

	"github.com/egretflow/egretflow"
)

func (t *task) untilNextRound() time.Duration {
	return jitter(t.cfg.Rand, t.cfg.Timing.AntiEntropyInterval)
}

// antiEntropy sends a pull request to one peer (rule 3): a watcher in odd rounds
// if this instance is not one itself, else a random peer.
func (t *task) antiEntropy(ctx context.Context) {
	t.rounds++
	if t.rounds%2 == 1 && t.stopWatch == nil {
		if watcher, ok := t.pickWatcher(); ok {
			t.sendPull(ctx, watcher, purposeCompare)
			return
		}
	}
	for _, peer := range t.sample(1) {
		t.sendPull(ctx, peer, purposeCompare)
	}
}

// pickWatcher returns a random watcher of this instance's failure domain, or of
// any failure domain if the last watcher asked could not confirm its revision.
func (t *task) pickWatcher() (egretflow.Member, bool) {
	var candidates []egretflow.Member
	for _, m := range t.peers {
		eligible := domainOf(m) == domainOf(t.cfg.Self) || t.askOtherDomain
		if eligible && contains(t.watchers[domainOf(m)], m.Name) {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return egretflow.Member{}, false
	}
	return candidates[t.cfg.Rand.IntN(len(candidates))], true
}

// pushHints announces the active revision to PushFanout random peers (rule 2).
func (t *task) pushHints(ctx context.Context) {
	for _, peer := range t.sample(max(0, t.cfg.Timing.PushFanout)) {
		t.sendPull(ctx, peer, purposePush)
	}
}

func (t *task) pullFromStartupPeers(ctx context.Context) {
	for _, peer := range t.sample(StartupPeers) {
		t.startupPending++
		t.sendPull(ctx, peer, purposeStartup)
	}
}

// sample returns up to n distinct random peers.
func (t *task) sample(n int) []egretflow.Member {
	chosen := make([]egretflow.Member, 0, n)
	for _, i := range t.cfg.Rand.Perm(len(t.peers))[:min(n, len(t.peers))] {
		chosen = append(chosen, t.peers[i])
	}
	return chosen
}
