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
	// SendInterval is the shortest time between two messages.
	SendInterval = 50 * time.Millisecond
	// RepeatInterval is the time after which an unchanged load is sent again. It is
	// half of the time for which receivers use a load.
	RepeatInterval = 500 * time.Millisecond
	// MaxDatagramsPerSecond bounds the datagrams that one instance sends to all its
	// peers. With it, 60 instances know each other's load within 100 ms, in which a
	// load peak places about 30 requests.
	MaxDatagramsPerSecond = 600
	// peerTimeout is how long an instance stays a peer after its last message, or
	// after its registration was last read.
	peerTimeout = 30 * time.Second
	// keepaliveInterval is the longest time without a message. It is shorter than
	// peerTimeout, so that peers keep an instance without load.
	keepaliveInterval = 5 * time.Second
	// crashSends is how often a crash report is sent, in case datagrams are lost.
	crashSends = 3
	// maxCrashesPerMessage bounds the crash reports in one message.
	maxCrashesPerMessage = 16
	// maxDatagramBytes bounds one encoded message; a longer one is not sent.
	maxDatagramBytes = 8 << 10
)

// State is the part of the scheduler whose state is sent to the peers and that
// applies what they send.
type State interface {
	PrefillLoad(now time.Time) egretflow.PrefillLoad
	ApplyPrefillLoad(from egretflow.InstanceName, load egretflow.PrefillLoad)
	CrashReports(now time.Time) []egretflow.CrashReport
	MergeCrashReports(reports []egretflow.CrashReport)
}

// Config holds the settings and dependencies of a Gossiper.
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
	// Confirmation returns what this instance knows to be current on the platform,
	// and ApplyConfirmation applies what a peer knows. Both may be nil.
	Confirmation      func() egretflow.Confirmation
	ApplyConfirmation func(c egretflow.Confirmation)
}

// message is the content of one datagram, in CBOR.
type message struct {
	_           struct{} `cbor:",toarray"`
	From        egretflow.InstanceName
	Incarnation uint64
	Sequence    uint64
	Load        egretflow.PrefillLoad
	Crashes     []crash
	Confirmed   confirmation
}

// confirmation is an egretflow.Confirmation with its age instead of its time, because
// the clocks of instances differ. AgeMS is negative if there is none.
type confirmation struct {
	_        struct{} `cbor:",toarray"`
	Servers  uint64
	Revision int64
	Version  uint64
	AgeMS    int64
	Deltas   []egretflow.ServersDelta
}

// crash is a crash report with the remaining time instead of its end, because the
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
	// sendCounts counts how often each crash report was sent. Only the goroutine of
	// send uses it.
	sendCounts map[crashKey]int
	// announce asks the sender for a message even if nothing has changed, for peers
	// that do not know this instance yet.
	announce atomic.Bool
	// wake wakes the sender.
	wake chan struct{}

	mu    sync.Mutex
	peers map[egretflow.InstanceName]*peer
}

// peer is what is known of another instance.
type peer struct {
	address netip.AddrPort
	heardAt time.Time
	// incarnation and sequence are those of its newest message.
	incarnation uint64
	sequence    uint64
}

// New returns a Gossiper without peers.
func New(cfg Config) *Gossiper {
	return &Gossiper{cfg: cfg, wake: make(chan struct{}, 1), sendCounts: map[crashKey]int{}, peers: map[egretflow.InstanceName]*peer{}}
}

// Peers returns the number of other instances.
func (g *Gossiper) Peers() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.peers)
}

// Wake wakes the sender before its interval ends. It sends a message if the
// local load has changed, if a message is due anyway, or if this instance has
// rank 0 and thus reads the platform for all.
func (g *Gossiper) Wake() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// rankKey is the key for which the instances are ranked by rendezvous hashing.
const rankKey = "directory"

