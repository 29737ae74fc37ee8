// Package connector sends HTTP requests to backend servers and never sends one
// twice.
//
// # Usage
//
//	c := connector.New(dialer.DialContext, nil)
//	resp, used, err := c.Open(req)
//	if err != nil && !used {
//		// no byte was written: the request has certainly not run
//	}
//
// # Rules
//
//  1. Open uses a new connection that serves nothing else, so that bytes of
//     another response cannot reach the caller and nothing is sent twice.
//  2. Do uses pooled connections and is for requests that may be repeated.
//  3. A server may answer before it has read the whole body; the answer counts.
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

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

const (
	dialTimeout       = time.Second
	idleConnTimeout   = 20 * time.Second
	idleConnsPerHost  = 32
	connBufferBytes   = 2 << 10
	maxResponseHeader = 64 << 10
)

// Client sends requests to backend servers, over pooled connections with Do and
// over new ones with Open. New ones serve streams, probes of a stalled
// connection, and non-idempotent requests, because net/http repeats a request
// that carries an Idempotency-Key when a reused connection breaks.
type Client struct {
	pooled *http.Transport
	dial   DialFunc
	tls    *tls.Config
}

// New returns a Client. A nil tlsConfig means the default one.
func New(dial DialFunc, tlsConfig *tls.Config) *Client {
	bounded := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return dial(ctx, network, address)
	}
	if tlsConfig == nil {
		tlsConfig = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	return &Client{dial: bounded, tls: tlsConfig, pooled: &http.Transport{
		DialContext: bounded, TLSClientConfig: tlsConfig, DisableCompression: true,
		MaxIdleConnsPerHost: idleConnsPerHost, IdleConnTimeout: idleConnTimeout,
		ReadBufferSize: connBufferBytes, WriteBufferSize: connBufferBytes,
		MaxResponseHeaderBytes: maxResponseHeader,
	}}
}

// Close closes idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// Do sends req. When it returns an error, used says whether a connection was
// obtained, so that bytes of the request may have been written.
func (c *Client) Do(req *http.Request) (resp *http.Response, used bool, err error) {
	var got atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { got.Store(true) }}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	resp, err = c.pooled.RoundTrip(req)
	return resp, got.Load(), err
}

// Refused reports whether the server process is gone: the host answered, but
// nothing listens on the port.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
