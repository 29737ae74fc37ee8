package gossiper

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/connector"
)

const (
	// MemberInterval is the longest time between two messages to a member or a
	// subscriber.
	MemberInterval = time.Second
	// repeatDelay is the time after which a change is sent again.
	repeatDelay = 150 * time.Millisecond
	// SendInterval is the shortest time between two rounds of messages.
	SendInterval = 50 * time.Millisecond
	// memberTimeout is how long a member counts as live after its last message.
	memberTimeout = 3 * time.Second
	// forgetTimeout is how long a silent member is still sent messages.
	forgetTimeout = 30 * time.Second
	// subscribeInterval is the time between two subscriptions, and
	// subscriptionLifetime how long a relay keeps one.
	subscribeInterval    = 2 * time.Second
	subscriptionLifetime = 5 * time.Second
)

// State is the part of the scheduler whose state is sent to other instances and that
// applies what they send.
type State interface {
	ServerHints(now time.Time) egretflow.ServerHints
	ApplyServerHints(hints egretflow.ServerHints)
	CrashReports(now time.Time) []egretflow.CrashReport
	MergeCrashReports(reports []egretflow.CrashReport)
}

// Follower is the registrar that applies what other instances have read.
type Follower interface {
	Confirmation() egretflow.Confirmation
	ApplyConfirmation(c egretflow.Confirmation)
	// Snapshot returns the configuration, which may be nil, and the servers.
	Snapshot() (*egretflow.Configuration, egretflow.ServerList)
	// Recheck makes the registrar check at once whether it must read, because Relayed
	// has changed.
	Recheck()
}

// Config holds the settings and dependencies of a Gossiper.
type Config struct {
	Self egretflow.Member
	// Incarnation grows with each start of the instance.
	Incarnation uint64
	// Conn and Listener are bound to the address of Self, for datagrams and for the
	// reads of subscribers. Dial connects to the listener of another instance.
	Conn     net.PacketConn
	Listener net.Listener
	Dial     connector.DialFunc
	Store    egretflow.Store
	// Source reads the platform.
	Source egretflow.Directory
	State  State
	// Bootstrap reports whether the whole fleet starts for the first time, so that
	// no instance is registered yet.
	Bootstrap bool
	Clock     egretflow.Clock
	Rand      *rand.Rand
	Recorder  egretflow.Recorder
}

// role says whether this instance is registered.
type role string

const (
	// roleNone is the role until the registrations were read.
	roleNone       role = "None"
	roleMember     role = "Member"
	roleSubscriber role = "Subscriber"
)

// Gossiper exchanges messages with other instances.
type Gossiper struct {
	cfg      Config
	follower Follower
	// wake wakes the sender.
	wake chan struct{}
	// roleKnown is closed by markRoleKnown when this instance has a role for the first
	// time, or cannot learn it because the store does not answer.
	roleKnown     chan struct{}
	markRoleKnown func()

	mu   sync.Mutex
	role role
	// membersDue and updatesDue ask the sender for messages before their interval
	// ends.
	membersDue bool
	updatesDue bool
	leaving    bool
	sequence   uint64
	// sendCounts counts how often each crash report was sent. Only the goroutine of
	// sendLoop uses it.
	sendCounts map[crashKey]crashSent
	// receivedCrashes holds the crash reports that were received.
	receivedCrashes map[crashKey]struct{}
	// senders holds the newest message of each sender.
	senders map[egretflow.InstanceName]received
	members map[egretflow.InstanceName]*member
	// subscribers maps the instances that this one updates to their last
	// subscription.
	subscribers map[egretflow.InstanceName]subscriber
	// asking holds the instances that have asked for one update.
	asking map[egretflow.InstanceName]netip.AddrPort
	relay  relay
	// recheckDue asks the sender to call Follower.Recheck.
	recheckDue bool
	// instances is the size of the fleet as the member with rank 0 counts it; 0
	// if unknown.
	instances int
	// storeFailing reports whether the last call of the store by this instance failed, and
	// storeAnsweredAt is when the last one that did not ended.
	storeFailing    bool
	storeAnsweredAt time.Time
	// sentServers, sentEra, sentVersion and sentMembers are what the last messages carried.
	sentServers uint64
	sentEra     egretflow.Era
	sentVersion uint64
	sentMembers []wireMember
}

// received identifies the newest message of a sender.
type received struct {
	incarnation uint64
	sequence    uint64
	at          time.Time
}

// member is another registered instance.
type member struct {
	egretflow.Member
	leaving     bool
	subscribers int
	// storeFailing reports whether the store refuses the member.
	storeFailing bool
	// version is that of the configuration that the member has; 0 if unknown.
	version uint64
}

// subscriber is an instance that this one updates.
type subscriber struct {
	address netip.AddrPort
	heardAt time.Time
	version uint64
}

