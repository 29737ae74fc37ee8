package pipenet

import (
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// listener implements net.Listener.
type listener struct {
	network *Network
	addr    netip.AddrPort
	queue   chan *conn
	once    sync.Once
	closed  chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, opError("accept", l.addr, net.ErrClosed)
	default:
	}
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, opError("accept", l.addr, net.ErrClosed)
	}
}

// Close refuses new connections and resets those that were not accepted yet.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.addr)
		l.network.mu.Unlock()
		close(l.closed)
		for {
			select {
			case c := <-l.queue:
				c.in.reset()
				c.out.reset()
				_ = c.Close()
			default:
				return
			}
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }

// conn is one end of a connection. It implements net.Conn.
type conn struct {
	network       *Network
	in, out       *stream
	local, remote netip.AddrPort
}

func (c *conn) Read(p []byte) (int, error) {
	count, err := c.in.read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = opError("read", c.remote, err)
	}
	return count, err
}

func (c *conn) Write(p []byte) (int, error) {
	count, err := c.out.write(p)
	if err != nil {
		err = opError("write", c.remote, err)
	}
	return count, err
}

func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	c.in.closeReader()
	c.out.closeWriter()
	return nil
}

func (c *conn) LocalAddr() net.Addr  { return net.TCPAddrFromAddrPort(c.local) }
func (c *conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }

func (c *conn) SetDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	c.out.setWriteDeadline(t)
	return nil
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	return nil
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.setWriteDeadline(t)
	return nil
}

// segment is a part of a stream that arrives at one time. A segment without
// data marks the end of the stream.
type segment struct {
	data []byte
	at   time.Time
}

// stream is one direction of a connection.
type stream struct {
	network   *Network
	direction direction
	// capacity is the buffer size in bytes.
	capacity int

	mu sync.Mutex
	// changed is closed and replaced at every change of the stream.
	changed       chan struct{}
	segments      []segment
	buffered      int
	silent        bool
	err           error
	readerClosed  bool
	writerClosed  bool
	readDeadline  time.Time
	writeDeadline time.Time
}

func newStream(n *Network, h direction) *stream {
	return &stream{network: n, direction: h, capacity: n.bufferBytes, changed: make(chan struct{})}
}

// update calls f with the lock held and wakes blocked readers and writers.
func (s *stream) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	s.notifyChange()
}

func (s *stream) notifyChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) reset()   { s.update(func() { s.err = syscall.ECONNRESET }) }
func (s *stream) silence() { s.update(func() { s.silent = true }) }

func (s *stream) setReadDeadline(t time.Time)  { s.update(func() { s.readDeadline = t }) }
func (s *stream) setWriteDeadline(t time.Time) { s.update(func() { s.writeDeadline = t }) }

func (s *stream) closeReader() { s.update(func() { s.readerClosed = true }) }

func (s *stream) closeWriter() {
	delay := s.network.delay(s.direction)
	s.update(func() {
		if !s.writerClosed {
			s.writerClosed = true
			s.append(segment{at: s.network.clock().Add(delay)})
		}
	})
}

// append adds a segment. Its arrival time is raised if needed to keep the order
// of segments after the delay has become shorter.
func (s *stream) append(seg segment) {
	if last := len(s.segments) - 1; last >= 0 && s.segments[last].at.After(seg.at) {
		seg.at = s.segments[last].at
	}
	s.segments = append(s.segments, seg)
}

func (s *stream) read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		now := s.network.clock()
		switch {
		case s.readerClosed:
			return 0, net.ErrClosed
		case s.err != nil:
			return 0, s.err
		case expired(s.readDeadline, now):
			return 0, os.ErrDeadlineExceeded
		case len(p) == 0:
			return 0, nil
		}
		var arrivesAt time.Time
		if len(s.segments) > 0 && !s.silent {
			if arrivesAt = s.segments[0].at; !arrivesAt.After(now) {
				return s.readSegment(p)
			}
		}
		s.wait(now, s.readDeadline, arrivesAt)
	}
}

func (s *stream) readSegment(p []byte) (int, error) {
	first := &s.segments[0]
	if first.data == nil {
		return 0, io.EOF
	}
	count := copy(p, first.data)
	first.data = first.data[count:]
	if len(first.data) == 0 {
		s.segments = s.segments[1:]
	}
	s.buffered -= count
	s.notifyChange()
	return count, nil
}

func (s *stream) write(p []byte) (int, error) {
	delay := s.network.delay(s.direction)
	s.mu.Lock()
	defer s.mu.Unlock()
	written := 0
	for written < len(p) {
		now := s.network.clock()
		switch {
		case s.writerClosed:
			return written, net.ErrClosed
		case s.err != nil:
			return written, s.err
		case s.readerClosed && !s.silent:
			return written, syscall.EPIPE
		case expired(s.writeDeadline, now):
			return written, os.ErrDeadlineExceeded
		}
		count := min(s.capacity-s.buffered, len(p)-written)
		if count == 0 {
			s.wait(now, s.writeDeadline, time.Time{})
			continue
		}
		data := append([]byte(nil), p[written:written+count]...)
		s.append(segment{data: data, at: now.Add(delay)})
		s.buffered += count
		written += count
		s.notifyChange()
	}
	return written, nil
}

// wait releases the lock until the stream changes or the earliest of the given
// times has come. Zero times are ignored.
func (s *stream) wait(now time.Time, times ...time.Time) {
	changed := s.changed
	var timeout <-chan time.Time
	var next time.Time
	for _, at := range times {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	if !next.IsZero() {
		timer := time.NewTimer(next.Sub(now))
		defer timer.Stop()
		timeout = timer.C
	}
	s.mu.Unlock()
	select {
	case <-changed:
	case <-timeout:
	}
	s.mu.Lock()
}

func expired(deadline, now time.Time) bool {
	return !deadline.IsZero() && !now.Before(deadline)
}
