package gossiper

import (
	"cmp"
	"context"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/egretflow/egretflow"
)

// crashKey identifies a crash report for sendCounts. A report to which lost servers
// were added counts as a new one.
type crashKey struct {
	fingerprint uint64
	lostServers int
}

// crashSent says how often a crash report was sent, and when last.
type crashSent struct {
	count int
	at    time.Time
}

// datagram is an encoded message with its receivers.
type datagram struct {
	message *message
	to      []netip.AddrPort
	// answers reports whether it answers questions, so that the subscribers lack it.
	answers bool
}

// schedule holds when the sender last sent each kind of message. Only the goroutine of
// sendLoop uses it.
type schedule struct {
	memberAt    time.Time
	updateAt    time.Time
	subscribeAt time.Time
	// repeatAt is when a change is sent a second time, in case datagrams are lost;
	// zero if none is.
	repeatAt time.Time
}

// sendLoop sends the messages that are due until ctx ends.
func (g *Gossiper) sendLoop(ctx context.Context) {
	var s schedule
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-g.wake:
		}
		now := g.cfg.Clock()
		for _, d := range g.due(&s, g.collect(now), now) {
			g.write(d)
		}
		g.recheck()
		if !g.pauseAfterSend(ctx) {
			return
		}
		timer.Reset(g.untilDue(&s))
	}
}

