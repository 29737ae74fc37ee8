package connector

import (
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// requestConn is a connection on which a response may arrive while its request is still
// written. The kernel reports a reset once, to a read or to a write. If that is a write,
// the reads that follow return io.EOF, as if the server had ended its response; requestConn
// returns the reset to them too.
type requestConn struct {
	net.Conn
	// ended reports whether a read has returned io.EOF, after which no write waits.
	ended atomic.Bool
	// mu is held during a write.
	mu sync.Mutex
	// failure is the first error of a write which shows that the connection had failed
	// before the server ended its response.
	failure error
}

// errEnded is the error of a write that was not finished when the server ended its response.
var errEnded = fmt.Errorf("the server has ended its response: %w", syscall.EPIPE)

// Read implements net.Conn.
func (c *requestConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if cause := c.failureOfWrite(); cause != nil {
			return n, cause
		}
	}
	return n, err //nolint:wrapcheck // net.Conn
}

// failureOfWrite ends the writes, because a complete response needs no more of its request,
// and returns the failure that one of them found. A write that took it from the kernel
// before the read may not have returned yet, so its end is waited for. One that waits for
// room ends at once.
func (c *requestConn) failureOfWrite() error {
	c.ended.Store(true)
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}

// Write implements net.Conn.
func (c *requestConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err == nil {
		return n, nil
	}
	if c.ended.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		err = errEnded
	}
	if c.failure == nil && isFailure(err) {
		c.failure = err
	}
	return n, err //nolint:wrapcheck // net.Conn
}

// isFailure reports whether the error of a write is one that the kernel reports only once.
// EPIPE is none: the server had ended its response before it reset the connection, or a
// read has got the reset.
func isFailure(err error) bool {
	var cause syscall.Errno
	return errors.As(err, &cause) && cause != syscall.EPIPE
}

// ReadFrom implements io.ReaderFrom, so that a body is written in large pieces.
func (c *requestConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}
