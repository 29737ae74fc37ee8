package connector

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
)

const (
	// streamBufferBytes holds a few events of a stream.
	streamBufferBytes = 1 << 10
	// longBody is the length in bytes from which a body may not fit into the
	// buffers of a connection that its server does not read.
	longBody = 4 << 10
)

// Open sends req over a new connection that serves nothing else. Without the
// goroutines and buffers of http.Transport an open stream needs less memory
// (section 14), and nothing can be sent twice. used is as for Do.
func (c *Client) Open(req *http.Request) (resp *http.Response, used bool, err error) {
	ctx := req.Context()
	conn, err := c.connect(ctx, req)
	if err != nil {
		return nil, false, err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	if resp, err = exchange(conn, req); err != nil {
		stop()
		conn.Close()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, true, err
	}
	resp.Body = &connBody{ReadCloser: resp.Body, conn: conn, stop: stop}
	return resp, true, nil
}

func (c *Client) connect(ctx context.Context, req *http.Request) (net.Conn, error) {
	conn, err := c.dial(ctx, "tcp", req.URL.Host)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	if req.URL.Scheme != "https" {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	config := c.tls.Clone()
	if config.ServerName == "" {
		config.ServerName = req.URL.Hostname()
	}
	secured := tls.Client(conn, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, fmt.Errorf("TLS handshake: %w", err)
	}
	return secured, nil
}

// exchange writes req and reads the header of the response. A long body is
// written beside the read, because the server may answer before it has read it.
func exchange(conn net.Conn, req *http.Request) (*http.Response, error) {
	// The shallow copy leaves the caller's request as it is.
	single := *req
	single.Close = true
	written := make(chan error, 1)
	if req.ContentLength > longBody {
		go func() { written <- single.Write(conn) }()
	} else {
		written <- single.Write(conn)
	}
	resp, err := readHeader(conn, req.Method)
	if err == nil {
		return resp, nil
	}
	select {
	case writeErr := <-written:
		if writeErr != nil {
			return nil, fmt.Errorf("write request: %w", writeErr)
		}
	default:
	}
	return nil, fmt.Errorf("read response: %w", err)
}

// readHeader reads up to the header of the final response.
func readHeader(conn net.Conn, method string) (*http.Response, error) {
	// The response must not keep the body of the request in memory.
	bare := &http.Request{Method: method}
	limited := &io.LimitedReader{R: conn, N: maxResponseHeader}
	reader := bufio.NewReaderSize(limited, streamBufferBytes)
	for {
		resp, err := http.ReadResponse(reader, bare)
		if err != nil {
			return nil, fmt.Errorf("read header: %w", err)
		}
		if resp.StatusCode >= http.StatusOK {
			limited.N = math.MaxInt64
			return resp, nil
		}
	}
}

// connBody closes its connection.
type connBody struct {
	io.ReadCloser
	conn net.Conn
	stop func() bool
}

// Close implements io.Closer. The body is not read to its end.
func (b *connBody) Close() error {
	b.stop()
	return b.conn.Close()
}
