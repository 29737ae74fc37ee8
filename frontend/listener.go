package frontend

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// errReadTimeout replaces the timeout error of a read. If reading a request
// header times out, net/http closes the connection without a response; after
// other read errors it responds with status 400.
var errReadTimeout = errors.New("request is too slow")

// timeoutListener accepts connections on which a request header that arrives too
// late is answered with a 4xx status (4.4).
type timeoutListener struct{ net.Listener }

func newTimeoutListener(ln net.Listener) net.Listener { return timeoutListener{ln} }

func (l timeoutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // net/http inspects the error
	}
	return &timeoutConn{Conn: c}, nil
}

// timeoutConn returns errReadTimeout when a read times out.
type timeoutConn struct {
	net.Conn
	// interrupted is true while the read deadline is in the distant past, which
	// net/http sets to interrupt its own reads.
	interrupted atomic.Bool
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
