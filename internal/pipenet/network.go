// Package pipenet is an in-memory TCP-like network for tests. It works inside
// testing/synctest bubbles, and its faults are exact and repeatable.
//
// # Usage
//
//	network := pipenet.New(egretflow.SystemClock)
//	ln, err := network.Listen(netip.MustParseAddrPort("10.0.0.1:80"))
//	...
//	go srv.Serve(ln)
//	transport := &http.Transport{DialContext: network.Dialer(netip.MustParseAddr("10.0.0.9"))}
//	network.Cut(netip.MustParseAddr("10.0.0.1"))
//
// # Rules
//
//  1. A host is an IP address. Every connection has two hosts, so faults can
//     be set for a host or for a pair.
//  2. Each direction of a connection buffers BufferBytes. A full buffer blocks
//     the writer until its deadline.
//  3. Cut models a dead process: open connections are reset and new ones are
//     refused until Restore. Reset models broken connections to a live process:
//     open connections are reset and new ones work.
//  4. Silence models connections that stop delivering: bytes written to an open
//     connection vanish, the close of one side is not seen by the other, and
//     new connections work.
//  5. Partition silences the connections between two hosts, and new ones between
//     them hang until Heal.
//  6. SetDelay delays the bytes of one direction. A dial takes both delays.
package pipenet

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/pkg/errors"
)

const (
	// BufferBytes is the size of the buffer of one direction.
	BufferBytes        = 64 << 10
	acceptQueue        = 1024
	firstEphemeralPort = 32768
	lastEphemeralPort  = 65535
)

// hosts is a pair of hosts in one direction.
type hosts struct{ from, to netip.Addr }

// Network is a set of hosts that can reach each other.
type Network struct {
	clock egretflow.Clock

	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
	conns     map[*conn]struct{}
	cut       map[netip.Addr]bool
	delays    map[hosts]time.Duration
	// partitions holds a channel for each pair, closed by Heal.
	partitions map[hosts]chan struct{}
	nextPort   uint16
}

// New returns a network without hosts.
func New(clock egretflow.Clock) *Network {
	return &Network{
		clock: clock, listeners: map[netip.AddrPort]*listener{}, conns: map[*conn]struct{}{},
		cut: map[netip.Addr]bool{}, delays: map[hosts]time.Duration{},
		partitions: map[hosts]chan struct{}{}, nextPort: firstEphemeralPort,
	}
}

// Listen returns a listener on the address.
func (n *Network) Listen(addr netip.AddrPort) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.listeners[addr]; ok {
		return nil, opError("listen", addr, syscall.EADDRINUSE)
	}
	l := &listener{network: n, addr: addr, queue: make(chan *conn, acceptQueue), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Dialer returns a DialContext function for connections from the host.
func (n *Network) Dialer(from netip.Addr) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		to, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, fmt.Errorf("parse address: %w", err)
		}
		if err := n.awaitPath(ctx, from, to); err != nil {
			return nil, err
		}
		return n.connect(from, to)
	}
}

// awaitPath waits for the end of a partition and for the round trip.
func (n *Network) awaitPath(ctx context.Context, from netip.Addr, to netip.AddrPort) error {
	there, back := hosts{from, to.Addr()}, hosts{to.Addr(), from}
	n.mu.Lock()
	roundTrip := n.delays[there] + n.delays[back]
	healed, parted := n.partitions[there]
	n.mu.Unlock()
	if parted {
		select {
		case <-healed:
		case <-ctx.Done():
			return opError("dial", to, ctx.Err())
		}
	}
	if roundTrip > 0 {
		select {
		case <-time.After(roundTrip):
		case <-ctx.Done():
			return opError("dial", to, ctx.Err())
		}
	}
	return nil
}

func (n *Network) connect(from netip.Addr, to netip.AddrPort) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.listeners[to]
	if !ok || n.cut[from] || n.cut[to.Addr()] {
		return nil, opError("dial", to, syscall.ECONNREFUSED)
	}
	local := netip.AddrPortFrom(from, n.nextPort)
	if n.nextPort == lastEphemeralPort {
		n.nextPort = firstEphemeralPort - 1
	}
	n.nextPort++
	there, back := newStream(n, hosts{from, to.Addr()}), newStream(n, hosts{to.Addr(), from})
	client := &conn{network: n, in: back, out: there, local: local, remote: to}
	server := &conn{network: n, in: there, out: back, local: to, remote: local}
	select {
	case l.queue <- server:
	default:
		return nil, opError("dial", to, syscall.ECONNREFUSED)
	}
	n.conns[client] = struct{}{}
	n.conns[server] = struct{}{}
	return client, nil
}

// Cut resets the connections of a host and refuses new ones.
func (n *Network) Cut(host netip.Addr) {
	n.mu.Lock()
	n.cut[host] = true
	n.mu.Unlock()
	n.each(func(h hosts) bool { return h.from == host || h.to == host }, (*stream).reset)
}

// Restore ends a cut.
func (n *Network) Restore(host netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, host)
}

// Reset resets the open connections of a host. New ones work throughout.
func (n *Network) Reset(host netip.Addr) {
	n.each(func(h hosts) bool { return h.from == host || h.to == host }, (*stream).reset)
}

// Silence stops the open connections of a host from delivering, for good.
func (n *Network) Silence(host netip.Addr) {
	n.each(func(h hosts) bool { return h.from == host || h.to == host }, (*stream).silence)
}

// Partition separates two hosts.
func (n *Network) Partition(a, b netip.Addr) {
	n.mu.Lock()
	if _, ok := n.partitions[hosts{a, b}]; !ok {
		healed := make(chan struct{})
		n.partitions[hosts{a, b}], n.partitions[hosts{b, a}] = healed, healed
	}
	n.mu.Unlock()
	n.each(func(h hosts) bool { return h == hosts{a, b} || h == hosts{b, a} }, (*stream).silence)
}

// Heal ends a partition. Connections from before it stay silent.
func (n *Network) Heal(a, b netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if healed, ok := n.partitions[hosts{a, b}]; ok {
		close(healed)
		delete(n.partitions, hosts{a, b})
		delete(n.partitions, hosts{b, a})
	}
}

// SetDelay delays bytes that are sent later on in one direction.
func (n *Network) SetDelay(from, to netip.Addr, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[hosts{from, to}] = d
}

func (n *Network) delay(h hosts) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delays[h]
}

// OpenConns returns the number of connection ends that are not closed.
func (n *Network) OpenConns() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns)
}

// each applies f to both directions of the connections that match. The second
// end of a connection has the same streams, and f has no further effect there.
func (n *Network) each(match func(h hosts) bool, f func(*stream)) {
	n.mu.Lock()
	var streams []*stream
	for c := range n.conns {
		if match(c.out.hosts) {
			streams = append(streams, c.in, c.out)
		}
	}
	n.mu.Unlock()
	for _, s := range streams {
		f(s)
	}
}

func opError(op string, addr netip.AddrPort, err error) error {
	var errno syscall.Errno
	if errors.As(err, &errno) {
		err = os.NewSyscallError(op, errno)
	}
	return &net.OpError{Op: op, Net: "tcp", Addr: net.TCPAddrFromAddrPort(addr), Err: err}
}
