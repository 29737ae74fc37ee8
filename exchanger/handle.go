package exchanger

import (
	"slices"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/allocator"
	"github.com/egretflow/egretflow/tracker"
)

// exchangeWithSelf reports the own demands to the own owner side (rule 4).
func (t *task) exchangeWithSelf(demands []egretflow.Demand, now time.Time) {
	named, _ := t.changedDemands(t.cfg.Self.Name, demands, now)
	if len(named) == 0 || !t.sendTime(now).After(t.selfSentAt) {
		return
	}
	request := t.request(named, now)
	t.selfSentAt = request.SentAt
	for _, d := range named {
		t.sent[d.Server] = sentDemand{d, t.cfg.Self.Name, now}
	}
	t.applyGrants(t.cfg.Self.Name, request, t.owner.Answer(request, now))
}

// answer responds to a peer as owner.
func (t *task) answer(r *egretflow.ExchangeRequest) *egretflow.ExchangeResponse {
	now := t.cfg.Clock()
	load := t.cfg.State.PrefillLoad(now)
	if r.From != t.cfg.Self.Name {
		t.learn(r.From, r.Revision, r.Slices, r.Crashes)
		t.applyPrefillLoad(r.From, r.Prefill)
		if p := t.peers[r.From]; p != nil && !t.view.Reachable[r.From] {
			// It is up again; verify it without waiting for the interval.
			p.nextAt = now
		}
	}
	return &egretflow.ExchangeResponse{
		From:        t.cfg.Self.Name,
		Incarnation: t.cfg.Incarnation,
		Revision:    t.revision(),
		Leaving:     len(t.leaving) > 0,
		Slices:      t.plan.Slices,
		Grants:      t.owner.Answer(r, now),
		Prefill:     t.affordable(&load),
	}
}

// affordable returns l, or nil if the byte budget has no room for it. Peers then
// forget within a second what they knew.
func (t *task) affordable(l *egretflow.PrefillLoad) *egretflow.PrefillLoad {
	if !t.cfg.Budget.Allows(loadBytes(l)) {
		return nil
	}
	return l
}

func loadBytes(l *egretflow.PrefillLoad) int {
	return backlogBytes*len(l.Backlogs) + queueBytes*len(l.Queues)
}

// startsNews reports whether l names a server that the last message to p did
// not, so that p may choose it as idle.
func (p *peer) startsNews(l *egretflow.PrefillLoad) bool {
	return slices.ContainsFunc(l.Backlogs, func(b egretflow.Backlog) bool {
		return !slices.ContainsFunc(p.named, func(sent egretflow.Backlog) bool { return sent.Server == b.Server })
	})
}

func (t *task) applyPrefillLoad(from egretflow.InstanceName, l *egretflow.PrefillLoad) {
	if l != nil {
		t.cfg.State.ApplyPrefillLoad(from, *l)
	}
}

// finish takes the outcome of an own exchange.
func (t *task) finish(m resultMessage) {
	p := t.peers[m.to]
	if p == nil || p.open != m.request {
		return
	}
	p.open = nil
	p.failed = m.err != nil || m.response.From != m.to
	if p.failed {
		t.forget(m, p)
		return
	}
	p.toldLeaving = m.request.Leaving
	t.cfg.Members.Answered(tracker.Answer{
		From:        m.to,
		Incarnation: m.response.Incarnation,
		Leaving:     m.response.Leaving,
		At:          t.cfg.Clock(),
	})
	t.learn(m.to, m.response.Revision, m.response.Slices, m.response.Crashes)
	t.applyPrefillLoad(m.to, m.response.Prefill)
	t.applyGrants(m.to, m.request, m.response.Grants)
}

// forget makes the next message carry again what the failed one did.
func (t *task) forget(m resultMessage, p *peer) {
	for _, d := range m.request.Demands {
		if t.sent[d.Server].to == m.to {
			delete(t.sent, d.Server)
		}
	}
	for _, r := range m.request.Crashes {
		delete(p.crashes, r.Fingerprint)
	}
}

// learn takes what a message says apart from demands and grants.
func (t *task) learn(from egretflow.InstanceName, rev egretflow.Revision, slicesReported int, crashes []egretflow.CrashReport) {
	if len(crashes) > 0 {
		t.cfg.State.MergeCrashes(crashes)
	}
	member, listed := t.view.Member(from)
	if !listed {
		return
	}
	if rev > 0 {
		t.cfg.Hints.Hint(member, rev)
	}
	if member.Region == t.cfg.Self.Region {
		t.reportedSlices = max(t.reportedSlices, slicesReported)
	}
}

// applyGrants passes on the grants of an owner (rules 3 and 5).
func (t *task) applyGrants(from egretflow.InstanceName, request *egretflow.ExchangeRequest, grants []egretflow.Grant) {
	if len(t.leaving) > 0 {
		return
	}
	var valid []egretflow.Grant
	for _, g := range grants {
		named := slices.ContainsFunc(request.Demands, func(d egretflow.Demand) bool { return d.Server == g.Server })
		// An owner takes back slots of draining servers without being asked.
		if !named && g.Slots > 0 || t.owners[g.Server] != from {
			continue
		}
		lifetime := g.ExpiresAt.Sub(request.SentAt.Round(0))
		g.ExpiresAt = request.SentAt.Add(min(lifetime, allocator.TTL))
		valid = append(valid, g)
	}
	if len(valid) > 0 {
		t.cfg.State.ApplyGrants(valid)
	}
}

// leave gives up all grants and tells the peers with the next tick (rule 7).
func (t *task) leave(m leaveMessage) {
	now := t.cfg.Clock()
	t.leaving = append(t.leaving, m.done)
	var none []egretflow.Grant
	for _, s := range t.plan.Servers {
		none = append(none, egretflow.Grant{Server: s.Server.Name, ExpiresAt: now})
	}
	t.cfg.State.ApplyGrants(none)
	t.assignOwners(t.view, now)
	for _, p := range t.peers {
		p.nextAt = now
	}
}

// finishLeave reports the end of leaving once every reachable peer knows.
func (t *task) finishLeave() {
	for name, p := range t.peers {
		if t.view.Reachable[name] && !p.contact && !p.toldLeaving {
			return
		}
	}
	for n, done := range t.leaving {
		if done != nil {
			close(done)
			t.leaving[n] = nil
		}
	}
}
