package connector

import (
	"context"
	"fmt"
	"net"
	"net/http"
)

// Transport sends requests over the connections of an http.Transport, which it may keep for
// later ones. It accepts the responses that Client accepts, and two more of which nothing
// is passed on: with a line that begins with a blank, and of HTTP/1.0 with chunks. Every
// client of another host uses one of the two, but for messages between instances, whose
// HTTP/2 has such checks.
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
		return &requestConn{Conn: conn}, nil
	}
	return &Transport{base}
}

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