// New returns a Gossiper without members. Follow must be called before Run.
func New(cfg Config) *Gossiper {
	roleKnown := make(chan struct{})
	return &Gossiper{
		cfg: cfg, wake: make(chan struct{}, 1), roleKnown: roleKnown, markRoleKnown: sync.OnceFunc(func() { close(roleKnown) }), role: roleNone,
		sendCounts: map[crashKey]crashSent{}, receivedCrashes: map[crashKey]struct{}{}, senders: map[egretflow.InstanceName]received{},
		members: map[egretflow.InstanceName]*member{}, subscribers: map[egretflow.InstanceName]subscriber{},
		asking: map[egretflow.InstanceName]netip.AddrPort{}, relay: relay{search: searchNone},
	}
}

// Follow sets the registrar whose state is sent and that applies what is received.
func (g *Gossiper) Follow(f Follower) { g.follower = f }

// Wake makes the sender send messages soon, after a read of the platform or a loss
// of a server.
func (g *Gossiper) Wake() {
	g.mu.Lock()
	g.membersDue, g.updatesDue = true, true
	g.mu.Unlock()
	g.wakeSender()
}

func (g *Gossiper) wakeSender() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Leave reports to the other instances that this one shuts down.
func (g *Gossiper) Leave() {
	g.mu.Lock()
	g.leaving = true
	g.mu.Unlock()
	g.Wake()
}

// Members lists the live members that do not shut down, with this instance if it is
// one.
func (g *Gossiper) Members() []egretflow.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.liveMembers(g.cfg.Clock())
}

// liveMembers implements Members. The caller holds mu.
func (g *Gossiper) liveMembers(now time.Time) []egretflow.Member {
	members := make([]egretflow.Member, 0, len(g.members)+1)
	for _, m := range g.members {
		if !m.leaving && now.Sub(m.HeardAt) < memberTimeout {
			members = append(members, m.Member)
		}
	}
	if g.role == roleMember && !g.leaving {
		members = append(members, g.cfg.Self)
	}
	return members
}

// Instances returns the size of the fleet as far as it is known, this instance
// included.
func (g *Gossiper) Instances() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(g.instances, g.countInstances())
}

// Alone reports whether this instance is registered and the store shows no other one.
func (g *Gossiper) Alone() bool {
	answers := g.storeAnswers()
	g.mu.Lock()
	defer g.mu.Unlock()
	return answers && g.role == roleMember && len(g.members)+len(g.subscribers) == 0
}

// Relayed reports whether this instance reads the platform through a relay. One that no
// member answers reads it itself.
func (g *Gossiper) Relayed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.role == roleSubscriber && !g.isolated()
}

// countInstances counts the members and their subscribers. The caller holds mu.
func (g *Gossiper) countInstances() int {
	total := 1 + len(g.subscribers)
	for _, m := range g.members {
		total += 1 + m.subscribers
	}
	return total
}

// Run exchanges messages and keeps the registration until ctx ends. It closes the
// connection and the listener then. It returns an error only if the connection fails
// before.
func (g *Gossiper) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = g.cfg.Conn.Close() })
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { g.sendLoop(ctx) })
	wg.Go(func() { newRegistration(g).run(ctx) })
	wg.Go(func() { g.serveReads(ctx) })
	err := g.receive(ctx)
	wg.Wait()
	return err
}

// setRole sets the role of this instance.
func (g *Gossiper) setRole(r role) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setRoleLocked(r)
}

// setRoleLocked implements setRole. The caller holds mu.
func (g *Gossiper) setRoleLocked(r role) {
	g.markRoleKnown()
	if g.role != r {
		g.record(egretflow.EventMemberRoleChanged, "From", string(g.role), "To", string(r))
	}
	g.role = r
	g.membersDue = true
	g.wakeSender()
}

// receive handles datagrams until ctx ends or the connection fails.
func (g *Gossiper) receive(ctx context.Context) error {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := g.cfg.Conn.ReadFrom(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("receive datagram: %w", err)
		}
		if err := g.handleDatagram(buf[:n], from); err != nil {
			g.record(egretflow.EventDatagramRefused, "From", from.String(), "Error", err.Error())
		}
	}
}

// handleDatagram applies one datagram. It ignores messages of this instance itself and
// those that are not newer than the last one of their sender.
func (g *Gossiper) handleDatagram(data []byte, from net.Addr) error {
	m, err := decode(data)
	if err != nil {
		return err
	}
	address, ok := from.(*net.UDPAddr)
	if !ok {
		return fmt.Errorf("address of type %T", from)
	}
	now := g.cfg.Clock()
	if m.From == g.cfg.Self.Name || !g.accept(m, unmapped(address.AddrPort()), now) {
		return nil
	}
	if c := m.confirmation(now); !c.ReadAt.IsZero() || c.Configuration.Version > 0 {
		g.follower.ApplyConfirmation(c)
		g.forward()
	}
	if len(m.Hints.Changing)+len(m.Hints.Lost) > 0 {
		g.cfg.State.ApplyServerHints(m.Hints)
	}
	if len(m.Crashes) > 0 {
		g.cfg.State.MergeCrashReports(crashReports(m.Crashes, now))
		if g.noteCrashes(m.Crashes) {
			g.Wake()
		}
	}
	return nil
}

