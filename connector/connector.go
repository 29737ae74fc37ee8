// Package connector sends HTTP requests to backend servers. Open never sends a
// request twice.
//
// # Usage
//
//	c := connector.New(dialer.DialContext, nil)
//	resp, used, err := c.Open(req)
//	if err != nil && !used {
//		// no byte was written: the server has not executed the request
//	}
//
// # Rules
//
//  1. Each request has its own connection, so that bytes of another response cannot
//     reach the caller or count as a statement about the request, and no request is
//     sent twice.
//  2. A server may respond before it has read the whole body; that response is
//     returned.
package connector

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"syscall"
	"time"
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

const (
	dialTimeout            = time.Second
	maxResponseHeaderBytes = 64 << 10
)

// Client sends requests to backend servers, each over a new connection. A pooled one
// is never used: a faulty server may send an earlier response once more on it, and
// net/http repeats some requests when it breaks.
type Client struct {
	dial DialFunc
	tls  *tls.Config
}

// New returns a Client. A nil tlsConfig means the default configuration with TLS
// 1.2 or newer.
func New(dial DialFunc, tlsConfig *tls.Config) *Client {
	dialWithTimeout := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return dial(ctx, network, address)
	}
	if tlsConfig == nil {
		tlsConfig = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	return &Client{dial: dialWithTimeout, tls: tlsConfig}
}

// IsConnRefused reports whether err is a refused connection: the host is reachable,
// but no process listens on the port.
func IsConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