// Rank returns the position of this instance in the order in which instances read
// the platform for all. It is 0 for the one that reads.
func (g *Gossiper) Rank() int {
	members := g.Members()
	top := rendezvous.Top(rankKey, members, g.cfg.Self.Name, len(members)+1)
	return slices.IndexFunc(top, func(m egretflow.Member) bool { return m.Name == g.cfg.Self.Name })
}

// confirmation returns what this instance knows of the platform, in the form that
// messages carry. AgeMS is negative before the first successful read.
func (g *Gossiper) confirmation(now time.Time) confirmation {
	if g.cfg.Confirmation == nil {
		return confirmation{AgeMS: -1}
	}
	c := g.cfg.Confirmation()
	if c.ReadAt.IsZero() {
		return confirmation{AgeMS: -1}
	}
	return confirmation{Servers: c.Servers, Revision: c.Revision, Version: c.Version, AgeMS: now.Sub(c.ReadAt).Milliseconds(), Deltas: c.Deltas}
}

// Members lists the other instances. HeardAt is when each last sent a message or was
// last found in the store.
func (g *Gossiper) Members() []egretflow.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	members := make([]egretflow.Member, 0, len(g.peers))
	for name, p := range g.peers {
		members = append(members, egretflow.Member{Name: name, Address: p.address, State: egretflow.MemberStateLive, HeardAt: p.heardAt})
	}
	return members
}

// Run exchanges messages and keeps the registration until ctx ends. It closes the
// connection then. It returns an error only if the connection fails before.
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

// send sends a message whenever one is due, until ctx ends.
func (g *Gossiper) send(ctx context.Context) {
	var last []byte
	var sentAt time.Time
	for {
		withDeltas := false
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
			time.Sleep(SendInterval - g.cfg.Clock().Sub(sentAt))
			withDeltas = g.announce.Swap(false) || g.Rank() == 0
		case <-time.After(interval(g.Peers())):
		}
		now := g.cfg.Clock()
		body, empty := g.encodeLoad(now)
		upToDate := bytes.Equal(body, last) && (empty || now.Sub(sentAt) < RepeatInterval)
		if !withDeltas && upToDate && now.Sub(sentAt) < keepaliveInterval {
			continue
		}
		last, sentAt = body, now
		g.broadcast(now, withDeltas)
	}
}

// interval returns the time between two messages to the given number of peers.
func interval(peers int) time.Duration {
	return max(SendInterval, time.Duration(peers)*time.Second/MaxDatagramsPerSecond)
}

// encodeLoad returns the encoded local load, to be compared with the last one sent,
// and whether there is none.
func (g *Gossiper) encodeLoad(now time.Time) (body []byte, empty bool) {
	load := g.cfg.State.PrefillLoad(now)
	// The encoding of these types cannot fail.
	body, _ = cbor.Marshal(load)
	return body, len(load.Backlogs) == 0 && len(load.Queues) == 0
}

// broadcast sends one message to all peers. If withDeltas is true, it also carries
// the latest changes of the server list.
func (g *Gossiper) broadcast(now time.Time, withDeltas bool) {
	g.sequence++
	m := message{From: g.cfg.Self.Name, Incarnation: g.cfg.Incarnation, Sequence: g.sequence, Load: g.cfg.State.PrefillLoad(now)}
	m.Crashes = g.crashesToSend(now)
	m.Confirmed = g.confirmation(now)
	if !withDeltas {
		m.Confirmed.Deltas = nil
	}
	data, err := cbor.Marshal(m)
	if err != nil || len(data) > maxDatagramBytes {
		g.record(egretflow.EventGossipFailed, "Error", fmt.Sprintf("message of %d bytes: %v", len(data), err))
		return
	}
	for _, to := range g.livePeerAddresses(now) {
		// Errors are ignored: datagrams may be lost anyway, and the next message
		// carries the whole load again.
		_, _ = g.cfg.Conn.WriteTo(data, net.UDPAddrFromAddrPort(to))
	}
}

