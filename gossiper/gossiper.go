package gossiper

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/rendezvous"
)

const (
	// SendInterval is the least time between two messages.
	SendInterval = 50 * time.Millisecond
	// RepeatInterval is half of the lifetime that receivers give to a message.
	RepeatInterval = 500 * time.Millisecond
	// MaxDatagrams bounds the datagrams sent per second. 60 instances then know the
	// use of each other within 100 ms, in which a crest places about 30 requests.
	MaxDatagrams = 600
	// peerTimeout is how long an instance is a peer after it was last heard of.
	peerTimeout = 30 * time.Second
	// aliveInterval is the longest time without a message: peers forget an
	// instance that they do not hear.
	aliveInterval = 5 * time.Second
	// crashRepeats makes up for lost datagrams, and maxCrashes bounds the crash
	// reports of one message.
	crashRepeats = 3
	maxCrashes   = 16
	// maxDatagram bounds one message; a longer one is not sent.
	maxDatagram = 8 << 10
)

// State is the part of the scheduler that is told and that listens.
type State interface {
	PrefillLoad(now time.Time) egretflow.PrefillLoad
	ApplyPrefillLoad(from egretflow.InstanceName, load egretflow.PrefillLoad)
	Crashes(now time.Time) []egretflow.CrashReport
	MergeCrashes(reports []egretflow.CrashReport)
}

// Config holds what a Gossiper needs.
type Config struct {
	Self egretflow.Member
	// Incarnation grows with each start of the instance.
	Incarnation uint64
	// Conn is bound to the address of Self.
	Conn     net.PacketConn
	Store    egretflow.Store
	State    State
	Clock    egretflow.Clock
	Recorder egretflow.Recorder
	// Confirmation returns what is known to be current on the platform, and Hear
	// takes what a peer knows. Both may be nil.
	Confirmation func() egretflow.Confirmation
	Hear         func(c egretflow.Confirmation)
}

// message is one datagram.
type message struct {
	_           struct{} `cbor:",toarray"`
	From        egretflow.InstanceName
	Incarnation uint64
	Sequence    uint64
	Load        egretflow.PrefillLoad
	Crashes     []crash
	Confirmed   confirmed
}

// confirmed is a confirmation with its age, because the clocks of instances
// differ; the age is negative without one.
type confirmed struct {
	_        struct{} `cbor:",toarray"`
	Servers  uint64
	Revision int64
	Version  uint64
	AgeMS    int64
	Deltas   []egretflow.ServersDelta
}

// crash is a crash report whose end is told as what is left of it, because the
// clocks of instances differ.
type crash struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Servers     []egretflow.ServerName
	LeftMS      int64
}

// Gossiper exchanges messages with the peers.
type Gossiper struct {
	cfg      Config
	sequence uint64
	// told counts how often a crash was told; only the sender uses it.
	told map[crashKey]int
	// greet asks for a message to peers that do not know this instance yet.
	greet atomic.Bool
	// news wakes the sender.
	news chan struct{}

	mu    sync.Mutex
	peers map[egretflow.InstanceName]*peer
}

// peer is another instance.
type peer struct {
	address     netip.AddrPort
	heardAt     time.Time
	incarnation uint64
	sequence    uint64
}

// New returns a Gossiper without peers.
func New(cfg Config) *Gossiper {
	return &Gossiper{cfg: cfg, news: make(chan struct{}, 1), told: map[crashKey]int{}, peers: map[egretflow.InstanceName]*peer{}}
}

// Peers returns the number of other instances.
func (g *Gossiper) Peers() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.peers)
}

// Tell sends a message soon if the own use has changed or if this instance reads
// for all.
func (g *Gossiper) Tell() {
	select {
	case g.news <- struct{}{}:
	default:
	}
}

// readKey is what the instances are ranked for.
const readKey = "directory"

