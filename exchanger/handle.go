package exchanger

import (
	"slices"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/allocator"
	"github.com/egretflow/egretflow/tracker"
)

// exchangeWithSelf reports the demands of this instance to its own allocator.Owner and
// applies the grants (rule 4).
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

// handleRequest applies the request of a peer and returns the response, with grants for
// the servers that this instance owns.
func (t *task) handleRequest(r *egretflow.ExchangeRequest) *egretflow.ExchangeResponse {
	now := t.cfg.Clock()
	load := t.cfg.State.PrefillLoad(now)
	if r.From != t.cfg.Self.Name {
		t.applyPeerStatus(r.From, r.Revision, r.Slices, r.Crashes)
		t.applyPrefillLoad(r.From, r.Prefill)
		if p := t.peers[r.From]; p != nil && !t.view.Reachable[r.From] {
			// The peer is up again: verify that it answers without waiting for the
			// next heartbeat.
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
		Prefill:     t.withinBudget(&load),
	}
}

// withinBudget returns l, or nil if the byte budget has no room for it. The receiver
// then drops the load that it has of this instance within a second.
func (t *task) withinBudget(l *egretflow.PrefillLoad) *egretflow.PrefillLoad {
	if !t.cfg.Budget.AllowsEarly(loadBytes(l)) {
		return nil
	}
	return l
}

// loadBytes returns the estimated encoded size of l.
func loadBytes(l *egretflow.PrefillLoad) int {
	return backlogBytes*len(l.Backlogs) + queueBytes*len(l.Queues)
}

// hasNewBacklog reports whether l names a server that the last message to p did not name,
// so that p may take it for idle.
func (p *peer) hasNewBacklog(l *egretflow.PrefillLoad) bool {
	return slices.ContainsFunc(l.Backlogs, func(b egretflow.Backlog) bool {
		return !slices.ContainsFunc(p.sentBacklogs, func(sent egretflow.Backlog) bool { return sent.Server == b.Server })
	})
}

// applyPrefillLoad passes the load of a peer to the scheduler, if the message has one.
func (t *task) applyPrefillLoad(from egretflow.InstanceName, l *egretflow.PrefillLoad) {
	if l != nil {
		t.cfg.State.ApplyPrefillLoad(from, *l)
	}
}

// handleResult handles the response or error of a request that this instance sent. It
// ignores the result if the peer is no longer one or the request no longer pending
// (rule 3).
func (t *task) handleResult(m resultMessage) {
	p := t.peers[m.to]
	if p == nil || p.pending != m.request {
		return
	}
	p.pending = nil
	p.failed = m.err != nil || m.response.From != m.to
	if p.failed {
		t.markUnsent(m, p)
		return
	}
	p.leavingAcknowledged = m.request.Leaving
	t.cfg.Members.ObserveAnswer(tracker.Answer{
		From:        m.to,
		Incarnation: m.response.Incarnation,
		Leaving:     m.response.Leaving,
		At:          t.cfg.Clock(),
	})
	t.applyPeerStatus(m.to, m.response.Revision, m.response.Slices, m.response.Crashes)
	t.applyPrefillLoad(m.to, m.response.Prefill)
	t.applyGrants(m.to, m.request, m.response.Grants)
}

// markUnsent makes the next message to p repeat the demands and crash reports of a
// failed one.
func (t *task) markUnsent(m resultMessage, p *peer) {
	for _, d := range m.request.Demands {
		if t.sent[d.Server].to == m.to {
			delete(t.sent, d.Server)
		}
	}
	for _, r := range m.request.Crashes {
		delete(p.sentCrashes, r.Fingerprint)
	}
}

// applyPeerStatus applies the crash reports, the table revision and the number of slices
// that a message of a peer carries. Revision and slices count only if the peer is
// listed.
func (t *task) applyPeerStatus(from egretflow.InstanceName, rev egretflow.Revision, slicesReported int, crashes []egretflow.CrashReport) {
	if len(crashes) > 0 {
		t.cfg.State.MergeCrashReports(crashes)
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

// applyGrants passes the grants of an owner to the scheduler (rules 3 and 5). It does
// nothing while this instance leaves.
func (t *task) applyGrants(from egretflow.InstanceName, request *egretflow.ExchangeRequest, grants []egretflow.Grant) {
	if len(t.leaving) > 0 {
		return
	}
	var valid []egretflow.Grant
	for _, g := range grants {
		named := slices.ContainsFunc(request.Demands, func(d egretflow.Demand) bool { return d.Server == g.Server })
		// An owner withdraws the slots of draining servers without being asked.
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

// leave gives up all grants and makes the next tick inform the peers (rule 8).
func (t *task) leave(m leaveMessage) {
	now := t.cfg.Clock()
	t.leaving = append(t.leaving, m.done)
	var empty []egretflow.Grant
	for _, s := range t.plan.Servers {
		empty = append(empty, egretflow.Grant{Server: s.Server.Name, ExpiresAt: now})
	}
	t.cfg.State.ApplyGrants(empty)
	t.assignOwners(t.view, now)
	for _, p := range t.peers {
		p.nextAt = now
	}
}

// finishLeave lets the calls of Leave return once every reachable peer of the slice has
// acknowledged it.
func (t *task) finishLeave() {
	for name, p := range t.peers {
		if t.view.Reachable[name] && !p.contact && !p.leavingAcknowledged {
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
