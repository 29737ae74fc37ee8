// Package connector sends HTTP requests to other hosts and reads their responses.
// Client sends requests of callers to backend servers, each once; Transport is for all
// other calls. A response that either of them returns is one in the protocol.
//
// # Usage
//
//	c := connector.New(dialer.DialContext, nil, reserver.New(8<<20, 0))
//	resp, used, err := c.Open(req)
//	if err != nil && !used {
//		// no byte was written: the server has not executed the request
//	}
//
//	client := &http.Client{Transport: connector.NewTransport(&http.Transport{})}
//
// # Rules
//
//  1. Each request of Open has its own connection, so that bytes of another response cannot
//     reach the caller or count as a statement about the request, and no request is
//     sent twice.
//  2. A server may respond before it has read the whole body; that response is
//     returned.
//  3. What a server sends is no response if net/http rejects it, if its status is none of
//     HTTP, if the name of a field has a blank, also as its first byte, or if it is one of
//     HTTP/1.0 with chunks. It is returned as an error after which the request may have run.
//  4. A response without a length or chunks is complete if the server has ended it before
//     the connection fails, no matter how much of the request was written.
package connector

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/egretflow/egretflow/reserver"
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
	// heads bounds what the heads of all responses take.
	heads *reserver.Reserver
}

// New returns a Client whose responses take the room for their heads from heads. A nil
// tlsConfig means the default configuration with TLS 1.2 or newer.
func New(dial DialFunc, tlsConfig *tls.Config, heads *reserver.Reserver) *Client {
	dialWithTimeout := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return dial(ctx, network, address)
	}
	if tlsConfig == nil {
		tlsConfig = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	return &Client{dial: dialWithTimeout, tls: tlsConfig, heads: heads}
}

// IsConnRefused reports whether err is a refused connection: the host is reachable,
// but no process listens on the port.
func IsConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