// crashesToSend returns the crash reports for the next message, which are those that
// were sent less than crashSends times, and counts them as sent.
func (g *Gossiper) crashesToSend(now time.Time) []crash {
	reports := g.cfg.State.CrashReports(now)
	if len(reports) == 0 {
		clear(g.sendCounts)
	}
	var crashes []crash
	for _, r := range reports {
		key := crashKey{r.Fingerprint, len(r.Servers)}
		if g.sendCounts[key] >= crashSends || len(crashes) == maxCrashesPerMessage {
			continue
		}
		g.sendCounts[key]++
		crashes = append(crashes, crash{Fingerprint: r.Fingerprint, Servers: r.Servers, LeftMS: r.ExpiresAt.Sub(now).Milliseconds()})
	}
	return crashes
}

// crashKey identifies a crash report for sendCounts. A report to which lost servers
// were added counts as a new one.
type crashKey struct {
	fingerprint uint64
	lostServers int
}

// livePeerAddresses returns the addresses of the peers after it has removed those
// that have been silent for peerTimeout.
func (g *Gossiper) livePeerAddresses(now time.Time) []netip.AddrPort {
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
			g.record(egretflow.EventGossipFailed, "From", from.String(), "Error", err.Error())
		}
	}
}

// handleDatagram applies one datagram. It ignores messages of this instance itself and
// those that are not newer than the last one of their sender.
func (g *Gossiper) handleDatagram(data []byte, from net.Addr) error {
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
	if m.From == g.cfg.Self.Name || !g.acceptMessage(&m, address.AddrPort(), now) {
		return nil
	}
	g.cfg.State.ApplyPrefillLoad(m.From, m.Load)
	if m.Confirmed.AgeMS >= 0 && g.cfg.ApplyConfirmation != nil {
		g.cfg.ApplyConfirmation(egretflow.Confirmation{
			Servers: m.Confirmed.Servers, Revision: m.Confirmed.Revision, Version: m.Confirmed.Version,
			ReadAt: now.Add(-time.Duration(m.Confirmed.AgeMS) * time.Millisecond), Deltas: m.Confirmed.Deltas,
		})
	}
	if len(m.Crashes) > 0 {
		g.cfg.State.MergeCrashReports(crashReports(m.Crashes, now))
	}
	return nil
}

// crashReports converts received crash reports; their remaining time counts from now.
func crashReports(crashes []crash, now time.Time) []egretflow.CrashReport {
	reports := make([]egretflow.CrashReport, len(crashes))
	for n, c := range crashes {
		reports[n] = egretflow.CrashReport{
			Fingerprint: c.Fingerprint, Servers: c.Servers, ExpiresAt: now.Add(time.Duration(c.LeftMS) * time.Millisecond),
		}
	}
	return reports
}

// acceptMessage adds the sender to the live peers and reports whether the message is
// newer than all that were received from it.
func (g *Gossiper) acceptMessage(m *message, from netip.AddrPort, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.refreshPeer(m.From, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), now)
	if m.Incarnation < p.incarnation || m.Incarnation == p.incarnation && m.Sequence <= p.sequence {
		return false
	}
	p.incarnation, p.sequence = m.Incarnation, m.Sequence
	return true
}

// refreshPeer returns the peer with the given name, added if it is new, after setting
// its address and the time at which it was last heard from. The caller holds mu.
func (g *Gossiper) refreshPeer(name egretflow.InstanceName, address netip.AddrPort, now time.Time) *peer {
	p, ok := g.peers[name]
	if !ok {
		p = &peer{}
		g.peers[name] = p
		g.record(egretflow.EventMemberJoined, "Member", string(name), "Address", address.String())
	}
	p.address, p.heardAt = address, now
	return p
}

// record writes an event with fields given as pairs of a key and a value.
func (g *Gossiper) record(name egretflow.EventName, pairs ...string) {
	g.cfg.Recorder.Record(egretflow.NewEvent(name, g.cfg.Clock(), g.cfg.Self.Name, pairs...))
}
