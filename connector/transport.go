package connector

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
)

// Transport sends requests over the connections of an http.Transport. It accepts the
// responses that Client accepts, and those after an informational one with a blank in a
// name. If it keeps connections for later requests, or uses TLS, it does not see the bytes
// of a head, and also accepts what headReader finds in them. Every client of another host
// uses one of the two, but for messages between instances, whose HTTP/2 has such checks.
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
		return &singleConn{guarded, headReader{Reader: guarded, left: math.MaxInt64}}, nil
	}
	return &Transport{base}
}

// singleConn is a connection for one request, on which the heads are checked as they are
// read. http.Transport bounds them.
type singleConn struct {
	*requestConn
	heads headReader
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
