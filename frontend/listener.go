package frontend

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/netutil"
)

// errReadTimeout replaces the timeout error of a read. If reading a request
// header times out, net/http closes the connection without a response; after
// other read errors it responds with status 400.
var errReadTimeout = errors.New("request is too slow")

// timeoutListener accepts connections on which a request header that arrives too
// late is answered with a 4xx status (4.4).
type timeoutListener struct {
	net.Listener
	raw *rawListener
	// bufferBytes bounds each buffer of a connection in the kernel unless it is 0.
	bufferBytes int
}

// newTimeoutListener returns a timeoutListener that has at most maxConnections open.
func newTimeoutListener(ln net.Listener, maxConnections, bufferBytes int) net.Listener {
	raw := &rawListener{Listener: ln}
	return timeoutListener{Listener: netutil.LimitListener(raw, maxConnections), raw: raw, bufferBytes: bufferBytes}
}

func (l timeoutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // net/http inspects the error
	}
	if tcp, ok := l.raw.last.(*net.TCPConn); ok && l.bufferBytes > 0 {
		// If that fails, the connection keeps the sizes of the kernel.
		_ = tcp.SetReadBuffer(l.bufferBytes)
		_ = tcp.SetWriteBuffer(l.bufferBytes)
	}
	return &timeoutConn{Conn: c, raw: l.raw.last}, nil
}

// rawListener keeps the connection that it accepted last, which LimitListener hides.
// Its Accept is called by one goroutine, that of http.Server.Serve.
type rawListener struct {
	net.Listener
	last net.Conn
}

func (l *rawListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.last = c
	return c, err //nolint:wrapcheck // net/http inspects the error
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// timeoutConn returns errReadTimeout when a read times out.
type timeoutConn struct {
	net.Conn
	// raw is the connection without its limit.
	raw net.Conn
	// resets makes Close reset the connection, so that its end is not taken for the
	// end of the response.
	resets atomic.Bool
	// interrupted is true while the read deadline is in the distant past, which
	// net/http sets to interrupt its own reads.
	interrupted atomic.Bool
}

func (c *timeoutConn) Close() error {
	if tcp, ok := c.raw.(*net.TCPConn); ok && c.resets.Load() {
		_ = tcp.SetLinger(0)
	}
	return c.Conn.Close()
}

func (c *timeoutConn) SetReadDeadline(t time.Time) error {
	c.interrupted.Store(!t.IsZero() && t.Unix() <= 1)
	return c.Conn.SetReadDeadline(t)
}

func (c *timeoutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) && !c.interrupted.Load() {
		err = errReadTimeout
	}
	return n, err
}