// Rank is the place of this instance among all, for reading the platform.
func (g *Gossiper) Rank() int {
	members := g.Members()
	top := rendezvous.Top(readKey, members, g.cfg.Self.Name, len(members)+1)
	return slices.IndexFunc(top, func(m egretflow.Member) bool { return m.Name == g.cfg.Self.Name })
}

func (g *Gossiper) confirmed(now time.Time) confirmed {
	if g.cfg.Confirmation == nil {
		return confirmed{AgeMS: -1}
	}
	c := g.cfg.Confirmation()
	if c.ReadAt.IsZero() {
		return confirmed{AgeMS: -1}
	}
	return confirmed{Servers: c.Servers, Revision: c.Revision, Version: c.Version, AgeMS: now.Sub(c.ReadAt).Milliseconds(), Deltas: c.Deltas}
}

// Members lists the other instances.
func (g *Gossiper) Members() []egretflow.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	members := make([]egretflow.Member, 0, len(g.peers))
	for name, p := range g.peers {
		members = append(members, egretflow.Member{Name: name, Address: p.address, State: egretflow.MemberStateLive, HeardAt: p.heardAt})
	}
	return members
}

// Run exchanges messages until ctx ends.
func (g *Gossiper) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = g.cfg.Conn.Close() })
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { g.send(ctx) })
	wg.Go(func() { (&registration{Gossiper: g}).run(ctx) })
	err := g.receive(ctx)
	wg.Wait()
	return err
}

// send tells the own use until ctx ends.
func (g *Gossiper) send(ctx context.Context) {
	var last []byte
	var sentAt time.Time
	for {
		told := false
		select {
		case <-ctx.Done():
			return
		case <-g.news:
			time.Sleep(SendInterval - g.cfg.Clock().Sub(sentAt))
			told = g.greet.Swap(false) || g.Rank() == 0
		case <-time.After(interval(g.Peers())):
		}
		now := g.cfg.Clock()
		body, empty := g.use(now)
		quiet := bytes.Equal(body, last) && (empty || now.Sub(sentAt) < RepeatInterval)
		if !told && quiet && now.Sub(sentAt) < aliveInterval {
			continue
		}
		last, sentAt = body, now
		g.broadcast(now, told)
	}
}

// interval is the time between two messages to the given number of peers.
func interval(peers int) time.Duration {
	return max(SendInterval, time.Duration(peers)*time.Second/MaxDatagrams)
}

// use returns the own use in a form that shows a change.
func (g *Gossiper) use(now time.Time) (body []byte, empty bool) {
	load := g.cfg.State.PrefillLoad(now)
	// The encoding of these types cannot fail.
	body, _ = cbor.Marshal(load)
	return body, len(load.Backlogs) == 0 && len(load.Queues) == 0
}

// broadcast sends one message to all peers; news says that it also tells how the
// servers have changed.
func (g *Gossiper) broadcast(now time.Time, news bool) {
	g.sequence++
	m := message{From: g.cfg.Self.Name, Incarnation: g.cfg.Incarnation, Sequence: g.sequence, Load: g.cfg.State.PrefillLoad(now)}
	m.Crashes = g.newCrashes(now)
	m.Confirmed = g.confirmed(now)
	if !news {
		m.Confirmed.Deltas = nil
	}
	data, err := cbor.Marshal(m)
	if err != nil || len(data) > maxDatagram {
		g.record(egretflow.EventGossipFailed, "Error", fmt.Sprintf("message of %d bytes: %v", len(data), err))
		return
	}
	for _, to := range g.addresses(now) {
		// A datagram may be lost anyway; the next one makes up for it.
		_, _ = g.cfg.Conn.WriteTo(data, net.UDPAddrFromAddrPort(to))
	}
}

// newCrashes lists the crash reports that were told less than crashRepeats times.
func (g *Gossiper) newCrashes(now time.Time) []crash {
	reports := g.cfg.State.Crashes(now)
	if len(reports) == 0 {
		clear(g.told)
	}
	var crashes []crash
	for _, r := range reports {
		key := crashKey{r.Fingerprint, len(r.Servers)}
		if g.told[key] >= crashRepeats || len(crashes) == maxCrashes {
			continue
		}
		g.told[key]++
		crashes = append(crashes, crash{Fingerprint: r.Fingerprint, Servers: r.Servers, LeftMS: r.ExpiresAt.Sub(now).Milliseconds()})
	}
	return crashes
}