// due returns the messages that are due and notes in s that they are sent.
func (g *Gossiper) due(s *schedule, own ownState, now time.Time) []datagram {
	repeat := !s.repeatAt.IsZero() && !now.Before(s.repeatAt)
	if repeat {
		s.repeatAt = time.Time{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	list := g.dueToMembers(s, own, repeat, now)
	list = append(list, g.dueToSubscribers(s, own, repeat, now)...)
	list = append(list, g.answers(own, now)...)
	if g.changed(own.confirmation) {
		s.repeatAt = now.Add(repeatDelay)
	}
	for _, d := range list {
		if !d.answers {
			g.noteSent(d.message, own.confirmation)
		}
	}
	return list
}

// recheck makes the follower read if the search for a relay has failed.
func (g *Gossiper) recheck() {
	g.mu.Lock()
	due := g.recheckDue
	g.recheckDue = false
	g.mu.Unlock()
	if due {
		g.follower.Recheck()
	}
}

// dueToMembers returns the message to the other members, or to the relay. The caller
// holds mu.
func (g *Gossiper) dueToMembers(s *schedule, own ownState, repeat bool, now time.Time) []datagram {
	due := g.membersDue
	g.membersDue = false
	switch {
	case g.role == roleMember && (due || repeat || now.Sub(s.memberAt) >= MemberInterval):
		s.memberAt = now
		return []datagram{g.memberMessage(own, now)}
	case g.role == roleSubscriber:
		return g.dueToRelay(s, own, due, now)
	}
	return nil
}

// dueToSubscribers returns the message to the subscribers. The caller holds mu.
func (g *Gossiper) dueToSubscribers(s *schedule, own ownState, repeat bool, now time.Time) []datagram {
	due := g.updatesDue
	g.updatesDue = false
	if len(g.subscribers) == 0 {
		return nil
	}
	update := g.update(own, now)
	if now.Sub(s.updateAt) < MemberInterval && !repeat && !(due && g.differs(update.message, own)) {
		return nil
	}
	s.updateAt = now
	return []datagram{update}
}

// pauseAfterSend waits for SendInterval, so that a series of wake-ups leads to one
// round of messages. It returns false if ctx ends first.
func (g *Gossiper) pauseAfterSend(ctx context.Context) bool {
	timer := time.NewTimer(SendInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// untilDue returns the time until the next message that is due without a wake-up.
func (g *Gossiper) untilDue(s *schedule) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock()
	next := now.Add(MemberInterval)
	earlier := func(at time.Time) {
		if at.Before(next) {
			next = at
		}
	}
	switch g.role {
	case roleMember:
		earlier(s.memberAt.Add(MemberInterval))
	case roleSubscriber:
		earlier(s.subscribeAt.Add(subscribeInterval))
		if g.relay.name != "" {
			earlier(g.relay.dueAt())
		}
	}
	if len(g.subscribers) > 0 {
		earlier(s.updateAt.Add(MemberInterval))
	}
	if !s.repeatAt.IsZero() {
		earlier(s.repeatAt)
	}
	return max(0, next.Sub(now))
}

// expire removes subscribers and members that have been silent. The caller holds mu.
func (g *Gossiper) expire(now time.Time) {
	for name, s := range g.subscribers {
		if now.Sub(s.heardAt) > subscriptionLifetime {
			delete(g.subscribers, name)
		}
	}
	for name, r := range g.senders {
		if now.Sub(r.at) > forgetTimeout {
			delete(g.senders, name)
		}
	}
	for name, m := range g.members {
		if now.Sub(m.HeardAt) > forgetTimeout {
			delete(g.members, name)
			g.record(egretflow.EventMemberLost, "Member", string(name))
		}
	}
}

// ownState holds what the components of this instance report to others.
type ownState struct {
	confirmation egretflow.Confirmation
	hints        egretflow.ServerHints
	crashes      []crash
}

// collect reads the state of the components. The caller does not hold mu, because
// the components call Wake.
func (g *Gossiper) collect(now time.Time) ownState {
	return ownState{
		confirmation: g.follower.Confirmation(), hints: g.cfg.State.ServerHints(now),
		crashes: g.crashesToSend(g.cfg.State.CrashReports(now), now),
	}
}

// newMessage returns a message with the fields that all kinds have. It states the age of
// this instance's own reading of the configuration. The caller holds mu.
func (g *Gossiper) newMessage(kind messageKind, own ownState, now time.Time) *message {
	g.sequence++
	c := &own.confirmation.Configuration
	return &message{
		Kind: kind, From: g.cfg.Self.Name, Incarnation: g.cfg.Incarnation, Sequence: g.sequence, Leaving: g.leaving,
		Domain: g.cfg.Self.FailureDomain, ProcessorShare: g.cfg.Self.ProcessorShare, Subscribers: len(g.subscribers),
		Configuration: toConfigurationState(c.Version, c.ReadAt, g.cfg.Self.Name, now),
		StoreFailing:  g.storeFailing, Confirmed: confirmation{AgeMS: -1}, Crashes: own.crashes,
	}
}

// memberMessage returns the message to the other members. The caller holds mu.
func (g *Gossiper) memberMessage(own ownState, now time.Time) datagram {
	m := g.newMessage(kindMember, own, now)
	m.Confirmed = toConfirmation(own.confirmation, own.confirmation.ReadAt, now)
	m.Hints = own.hints
	if g.readsForAll(now) {
		g.instances = g.countInstances()
		m.Instances = g.instances
	}
	m.Members = g.wireMembers(now)
	d := datagram{message: m}
	for _, x := range g.members {
		d.to = append(d.to, x.Address)
	}
	return d
}

// wireMembers lists the live members by name. The caller holds mu.
func (g *Gossiper) wireMembers(now time.Time) []wireMember {
	var list []wireMember
	for _, x := range g.liveMembers(now) {
		list = append(list, toWireMember(x))
	}
	slices.SortFunc(list, func(a, b wireMember) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// update returns the message to the subscribers. The caller holds mu.
func (g *Gossiper) update(own ownState, now time.Time) datagram {
	m := g.newMessage(kindUpdate, own, now)
	c := &own.confirmation.Configuration
	m.Configuration = toConfigurationState(c.Version, c.ConfirmedAt, c.ConfirmedBy, now)
	m.Confirmed = toConfirmation(own.confirmation, own.confirmation.ConfirmedAt, now)
	m.Instances = max(g.instances, g.countInstances())
	m.Members = g.wireMembers(now)
	d := datagram{message: m}
	for _, s := range g.subscribers {
		d.to = append(d.to, s.address)
	}
	return d
}

// differs reports whether an update carries something new besides the age of the
// confirmations. The caller holds mu.
func (g *Gossiper) differs(m *message, own ownState) bool {
	return m.Leaving || len(m.Crashes) > 0 || g.changed(own.confirmation) || !slices.Equal(m.Members, g.sentMembers)
}

// changed reports whether c confirms another state than the last messages, or the same one
// in another era of the store. The caller holds mu.
func (g *Gossiper) changed(c egretflow.Confirmation) bool {
	return c.Configuration.Version != g.sentVersion ||
		!c.ConfirmedAt.IsZero() && (c.Servers != g.sentServers || c.Version.Era != g.sentEra)
}

// noteSent notes what other instances are sent. The caller holds mu.
func (g *Gossiper) noteSent(m *message, own egretflow.Confirmation) {
	g.sentVersion = own.Configuration.Version
	if m.Confirmed.AgeMS >= 0 {
		g.sentServers, g.sentEra = own.Servers, own.Version.Era
	}
	if m.Kind == kindUpdate {
		g.sentMembers = m.Members
	}
}

// write sends a message to its receivers. Errors of the network are ignored:
// datagrams may be lost anyway, and the next message carries the whole state again.
func (g *Gossiper) write(d datagram) {
	data, err := encode(d.message)
	if err == nil && len(data) > maxDatagramBytes {
		// The receivers read the changes themselves.
		m := *d.message
		m.Confirmed.Deltas = nil
		data, err = encode(&m)
	}
	if err != nil || len(data) > maxDatagramBytes {
		g.record(egretflow.EventDatagramRefused, "Kind", string(d.message.Kind), "Bytes", strconv.Itoa(len(data)))
		return
	}
	for _, to := range d.to {
		_, _ = g.cfg.Conn.WriteTo(data, net.UDPAddrFromAddrPort(to))
	}
}

// crashesToSend returns the crash reports for the next message, which are those that
// were sent less than crashSends times, and counts them as sent. Those with several
// losses are repeated for members that restart or were not reached. Only the
// goroutine of sendLoop calls it.
func (g *Gossiper) crashesToSend(reports []egretflow.CrashReport, now time.Time) []crash {
	if len(reports) == 0 {
		clear(g.sendCounts)
	}
	var crashes []crash
	for _, r := range reports {
		names := r.Names()
		key := crashKey{r.Fingerprint, len(names)}
		sent := g.sendCounts[key]
		repeats := len(r.Servers) > 1 && now.Sub(sent.at) >= crashRepeatInterval
		if sent.count >= crashSends && !repeats || len(crashes) == maxCrashesPerMessage {
			continue
		}
		g.sendCounts[key] = crashSent{sent.count + 1, now}
		crashes = append(crashes, crash{
			Fingerprint: r.Fingerprint, Part: r.Part, Shared: r.Shared, Servers: names, LeftMS: r.ExpiresAt.Sub(now).Milliseconds(),
		})
	}
	return crashes
}
