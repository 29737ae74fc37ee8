// Package acceptor runs servers of tests that write bytes on raw connections, as no HTTP
// server of the library would.
//
// # Usage
//
//	address := acceptor.Serve(t, func(conn *net.TCPConn) {
//		_, _ = io.WriteString(conn, "HTTP/1.1 000 X\r\n\r\n")
//	})
package acceptor

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
)

// Serve passes each connection to a free loopback address to serve and closes it after
// that, until the test ends.
func Serve(t testing.TB, serve func(conn *net.TCPConn)) netip.AddrPort {
	t.Helper()
	ln, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.AcceptTCP()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn)
			}()
		}
	}()
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// Answer reads a request, if there is one, and writes the bytes.
func Answer(conn net.Conn, text string) {
	if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
		_, _ = io.Copy(io.Discard, req.Body)
	}
	_, _ = io.WriteString(conn, text)
}
