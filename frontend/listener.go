package frontend

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// errSlow replaces the timeout of a read. net/http closes a connection whose
// header is late without an answer, but answers other errors with status 400.
var errSlow = errors.New("request is too slow")

// listener makes a late request header end in an answer with a 4xx status
// (4.4).
type listener struct{ net.Listener }

func newListener(ln net.Listener) net.Listener { return listener{ln} }

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // net/http inspects the error
	}
	return &conn{Conn: c}, nil
}

type conn struct {
	net.Conn
	// interrupted says that the read deadline lies in the past, by which
	// net/http interrupts its own reads.
	interrupted atomic.Bool
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.interrupted.Store(!t.IsZero() && t.Unix() <= 1)
	return c.Conn.SetReadDeadline(t)
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) && !c.interrupted.Load() {
		err = errSlow
	}
	return n, err
}
