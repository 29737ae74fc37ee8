// Package packetnet is an in-memory network of datagrams for tests that run in
// virtual time. A test can lose, repeat, delay and cut off datagrams.
//
// # Usage
//
//	n := packetnet.New(rand.New(rand.NewPCG(1, 2)))
//	conn := n.Listen(netip.MustParseAddrPort("10.0.0.1:80")) // a net.PacketConn
//	n.SetFaults(packetnet.Faults{Loss: 0.1, Repeat: 0.1})
//	n.Cut(netip.MustParseAddr("10.0.0.1"), true)
package packetnet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

const (
	// delay is the time that a datagram takes without faults.
	delay = time.Millisecond
	// queueLength is the number of datagrams that a connection keeps unread; more
	// are lost.
	queueLength = 1024
)

// Faults says what happens to datagrams.
type Faults struct {
	// Loss and Repeat are the probabilities that a datagram is lost, or arrives
	// twice. Jitter is the longest additional delay, which reorders datagrams.
	Loss   float64
	Repeat float64
	Jitter time.Duration
}

// Network connects the connections that it has returned. It is safe for concurrent
// use.
type Network struct {
	mu     sync.Mutex
	rand   *rand.Rand
	faults Faults
	conns  map[netip.AddrPort]*conn
	cut    map[netip.Addr]bool
	// muted holds the hosts that receive datagrams but whose own are lost.
	muted map[netip.Addr]bool
	sent  map[netip.AddrPort]int
}

// New returns a network without faults.
func New(r *rand.Rand) *Network {
	return &Network{rand: r, conns: map[netip.AddrPort]*conn{}, cut: map[netip.Addr]bool{}, muted: map[netip.Addr]bool{}, sent: map[netip.AddrPort]int{}}
}

// SetFaults replaces the faults.
func (n *Network) SetFaults(f Faults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = f
}

// Cut cuts a host off from all others, or connects it again.
func (n *Network) Cut(host netip.Addr, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[host] = cut
}

// Mute loses all datagrams that a host sends, or delivers them again.
func (n *Network) Mute(host netip.Addr, muted bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.muted[host] = muted
}

// Sent returns the number of datagrams that were sent from an address.
func (n *Network) Sent(from netip.AddrPort) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent[from]
}

// Listen returns a connection at an address, in place of an earlier one.
func (n *Network) Listen(at netip.AddrPort) net.PacketConn {
	c := &conn{network: n, address: at, queue: make(chan datagram, queueLength), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[at] = c
	return c
}

// deliver hands a datagram to its receiver after the delays that the faults add.
func (n *Network) deliver(from, to netip.AddrPort, data []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent[from]++
	if n.cut[from.Addr()] || n.cut[to.Addr()] || n.muted[from.Addr()] || n.rand.Float64() < n.faults.Loss {
		return
	}
	copies := 1
	if n.rand.Float64() < n.faults.Repeat {
		copies++
	}
	for range copies {
		after := delay
		if n.faults.Jitter > 0 {
			after += time.Duration(n.rand.Int64N(int64(n.faults.Jitter)))
		}
		time.AfterFunc(after, func() { n.receive(from, to, data) })
	}
}

func (n *Network) receive(from, to netip.AddrPort, data []byte) {
	n.mu.Lock()
	c := n.conns[to]
	cut := n.cut[from.Addr()] || n.cut[to.Addr()]
	n.mu.Unlock()
	if c == nil || cut {
		return
	}
	select {
	case c.queue <- datagram{from: from, data: data}:
	case <-c.closed:
	default:
	}
}

type datagram struct {
	from netip.AddrPort
	data []byte
}

// conn implements net.PacketConn without deadlines.
type conn struct {
	network *Network
	address netip.AddrPort
	queue   chan datagram
	once    sync.Once
	closed  chan struct{}
}

func (c *conn) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case d := <-c.queue:
		return copy(p, d.data), net.UDPAddrFromAddrPort(d.from), nil
	case <-c.closed:
		return 0, nil, fmt.Errorf("read datagram at %s: %w", c.address, net.ErrClosed)
	}
}

func (c *conn) WriteTo(p []byte, to net.Addr) (int, error) {
	address, ok := to.(*net.UDPAddr)
	if !ok {
		return 0, fmt.Errorf("send datagram: address of type %T", to)
	}
	c.network.deliver(c.address, address.AddrPort(), append([]byte(nil), p...))
	return len(p), nil
}

func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

func (c *conn) LocalAddr() net.Addr              { return net.UDPAddrFromAddrPort(c.address) }
func (c *conn) SetDeadline(time.Time) error      { return os.ErrNoDeadline }
func (c *conn) SetReadDeadline(time.Time) error  { return os.ErrNoDeadline }
func (c *conn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }
