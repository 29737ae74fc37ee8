// Package pipenet is an in-memory network for tests that behaves like TCP. It
// works inside testing/synctest bubbles, and its faults take effect at exact,
// repeatable times.
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
//     be set for a host or for a pair of hosts.
//  2. Each direction of a connection buffers up to BufferBytes, or what SetBuffer has
//     set before the connection was made. A full buffer blocks the writer until the
//     reader has read or the write deadline passes.
//  3. Cut models a terminated process: the open connections of the host are reset
//     and new ones are refused until Restore. Reset models broken connections to a
//     running process: the open connections are reset and new ones work.
//  4. Silence models connections that stop delivering data: bytes written to an
//     open connection of the host never arrive, and neither end sees the other
//     one close. New connections work.
//  5. Partition silences the open connections between two hosts. New connections
//     between them block until Heal.
//  6. SetDelay delays the bytes sent in one direction. A dial takes the sum of the
//     delays of both directions.
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
	// BufferBytes is the buffer size of one direction of a connection.
	BufferBytes        = 64 << 10
	acceptBacklog      = 1024
	firstEphemeralPort = 32768
	lastEphemeralPort  = 65535
)

// direction identifies the direction of a connection by its two hosts.
type direction struct{ from, to netip.Addr }

// Network is an in-memory network. Its methods are safe for concurrent use.
type Network struct {
	clock egretflow.Clock

	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
	conns     map[*conn]struct{}
	cut       map[netip.Addr]bool
	delays    map[direction]time.Duration
	// partitions holds a channel for each direction between partitioned hosts;
	// Heal closes it.
	partitions map[direction]chan struct{}
	nextPort   uint16
	// bufferBytes is the buffer size of new connections.
	bufferBytes int
}

// New returns a network without hosts.
func New(clock egretflow.Clock) *Network {
	return &Network{
		clock: clock, listeners: map[netip.AddrPort]*listener{}, conns: map[*conn]struct{}{},
		cut: map[netip.Addr]bool{}, delays: map[direction]time.Duration{},
		partitions: map[direction]chan struct{}{}, nextPort: firstEphemeralPort, bufferBytes: BufferBytes,
	}
}

// SetBuffer sets the buffer size of one direction of connections that are made later.
func (n *Network) SetBuffer(bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bufferBytes = bytes
}

// Listen returns a listener for the address.
func (n *Network) Listen(addr netip.AddrPort) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.listeners[addr]; ok {
		return nil, opError("listen", addr, syscall.EADDRINUSE)
	}
	l := &listener{network: n, addr: addr, queue: make(chan *conn, acceptBacklog), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Dialer returns a DialContext function that opens connections from the given
// host. The addresses to dial must be IP addresses with ports.
func (n *Network) Dialer(from netip.Addr) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		to, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, fmt.Errorf("parse address: %w", err)
		}
		if err := n.waitReachable(ctx, from, to); err != nil {
			return nil, err
		}
		return n.connect(from, to)
	}
}

// waitReachable waits for the end of a partition, then for the round trip.
func (n *Network) waitReachable(ctx context.Context, from netip.Addr, to netip.AddrPort) error {
	forward, reverse := direction{from, to.Addr()}, direction{to.Addr(), from}
	n.mu.Lock()
	roundTrip := n.delays[forward] + n.delays[reverse]
	healed, partitioned := n.partitions[forward]
	n.mu.Unlock()
	if partitioned {
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
	forward, reverse := newStream(n, direction{from, to.Addr()}), newStream(n, direction{to.Addr(), from})
	client := &conn{network: n, in: reverse, out: forward, local: local, remote: to}
	server := &conn{network: n, in: forward, out: reverse, local: to, remote: local}
	select {
	case l.queue <- server:
	default:
		return nil, opError("dial", to, syscall.ECONNREFUSED)
	}
	n.conns[client] = struct{}{}
	n.conns[server] = struct{}{}
	return client, nil
}

// Cut resets the open connections of a host and refuses new ones until Restore.
func (n *Network) Cut(host netip.Addr) {
	n.mu.Lock()
	n.cut[host] = true
	n.mu.Unlock()
	n.forEachStream(func(h direction) bool { return h.from == host || h.to == host }, (*stream).reset)
}

// Restore lets a host that was cut open and accept connections again.
func (n *Network) Restore(host netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, host)
}

// Reset resets the open connections of a host. New connections work.
func (n *Network) Reset(host netip.Addr) {
	n.forEachStream(func(h direction) bool { return h.from == host || h.to == host }, (*stream).reset)
}

// Silence permanently stops the open connections of a host from delivering
// data.
func (n *Network) Silence(host netip.Addr) {
	n.forEachStream(func(h direction) bool { return h.from == host || h.to == host }, (*stream).silence)
}

// Partition silences the open connections between two hosts and blocks new ones
// until Heal.
func (n *Network) Partition(a, b netip.Addr) {
	n.mu.Lock()
	if _, ok := n.partitions[direction{a, b}]; !ok {
		healed := make(chan struct{})
		n.partitions[direction{a, b}], n.partitions[direction{b, a}] = healed, healed
	}
	n.mu.Unlock()
	n.forEachStream(func(h direction) bool { return h == direction{a, b} || h == direction{b, a} }, (*stream).silence)
}

// Heal ends a partition. Connections that it silenced stay silent.
func (n *Network) Heal(a, b netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if healed, ok := n.partitions[direction{a, b}]; ok {
		close(healed)
		delete(n.partitions, direction{a, b})
		delete(n.partitions, direction{b, a})
	}
}

// SetDelay sets the delay of bytes that are sent in one direction from now on.
func (n *Network) SetDelay(from, to netip.Addr, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[direction{from, to}] = d
}

func (n *Network) delay(h direction) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delays[h]
}

// OpenConns returns the number of connection ends that are not closed. An open
// connection counts twice.
func (n *Network) OpenConns() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns)
}

// forEachStream applies f to both directions of the connections that match.
// Both ends of a connection share their streams, so f may be called twice for a
// stream and must be idempotent.
func (n *Network) forEachStream(match func(h direction) bool, f func(*stream)) {
	n.mu.Lock()
	var streams []*stream
	for c := range n.conns {
		if match(c.out.direction) {
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
