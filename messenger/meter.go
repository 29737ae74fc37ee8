package messenger

import (
	"fmt"
	"net"
	"sync/atomic"

	"golang.org/x/time/rate"

	"github.com/egretflow/egretflow"
)

// BudgetBytesPerSecond is the mean number of bytes per second that one instance
// may write to its peers (1.5).
const BudgetBytesPerSecond = 6000

// earlyBudgetPercent is the percentage of the budget up to which messages and
// changes are sent before the regular interval. The rest is left for the responses
// to early messages of peers, which are not limited. With 85% one of 64 instances
// wrote 6,059 B/s, more than BudgetBytesPerSecond.
const earlyBudgetPercent = 70

// Meter counts the bytes on the sockets between instances and charges the
// written ones to a budget. It is safe for concurrent use.
type Meter struct {
	clock   egretflow.Clock
	limiter *rate.Limiter
	written atomic.Int64
	read    atomic.Int64
}

// NewMeter returns a Meter with a budget in bytes per second, of which
// earlyBudgetPercent is available to early messages. At most one second of that
// accumulates.
func NewMeter(bytesPerSecond int, clock egretflow.Clock) *Meter {
	earlyBytesPerSecond := bytesPerSecond * earlyBudgetPercent / 100
	return &Meter{clock: clock, limiter: rate.NewLimiter(rate.Limit(earlyBytesPerSecond), earlyBytesPerSecond)}
}

// WrittenBytes returns the number of bytes written to sockets so far.
func (m *Meter) WrittenBytes() int64 { return m.written.Load() }

// ReadBytes returns the number of bytes read from sockets so far.
func (m *Meter) ReadBytes() int64 { return m.read.Load() }

// AllowsEarly reports whether n bytes that can wait or be left out may be
// written now: they must leave half of the burst for the regular messages. It
// does not charge them.
func (m *Meter) AllowsEarly(n int) bool {
	return m.limiter.TokensAt(m.clock())-float64(n) >= float64(m.limiter.Burst())/2
}

// charge takes written bytes from the budget. The budget is overdrawn by one burst
// at most, so that one large message does not suppress early exchanges for
// minutes.
func (m *Meter) charge(n int) {
	m.written.Add(int64(n))
	now := m.clock()
	available := int(m.limiter.TokensAt(now)) + m.limiter.Burst()
	if n = min(n, available, m.limiter.Burst()); n > 0 {
		m.limiter.ReserveN(now, n)
	}
}

// Conn returns a connection that counts the bytes read from and written to c.
func (m *Meter) Conn(c net.Conn) net.Conn { return &meteredConn{Conn: c, meter: m} }

// Listener returns a listener that counts the bytes of the connections of l.
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
