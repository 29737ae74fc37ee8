package connector

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"math"
	"net"
	"net/http"

	"github.com/egretflow/egretflow/reserver"
)

const (
	// streamBufferBytes is the size of a read buffer; it holds a few events of a
	// stream.
	streamBufferBytes = 1 << 10
	// maxSyncBodyBytes is the length of the largest body that is written before the
	// response is read. A longer one may not fit into the buffers of a connection
	// that the server does not read.
	maxSyncBodyBytes = 4 << 10
)

// Open sends req over a new connection that carries no other request. Without the
// goroutines and buffers of http.Transport an open stream needs less memory
// (section 14), and no request can be sent twice. If it returns an error, used
// reports whether a connection was made, so that bytes of the request may have been
// written.
func (c *Client) Open(req *http.Request) (resp *http.Response, used bool, err error) {
	ctx := req.Context()
	conn, err := c.connect(ctx, req)
	if err != nil {
		return nil, false, err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	head := c.heads.Part()
	if resp, err = roundTrip(conn, req, head); err != nil {
		stop()
		conn.Close()
		head.Free()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, true, err
	}
	resp.Body = &connBody{checkedBody: checkedBody{resp.Body, resp}, conn: conn, stop: stop, head: head}
	return resp, true, nil
}

// connect opens a connection to the host of req, with TLS for https.
func (c *Client) connect(ctx context.Context, req *http.Request) (net.Conn, error) {
	dialled, err := c.dial(ctx, "tcp", req.URL.Host)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	conn := &requestConn{Conn: dialled}
	if req.URL.Scheme != "https" {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	config := c.tls.Clone()
	if config.ServerName == "" {
		config.ServerName = req.URL.Hostname()
	}
	tlsConn := tls.Client(conn, config)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, fmt.Errorf("TLS handshake: %w", err)
	}
	return tlsConn, nil
}

// roundTrip writes req and reads the header of the response. A body longer than
// maxSyncBodyBytes is written concurrently with the read, because the server may
// respond before it has read the body.
func roundTrip(conn net.Conn, req *http.Request, head *reserver.Part) (*http.Response, error) {
	// The shallow copy keeps the caller's request unchanged.
	outgoing := *req
	outgoing.Close = true
	var writeErr error
	var written chan error // nil unless the request is written concurrently
	if req.ContentLength > maxSyncBodyBytes {
		written = make(chan error, 1)
		go func() { written <- outgoing.Write(conn) }()
	} else {
		writeErr = outgoing.Write(conn)
	}
	resp, err := readHeader(conn, req.Method, head)
	if err == nil {
		return resp, nil
	}
	select {
	case writeErr = <-written:
	default:
	}
	if writeErr != nil {
		return nil, fmt.Errorf("write request: %w", writeErr)
	}
	return nil, fmt.Errorf("read response: %w", err)
}

// readHeader reads the header of the final response and skips informational (1xx)
// ones. It adds what it reads to head.
func readHeader(conn net.Conn, method string, head *reserver.Part) (*http.Response, error) {
	// The response refers to its request. A new one without a body keeps the body
	// of the sent request from staying in memory.
	request := &http.Request{Method: method}
	heads := &headReader{Reader: head.Reader(conn), left: maxResponseHeaderBytes}
	reader := bufio.NewReaderSize(heads, streamBufferBytes)
	for {
		resp, err := http.ReadResponse(reader, request)
		if err != nil {
			return nil, fmt.Errorf("read header: %w", err)
		}
		if err := checkHead(resp); err != nil {
			return nil, fmt.Errorf("read header: %w", err)
		}
		if resp.StatusCode >= http.StatusOK {
			heads.Reader, heads.left = conn, math.MaxInt64
			return resp, nil
		}
	}
}

// connBody is a response body that closes its connection.
type connBody struct {
	checkedBody
	conn net.Conn
	stop func() bool
	head *reserver.Part
}

// Close implements io.Closer. It closes the connection without reading the rest
// of the body.
func (b *connBody) Close() error {
	b.stop()
	b.head.Free()
	return b.conn.Close()
}
