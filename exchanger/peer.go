package exchanger

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/egretflow/egretflow"
)

// peer is the schedule of messages to one member.
type peer struct {
	member egretflow.Member
	// contact says that the member belongs to another slice (rule 6).
	contact bool
	// open is the request that waits for its response, or nil.
	open *egretflow.ExchangeRequest
	// failed says that the last exchange did. It is repeated with the next
	// heartbeat, not earlier.
	failed bool
	// toldLeaving says that the peer has answered a request with Leaving.
	toldLeaving bool
	sentAt      time.Time
	nextAt      time.Time
	// crashes holds the reports that were sent, with their deadlines.
	crashes map[uint64]time.Time
}

// sentDemand is the last demand that was sent for a server.
type sentDemand struct {
	demand egretflow.Demand
	to     egretflow.InstanceName
	at     time.Time
}

// The estimated size of a message, for the byte budget.
const (
	messageBytes = 100
	demandBytes  = 20
)

// updatePeers follows the plan. New peers are called at a random time within
// the interval, so that instances do not send in step.
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
			p = &peer{nextAt: now.Add(jitter), crashes: map[uint64]time.Time{}}
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

// exchangeWith sends a message to a peer if one is due.
func (t *task) exchangeWith(ctx context.Context, p *peer, demands []egretflow.Demand, crashes []egretflow.CrashReport, now time.Time) {
	if p.open != nil || now.Before(p.sentAt.Add(EarlyInterval)) {
		return
	}
	named, urgent := t.changedDemands(p.member.Name, demands, now)
	reports := p.newCrashes(crashes, now)
	affordable := t.cfg.Budget.Allows(messageBytes + demandBytes*len(named))
	if now.Before(p.nextAt) && (p.failed || !urgent && len(reports) == 0 || !affordable) {
		return
	}
	if !affordable {
		named = t.dueDemands(p.member.Name, named, now)
	}
	request := t.request(named, now)
	request.Crashes = reports
	p.open, p.sentAt, p.nextAt = request, now, now.Add(HeartbeatInterval)
	for _, d := range named {
		t.sent[d.Server] = sentDemand{d, p.member.Name, now}
	}
	for _, r := range reports {
		p.crashes[r.Fingerprint] = r.ExpiresAt
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

// changedDemands returns the demands that a message to an owner names (rule 2)
// and whether one of them should not wait for the next heartbeat.
func (t *task) changedDemands(to egretflow.InstanceName, demands []egretflow.Demand, now time.Time) ([]egretflow.Demand, bool) {
	var changed []egretflow.Demand
	urgent := false
	for _, d := range demands {
		if t.owners[d.Server] != to {
			continue
		}
		last, ok := t.sent[d.Server]
		ok = ok && last.to == to
		if ok && last.demand == d && now.Sub(last.at) < renewAfter {
			continue
		}
		changed = append(changed, d)
		if !ok || total(d.Wanted) > total(last.demand.Wanted) || d.Held < last.demand.Held {
			urgent = true
		}
	}
	return changed, urgent
}

// dueDemands leaves out the demands that can wait for the next heartbeat.
func (t *task) dueDemands(to egretflow.InstanceName, demands []egretflow.Demand, now time.Time) []egretflow.Demand {
	return slices.DeleteFunc(demands, func(d egretflow.Demand) bool {
		last := t.sent[d.Server]
		return last.to == to && now.Sub(last.at) < renewAfter
	})
}

func total(wanted [4]int) int { return wanted[0] + wanted[1] + wanted[2] + wanted[3] }

// newCrashes returns the reports that the peer has not been sent.
func (p *peer) newCrashes(reports []egretflow.CrashReport, now time.Time) []egretflow.CrashReport {
	maps.DeleteFunc(p.crashes, func(_ uint64, expiresAt time.Time) bool { return !now.Before(expiresAt) })
	var unsent []egretflow.CrashReport
	for _, r := range reports {
		if sent, ok := p.crashes[r.Fingerprint]; !ok || !sent.Equal(r.ExpiresAt) {
			unsent = append(unsent, r)
		}
	}
	return unsent
}
