package gossiper

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/rendezvous"
)

const (
	// relayTimeout is how long a relay may be silent before this instance asks other
	// members: one update and a part of the next interval.
	relayTimeout = MemberInterval + 400*time.Millisecond
	// askInterval is how long the answers to a question may take before the next one.
	askInterval = 300 * time.Millisecond
	// relayGrace is how long the relay may take to answer before one that has answered
	// replaces it. What that one has sent counts at once.
	relayGrace = 100 * time.Millisecond
	// askedMembers is the number of members that are asked first, besides the relay.
	askedMembers = 3
)

// searchStage says how far the search for another relay has come.
type searchStage string

const (
	// searchNone means that the relay is not silent, or that there is none yet.
	searchNone searchStage = "None"
	// searchAsked means that a few members were asked for an update.
	searchAsked searchStage = "Asked"
	// searchSubscribed means that this instance has subscribed to all members.
	searchSubscribed searchStage = "Subscribed"
	// searchFailed means that none of them has answered, so that this instance reads
	// the platform itself until one does.
	searchFailed searchStage = "Failed"
)

// relay is the member that updates this instance.
type relay struct {
	name    egretflow.InstanceName
	heardAt time.Time
	// search is the stage of the search for another relay, and askedAt when members
	// were last asked in it.
	search  searchStage
	askedAt time.Time
	// candidate is the first other member that has answered; empty if none has.
	candidate egretflow.InstanceName
}

// dueAt returns when the relay must have sent an update, or those that were asked for
// one their answer.
func (r *relay) dueAt() time.Time {
	switch {
	case r.candidate != "":
		return r.askedAt.Add(relayGrace)
	case r.search == searchAsked || r.search == searchSubscribed:
		return r.askedAt.Add(askInterval)
	case r.search == searchFailed:
		return r.askedAt.Add(MemberInterval)
	}
	return r.heardAt.Add(relayTimeout)
}

// dueToRelay returns what a subscriber must send now: its subscription, or a question to
// others if its relay is silent. The relay is asked, too, so that a single lost datagram
// costs a few questions, but no relay. The caller holds mu.
func (g *Gossiper) dueToRelay(s *schedule, own ownState, due bool, now time.Time) []datagram {
	chosen := g.chooseRelay(now)
	silent := g.relay.name != "" && !now.Before(g.relay.dueAt())
	switch {
	case silent && g.relay.candidate != "":
		g.setRelay(g.relay.candidate, now)
	case silent && g.relay.search == searchNone:
		g.relay.search, g.relay.askedAt = searchAsked, now
		return []datagram{g.question(own, now)}
	case silent && g.relay.search == searchSubscribed:
		g.relay.search = searchFailed
		g.record(egretflow.EventRelayChanged, "From", string(g.relay.name), "To", "", "SilentMs", g.relay.silence(now))
		g.recheckDue = true
		return nil
	case silent:
		if g.relay.search == searchAsked {
			g.relay.search = searchSubscribed
		}
		g.relay.askedAt = now
	case !chosen && !due && now.Sub(s.subscribeAt) < subscribeInterval:
		return nil
	}
	s.subscribeAt = now
	return []datagram{g.subscription(own, now)}
}

// subscription returns the message to the relay, or to all other members if the relay
// and those that were asked are silent. The caller holds mu.
func (g *Gossiper) subscription(own ownState, now time.Time) datagram {
	d := datagram{message: g.newMessage(kindSubscribe, own, now)}
	d.message.Confirmed = toConfirmation(own.confirmation, own.confirmation.ReadAt, now)
	all := g.relay.search == searchSubscribed || g.relay.search == searchFailed
	for name, m := range g.members {
		if all || name == g.relay.name {
			d.to = append(d.to, m.Address)
		}
	}
	return d
}

// question returns the message that asks the silent relay and a few other members for
// one update. The caller holds mu.
func (g *Gossiper) question(own ownState, now time.Time) datagram {
	d := datagram{message: g.newMessage(kindAsk, own, now)}
	if m, ok := g.members[g.relay.name]; ok {
		d.to = append(d.to, m.Address)
	}
	asked := 0
	for _, m := range g.rankedRelays() {
		if m.Name != g.relay.name && asked < askedMembers {
			d.to = append(d.to, m.Address)
			asked++
		}
	}
	return d
}

// chooseRelay chooses a relay if this instance has none, and reports whether it did. The
// caller holds mu.
func (g *Gossiper) chooseRelay(now time.Time) bool {
	if g.relay.name != "" {
		return false
	}
	ranked := g.rankedRelays()
	if len(ranked) == 0 {
		return false
	}
	g.setRelay(ranked[0].Name, now)
	return true
}

// rankedRelays returns the members in the order in which this instance prefers them as
// relays: one of its own failure domain first, then alternately one of another domain
// and of its own, because a whole domain may be lost. The caller holds mu.
func (g *Gossiper) rankedRelays() []egretflow.Member {
	var own, other []egretflow.Member
	for _, m := range g.members {
		switch {
		case m.leaving:
		case m.FailureDomain == g.cfg.Self.FailureDomain:
			own = append(own, m.Member)
		default:
			other = append(other, m.Member)
		}
	}
	key := "relay/" + string(g.cfg.Self.Name)
	own, other = rendezvous.Rank(key, own), rendezvous.Rank(key, other)
	var ranked []egretflow.Member
	for n := range max(len(own), len(other)) {
		if n < len(own) {
			ranked = append(ranked, own[n])
		}
		if n < len(other) {
			ranked = append(ranked, other[n])
		}
	}
	return ranked
}

// setRelay makes a member the relay of this instance. The caller holds mu.
func (g *Gossiper) setRelay(name egretflow.InstanceName, now time.Time) {
	g.record(egretflow.EventRelayChanged, "From", string(g.relay.name), "To", string(name), "SilentMs", g.relay.silence(now))
	g.relay = relay{name: name, heardAt: now, search: searchNone}
}

// silence returns the time in milliseconds since the last update of the relay, or 0 if
// there was none.
func (r *relay) silence(now time.Time) string {
	if r.heardAt.IsZero() {
		return "0"
	}
	return strconv.FormatInt(now.Sub(r.heardAt).Milliseconds(), 10)
}

// noteUpdate notes that a member has sent an update. The first one that does while a
// relay is looked for becomes the relay, unless the relay answers as well. The caller
// holds mu.
func (g *Gossiper) noteUpdate(m *message, now time.Time) {
	switch {
	case m.Leaving && m.From == g.relay.name:
		g.relay.heardAt = time.Time{}
		g.wakeSender()
	case m.Leaving:
	case m.From == g.relay.name:
		g.relay = relay{name: m.From, heardAt: now, search: searchNone}
	case g.relay.name == "":
		g.setRelay(m.From, now)
	case g.relay.search != searchNone && g.relay.candidate == "":
		g.relay.candidate = m.From
		g.wakeSender()
	}
}

// isolated reports whether this instance is a subscriber that no member answers. The
// caller holds mu.
func (g *Gossiper) isolated() bool {
	return g.role == roleSubscriber && g.relay.search == searchFailed && g.relay.candidate == ""
}

// answers returns the update for the instances that have asked for one. The caller holds
// mu.
func (g *Gossiper) answers(own ownState, now time.Time) []datagram {
	if len(g.asking) == 0 {
		return nil
	}
	d := g.update(own, now)
	d.answers, d.to = true, nil
	for _, address := range g.asking {
		d.to = append(d.to, address)
	}
	g.asking = map[egretflow.InstanceName]netip.AddrPort{}
	return []datagram{d}
}