// noteCrashes notes received crash reports, and reports whether one of them is new, so
// that it must be passed on at once.
func (g *Gossiper) noteCrashes(crashes []crash) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.receivedCrashes) > maxReceivedCrashes {
		clear(g.receivedCrashes)
	}
	known := len(g.receivedCrashes)
	for _, c := range crashes {
		g.receivedCrashes[crashKey{c.Fingerprint, len(c.Servers)}] = struct{}{}
	}
	return len(g.receivedCrashes) > known
}

func unmapped(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// forward makes the sender check whether the subscribers must be sent what was
// received.
func (g *Gossiper) forward() {
	g.mu.Lock()
	due := len(g.subscribers) > 0
	g.updatesDue = g.updatesDue || due
	g.mu.Unlock()
	if due {
		g.wakeSender()
	}
}

// accept notes the sender of a message and reports whether the message is newer than
// all that were received from it.
func (g *Gossiper) accept(m *message, from netip.AddrPort, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	last := g.senders[m.From]
	older := m.Incarnation < last.incarnation || m.Incarnation == last.incarnation && m.Sequence <= last.sequence
	// A sender whose clock was set back may have a lower incarnation after a restart.
	if older && (m.Incarnation == last.incarnation || now.Sub(last.at) < memberTimeout) {
		return false
	}
	g.senders[m.From] = received{m.Incarnation, m.Sequence, now}
	switch m.Kind {
	case kindMember:
		g.acceptMember(m, from, now)
	case kindSubscribe:
		g.acceptSubscription(m, from, now)
	case kindUpdate:
		g.acceptUpdate(m, from, now)
	case kindAsk:
		g.asking[m.From] = from
		g.wakeSender()
	}
	return true
}

// acceptMember notes the state of another member. The caller holds mu.
func (g *Gossiper) acceptMember(m *message, from netip.AddrPort, now time.Time) {
	x := g.refreshMember(egretflow.Member{Name: m.From, Address: from, FailureDomain: m.Domain, ProcessorShare: m.ProcessorShare}, now)
	if x.leaving != m.Leaving || x.storeFailing != m.StoreFailing {
		g.recheckDue = true
		g.wakeSender()
	}
	x.leaving, x.subscribers, x.storeFailing, x.version = m.Leaving, m.Subscribers, m.StoreFailing, m.Configuration.Version
	for n := range m.Members {
		// Two instances that registered at the same time learn of each other from a
		// third one.
		if w := &m.Members[n]; g.members[w.Name] == nil && w.Name != g.cfg.Self.Name {
			g.refreshMember(w.member(now), now)
			g.membersDue = true
			g.wakeSender()
		}
	}
	delete(g.subscribers, m.From)
	if m.Instances > 0 {
		g.instances = m.Instances
	}
}

// acceptSubscription notes a subscriber. A new one is sent an update soon, as is one that
// takes this instance for a member although it is none. The caller holds mu.
func (g *Gossiper) acceptSubscription(m *message, from netip.AddrPort, now time.Time) {
	if _, known := g.subscribers[m.From]; !known || g.role == roleSubscriber {
		g.asking[m.From] = from
		g.wakeSender()
	}
	if m.Leaving {
		delete(g.subscribers, m.From)
		return
	}
	g.subscribers[m.From] = subscriber{address: from, heardAt: now, version: m.Configuration.Version}
}

// acceptUpdate takes the members that a relay lists. The caller holds mu.
func (g *Gossiper) acceptUpdate(m *message, from netip.AddrPort, now time.Time) {
	if g.role == roleMember {
		return
	}
	if g.role == roleNone {
		g.setRoleLocked(roleSubscriber)
	}
	g.instances = m.Instances
	listed := make(map[egretflow.InstanceName]bool, len(m.Members))
	for n := range m.Members {
		if w := &m.Members[n]; w.Name != g.cfg.Self.Name {
			listed[w.Name] = true
			g.refreshMember(w.member(now), now).leaving = false
		}
	}
	for name := range g.members {
		if !listed[name] {
			delete(g.members, name)
		}
	}
	if x := g.members[m.From]; x != nil {
		x.version = m.Configuration.Version
	}
	g.noteUpdate(m, now)
}

// refreshMember returns the member with the name of m, added if it is new, after
// setting what m states of it and when its last message arrived. The caller holds mu.
func (g *Gossiper) refreshMember(m egretflow.Member, now time.Time) *member {
	x, ok := g.members[m.Name]
	if !ok {
		x = &member{}
		g.members[m.Name] = x
		g.record(egretflow.EventMemberJoined, "Member", string(m.Name), "Address", m.Address.String())
	}
	m.State, m.HeardAt = egretflow.MemberStateLive, now
	x.Member = m
	return x
}

// record writes an event with fields given as pairs of a key and a value.
func (g *Gossiper) record(name egretflow.EventName, pairs ...string) {
	g.cfg.Recorder.Record(egretflow.NewEvent(name, g.cfg.Clock(), g.cfg.Self.Name, pairs...))
}
