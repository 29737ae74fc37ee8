package exchanger

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/egretflow/egretflow"
)

// peer is the state of the exchange with one member.
type peer struct {
	member egretflow.Member
	// contact reports whether the member belongs to another slice (rule 6).
	contact bool
	// pending is the request that waits for its response, or nil.
	pending *egretflow.ExchangeRequest
	// failed reports whether the last exchange failed. It is repeated with the next
	// heartbeat, not earlier.
	failed bool
	// leavingAcknowledged reports whether the peer has answered a request with
	// Leaving.
	leavingAcknowledged bool
	sentAt              time.Time
	nextAt              time.Time
	// sentBacklogs is the prefill work on servers that the last message named.
	sentBacklogs []egretflow.Backlog
	// sentCrashes maps the fingerprints of the crash reports that were sent to their
	// expiry.
	sentCrashes map[uint64]time.Time
}

// sentDemand is the last demand that was sent for a server, with receiver and time.
type sentDemand struct {
	demand egretflow.Demand
	to     egretflow.InstanceName
	at     time.Time
}

// Estimated sizes in bytes of a message without contents and of one demand, backlog and
// queue in it, for the byte budget.
const (
	messageBytes = 100
	demandBytes  = 20
	backlogBytes = 10
	queueBytes   = 30
	// prefillReserveBytes is the part of the budget that early messages sent only
	// because of prefill work leave to other messages.
	prefillReserveBytes = 1000
)

// updatePeers adds and removes peers after a change of the plan. The first message to a
// new peer is sent at a random time within the heartbeat interval, so that instances do
// not send at the same time.
func (t *task) updatePeers(now time.Time) {
	wanted := map[egretflow.InstanceName]egretflow.Member{}
	for _, m := range t.plan.Members {
		if m.Name != t.cfg.Self.Name {
			wanted[m.Name] = m
		}
	}
	contact := t.plan.Contact
	if contact != nil {
		wanted[contact.Name] = *contact
	}
	maps.DeleteFunc(t.peers, func(name egretflow.InstanceName, _ *peer) bool {
		_, ok := wanted[name]
		return !ok
	})
	for _, name := range slices.Sorted(maps.Keys(wanted)) {
		p := t.peers[name]
		if p == nil {
			jitter := time.Duration(t.cfg.Rand.Int64N(int64(HeartbeatInterval)))
			p = &peer{nextAt: now.Add(jitter), sentCrashes: map[uint64]time.Time{}}
			t.peers[name] = p
		}
		p.member = wanted[name]
		p.contact = contact != nil && contact.Name == name
	}
}

func (t *task) sortedPeers() []*peer {
	names := slices.Sorted(maps.Keys(t.peers))
	sorted := make([]*peer, len(names))
	for n, name := range names {
		sorted[n] = t.peers[name]
	}
	return sorted
}

// exchangeWith sends a message to a peer if one is due (rules 1 and 2) and none is
// pending. The result arrives as a resultMessage.
func (t *task) exchangeWith(ctx context.Context, p *peer, demands []egretflow.Demand, load *egretflow.PrefillLoad, crashes []egretflow.CrashReport, now time.Time) {
	if p.pending != nil || now.Before(p.sentAt.Add(EarlyInterval)) {
		return
	}
	named, urgent := t.changedDemands(p.member.Name, demands, now)
	reports := p.unsentCrashes(crashes, now)
	cost := messageBytes + demandBytes*len(named)
	withinBudget := t.cfg.Budget.AllowsEarly(cost)
	if now.Before(p.nextAt) {
		if !urgent && len(reports) == 0 {
			// Demands and crash reports take precedence when the budget is short.
			urgent = p.hasNewBacklog(load)
			withinBudget = withinBudget && t.cfg.Budget.AllowsEarly(cost+loadBytes(load)+prefillReserveBytes)
		}
		if p.failed || !urgent && len(reports) == 0 || !withinBudget {
			return
		}
	}
	if !withinBudget {
		named = t.dueDemands(p.member.Name, named, now)
	}
	request := t.request(named, now)
	request.Crashes, request.Prefill = reports, t.withinBudget(load)
	p.sentBacklogs = nil
	if request.Prefill != nil {
		p.sentBacklogs = load.Backlogs
	}
	p.pending, p.sentAt, p.nextAt = request, now, now.Add(HeartbeatInterval)
	for _, d := range named {
		t.sent[d.Server] = sentDemand{d, p.member.Name, now}
	}
	for _, r := range reports {
		p.sentCrashes[r.Fingerprint] = r.ExpiresAt
	}
	to := p.member
	t.calls.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		response, err := t.cfg.Peers.Exchange(callCtx, to, request)
		select {
		case t.messages <- resultMessage{to.Name, request, response, err}:
		case <-ctx.Done():
		}
	})
}

func (t *task) request(demands []egretflow.Demand, now time.Time) *egretflow.ExchangeRequest {
	return &egretflow.ExchangeRequest{
		From:        t.cfg.Self.Name,
		Incarnation: t.cfg.Incarnation,
		SentAt:      t.sendTime(now),
		Revision:    t.revision(),
		Leaving:     len(t.leaving) > 0,
		Slices:      t.plan.Slices,
		Demands:     demands,
	}
}

func (t *task) revision() egretflow.Revision {
	if t.tables == nil {
		return 0
	}
	return t.tables.Revision
}

// changedDemands returns the demands that a message to an owner names (rule 2), and
// whether one of them justifies an early heartbeat (rule 1).
func (t *task) changedDemands(to egretflow.InstanceName, demands []egretflow.Demand, now time.Time) ([]egretflow.Demand, bool) {
	var changed []egretflow.Demand
	urgent := false
	for _, d := range demands {
		if t.owners[d.Server] != to {
			continue
		}
		last, ok := t.sent[d.Server]
		ok = ok && last.to == to
		if ok && last.demand == d && now.Sub(last.at) < demandRenewInterval {
			continue
		}
		changed = append(changed, d)
		if !ok || total(d.Wanted) > total(last.demand.Wanted) || d.Held < last.demand.Held {
			urgent = true
		}
	}
	return changed, urgent
}

// dueDemands returns the demands without those that were sent to the owner within
// demandRenewInterval, which can wait when the byte budget is used up.
func (t *task) dueDemands(to egretflow.InstanceName, demands []egretflow.Demand, now time.Time) []egretflow.Demand {
	return slices.DeleteFunc(demands, func(d egretflow.Demand) bool {
		last := t.sent[d.Server]
		return last.to == to && now.Sub(last.at) < demandRenewInterval
	})
}

func total(wanted [4]int) int { return wanted[0] + wanted[1] + wanted[2] + wanted[3] }

// unsentCrashes returns the reports that have not been sent to the peer with their
// current expiry.
func (p *peer) unsentCrashes(reports []egretflow.CrashReport, now time.Time) []egretflow.CrashReport {
	maps.DeleteFunc(p.sentCrashes, func(_ uint64, expiresAt time.Time) bool { return !now.Before(expiresAt) })
	var unsent []egretflow.CrashReport
	for _, r := range reports {
		if sent, ok := p.sentCrashes[r.Fingerprint]; !ok || !sent.Equal(r.ExpiresAt) {
			unsent = append(unsent, r)
		}
	}
	return unsent
}
