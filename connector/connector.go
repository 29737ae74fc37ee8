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
//  1. Open uses a new connection for one request only, so that bytes of another
//     response cannot reach the caller and the request is not sent twice.
//  2. Do uses pooled connections and is for requests that may be repeated.
//  3. A server may respond before it has read the whole body; that response is
//     returned.
package connector

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

const (
	dialTimeout            = time.Second
	idleConnTimeout        = 20 * time.Second
	idleConnsPerHost       = 32
	connBufferBytes        = 2 << 10
	maxResponseHeaderBytes = 64 << 10
)

// Client sends requests to backend servers: Do uses pooled connections, Open new
// ones. Open is for streams, for probes of a stalled connection, and for
// non-idempotent requests, because net/http repeats a request that carries an
// Idempotency-Key when a reused connection breaks.
type Client struct {
	pooled *http.Transport
	dial   DialFunc
	tls    *tls.Config
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
	return &Client{dial: dialWithTimeout, tls: tlsConfig, pooled: &http.Transport{
		DialContext: dialWithTimeout, TLSClientConfig: tlsConfig, DisableCompression: true,
		MaxIdleConnsPerHost: idleConnsPerHost, IdleConnTimeout: idleConnTimeout,
		ReadBufferSize: connBufferBytes, WriteBufferSize: connBufferBytes,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
}

// Close closes the idle pooled connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// Do sends req over a pooled connection. If it returns an error, used reports
// whether a connection was obtained, so that bytes of the request may have been
// written.
func (c *Client) Do(req *http.Request) (resp *http.Response, used bool, err error) {
	var gotConn atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) }}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	resp, err = c.pooled.RoundTrip(req)
	return resp, gotConn.Load(), err
}

// IsConnRefused reports whether err is a refused connection: the host is reachable,
// but no process listens on the port.
func IsConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
