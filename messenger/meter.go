package messenger

import (
	"fmt"
	"net"
	"sync/atomic"

	"golang.org/x/time/rate"

	"github.com/egretflow/egretflow"
)

// BudgetBytesPerSecond is what one instance may write to its peers (1.5).
const BudgetBytesPerSecond = 6000

// plannedShare is the part of the budget, in percent, up to which early messages
// and early changes are sent. The rest is for responses to those of peers, which
// are not limited: with 85% one of 64 instances wrote 6,059 B/s.
const plannedShare = 70

// Meter counts the bytes on the sockets between instances and charges the
// written ones to a budget. It is safe for concurrent use.
type Meter struct {
	clock   egretflow.Clock
	limiter *rate.Limiter
	written atomic.Int64
	read    atomic.Int64
}

// NewMeter returns a meter with a budget in bytes per second. At most one second
// of it is saved up.
func NewMeter(bytesPerSecond int, clock egretflow.Clock) *Meter {
	planned := bytesPerSecond * plannedShare / 100
	return &Meter{clock: clock, limiter: rate.NewLimiter(rate.Limit(planned), planned)}
}

// Written returns the bytes written to sockets so far.
func (m *Meter) Written() int64 { return m.written.Load() }

// Read returns the bytes read from sockets so far.
func (m *Meter) Read() int64 { return m.read.Load() }

// Allows reports whether n bytes fit into the budget and leave half of the
// burst for the regular messages.
func (m *Meter) Allows(n int) bool {
	return m.limiter.TokensAt(m.clock())-float64(n) >= float64(m.limiter.Burst())/2
}

// charge takes written bytes from the budget. The debt is bounded by one burst,
// so that one large message does not suppress early exchanges for minutes.
func (m *Meter) charge(n int) {
	m.written.Add(int64(n))
	now := m.clock()
	affordable := int(m.limiter.TokensAt(now)) + m.limiter.Burst()
	if n = min(n, affordable, m.limiter.Burst()); n > 0 {
		m.limiter.ReserveN(now, n)
	}
}

// Conn returns c with its bytes counted.
func (m *Meter) Conn(c net.Conn) net.Conn { return &meteredConn{Conn: c, meter: m} }

// Listener returns l with the bytes of its connections counted.
func (m *Meter) Listener(l net.Listener) net.Listener {
	return &meteredListener{Listener: l, meter: m}
}

type meteredConn struct {
	net.Conn
	meter *Meter
}

func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.charge(n)
	return n, err
}

func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.read.Add(int64(n))
	return n, err
}

type meteredListener struct {
	net.Listener
	meter *Meter
}

func (l *meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, fmt.Errorf("accept peer connection: %w", err)
	}
	return l.meter.Conn(c), nil
}
