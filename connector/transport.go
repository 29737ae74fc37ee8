package connector

import (
	"context"
	"crypto/tls"
	"fmt"
	"math"
	"net"
	"net/http"
)

// Transport sends requests over the connections of an http.Transport. It accepts the
// responses that Client accepts, and those after an informational one with a blank in a
// name. If it keeps connections for later requests, it does not check the bytes of heads,
// and also accepts what headReader finds in them. Every client of another host uses one of
// the two, but for messages between instances, whose HTTP/2 has such checks.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport that uses base, which nothing else may use.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		guarded := &requestConn{Conn: conn}
		if !base.DisableKeepAlives {
			return guarded, nil
		}
		return newSingleConn(guarded), nil
	}
	if base.DisableKeepAlives {
		base.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			return dialTLS(ctx, base, dial, network, address)
		}
	}
	return &Transport{base}
}

// dialTLS opens a connection for one request over TLS, with the settings of base.
func dialTLS(ctx context.Context, base *http.Transport, dial DialFunc, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("split address: %w", err)
	}
	conn, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	settings := &tls.Config{MinVersion: tls.VersionTLS12}
	if base.TLSClientConfig != nil {
		settings = base.TLSClientConfig.Clone()
	}
	if settings.ServerName == "" {
		settings.ServerName = host
	}
	if base.TLSHandshakeTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, base.TLSHandshakeTimeout)
		defer cancel()
	}
	encrypted := tls.Client(&requestConn{Conn: conn}, settings)
	if err := encrypted.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, fmt.Errorf("TLS handshake: %w", err)
	}
	return newSingleConn(encrypted), nil
}

// singleConn is a connection for one request, on which the heads are checked as they are
// read. http.Transport bounds them.
type singleConn struct {
	net.Conn
	heads headReader
}

func newSingleConn(conn net.Conn) *singleConn {
	return &singleConn{conn, headReader{Reader: conn, left: math.MaxInt64}}
}

// Read implements net.Conn.
func (c *singleConn) Read(p []byte) (int, error) { return c.heads.Read(p) }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(req)
	if err != nil {
		return nil, err //nolint:wrapcheck // http.RoundTripper
	}
	if err := checkHead(resp); err != nil {
		resp.Body.Close()
		return nil, fmt.Errorf("read header: %w", err)
	}
	if len(resp.TransferEncoding) > 0 {
		// Only chunks have a trailer.
		resp.Body = &checkedBody{resp.Body, resp}
	}
	return resp, nil
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