// crashKey is what has been told of a crash.
type crashKey struct {
	fingerprint uint64
	losses      int
}

// addresses lists the peers and forgets those that were not heard for long.
func (g *Gossiper) addresses(now time.Time) []netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]netip.AddrPort, 0, len(g.peers))
	for name, p := range g.peers {
		if now.Sub(p.heardAt) > peerTimeout {
			delete(g.peers, name)
			g.record(egretflow.EventMemberLost, "Member", string(name))
			continue
		}
		list = append(list, p.address)
	}
	return list
}

func (g *Gossiper) receive(ctx context.Context) error {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := g.cfg.Conn.ReadFrom(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("receive datagram: %w", err)
		}
		if err := g.take(buf[:n], from); err != nil {
			g.record(egretflow.EventGossipFailed, "From", from.String(), "Error", err.Error())
		}
	}
}

// take applies one datagram unless a newer one of its sender came before.
func (g *Gossiper) take(data []byte, from net.Addr) error {
	var m message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return fmt.Errorf("decode datagram: %w", err)
	}
	if err := egretflow.CheckName("From", string(m.From)); err != nil {
		return err
	}
	address, ok := from.(*net.UDPAddr)
	if !ok {
		return errors.Errorf("address of type %T", from)
	}
	now := g.cfg.Clock()
	if m.From == g.cfg.Self.Name || !g.hear(&m, address.AddrPort(), now) {
		return nil
	}
	g.cfg.State.ApplyPrefillLoad(m.From, m.Load)
	if m.Confirmed.AgeMS >= 0 && g.cfg.Hear != nil {
		g.cfg.Hear(egretflow.Confirmation{
			Servers: m.Confirmed.Servers, Revision: m.Confirmed.Revision, Version: m.Confirmed.Version,
			ReadAt: now.Add(-time.Duration(m.Confirmed.AgeMS) * time.Millisecond), Deltas: m.Confirmed.Deltas,
		})
	}
	if len(m.Crashes) > 0 {
		g.cfg.State.MergeCrashes(reportsOf(m.Crashes, now))
	}
	return nil
}

func reportsOf(crashes []crash, now time.Time) []egretflow.CrashReport {
	reports := make([]egretflow.CrashReport, len(crashes))
	for n, c := range crashes {
		reports[n] = egretflow.CrashReport{
			Fingerprint: c.Fingerprint, Servers: c.Servers, ExpiresAt: now.Add(time.Duration(c.LeftMS) * time.Millisecond),
		}
	}
	return reports
}

// hear notes the sender and reports whether the message is its newest.
func (g *Gossiper) hear(m *message, from netip.AddrPort, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peer(m.From, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), now)
	if m.Incarnation < p.incarnation || m.Incarnation == p.incarnation && m.Sequence <= p.sequence {
		return false
	}
	p.incarnation, p.sequence = m.Incarnation, m.Sequence
	return true
}

// peer returns the peer with the given name and notes that it lives. The caller
// holds mu.
func (g *Gossiper) peer(name egretflow.InstanceName, address netip.AddrPort, now time.Time) *peer {
	p, ok := g.peers[name]
	if !ok {
		p = &peer{}
		g.peers[name] = p
		g.record(egretflow.EventMemberJoined, "Member", string(name), "Address", address.String())
	}
	p.address, p.heardAt = address, now
	return p
}

// record writes an event with pairs of keys and values.
func (g *Gossiper) record(name egretflow.EventName, pairs ...string) {
	g.cfg.Recorder.Record(egretflow.NewEvent(name, g.cfg.Clock(), g.cfg.Self.Name, pairs...))
}
