package pipenet

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretflow/egretflow"
)

var (
	serverAddr = netip.MustParseAddrPort("10.0.0.1:80")
	clientHost = netip.MustParseAddr("10.0.0.9")
)

// connectPair opens a connection and returns both ends.
func connectPair(t *testing.T, n *Network) (client, server net.Conn) {
	t.Helper()
	ln, err := n.Listen(serverAddr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	client, err = n.Dialer(clientHost)(t.Context(), "tcp", serverAddr.String())
	if err != nil {
		t.Fatal(err)
	}
	if server, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	return client, server
}

// Guards against wrong errors of reads and writes on an open connection after
// each fault.
func TestFaultsOnOpenConnection(t *testing.T) {
	for _, tt := range []struct {
		name      string
		fault     func(n *Network, client, server net.Conn)
		wantRead  error
		wantWrite error
	}{
		{"none", func(*Network, net.Conn, net.Conn) {}, os.ErrDeadlineExceeded, nil},
		{"peer closed", func(_ *Network, _, server net.Conn) { server.Close() }, io.EOF, syscall.EPIPE},
		{"own end closed", func(_ *Network, client, _ net.Conn) { client.Close() }, net.ErrClosed, net.ErrClosed},
		{"cut", func(n *Network, _, _ net.Conn) { n.Cut(serverAddr.Addr()) }, syscall.ECONNRESET, syscall.ECONNRESET},
		{"reset", func(n *Network, _, _ net.Conn) { n.Reset(serverAddr.Addr()) }, syscall.ECONNRESET, syscall.ECONNRESET},
		{"silent", func(n *Network, _, server net.Conn) {
			n.Silence(serverAddr.Addr())
			server.Close()
		}, os.ErrDeadlineExceeded, nil},
		{"parted", func(n *Network, _, server net.Conn) {
			n.Partition(clientHost, serverAddr.Addr())
			server.Close()
		}, os.ErrDeadlineExceeded, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := New(egretflow.SystemClock)
				client, server := connectPair(t, n)
				tt.fault(n, client, server)
				if err := client.SetDeadline(time.Now().Add(time.Minute)); err != nil {
					t.Fatal(err)
				}
				if _, err := client.Write([]byte("x")); !errors.Is(err, tt.wantWrite) {
					t.Errorf("write: %v, want %v", err, tt.wantWrite)
				}
				if _, err := client.Read(make([]byte, 1)); !errors.Is(err, tt.wantRead) {
					t.Errorf("read: %v, want %v", err, tt.wantRead)
				}
			})
		})
	}
}

// Guards against a buffer that grows without limit: a full buffer must block
// the writer until its deadline.
func TestFullBufferBlocksWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := connectPair(t, New(egretflow.SystemClock))
		if err := client.SetWriteDeadline(time.Now().Add(time.Second)); err != nil {
			t.Fatal(err)
		}
		sent := bytes.Repeat([]byte("x"), BufferBytes+1)
		count, err := client.Write(sent)
		if count != BufferBytes || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("wrote %d, %v", count, err)
		}
		client.Close()
		if got, err := io.ReadAll(server); err != nil || len(got) != BufferBytes {
			t.Errorf("read %d bytes, %v", len(got), err)
		}
	})
}

// Guards against faults that HTTP clients do not see as on TCP: delays add up,
// a cut host refuses connections, and a partition blocks new connections until
// it heals.
func TestHTTP(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(egretflow.SystemClock)
		ln, err := n.Listen(serverAddr)
		if err != nil {
			t.Fatal(err)
		}
		srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })}
		go func() { _ = srv.Serve(ln) }()
		defer func() { _ = srv.Close() }()
		transport := &http.Transport{DialContext: n.Dialer(clientHost)}
		defer transport.CloseIdleConnections()
		get := func(ctx context.Context) (time.Duration, error) {
			start := time.Now()
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+serverAddr.String(), nil)
			if err != nil {
				t.Fatal(err)
			}
			resp, err := transport.RoundTrip(req)
			if err == nil {
				resp.Body.Close()
			}
			return time.Since(start), err
		}
		n.SetDelay(clientHost, serverAddr.Addr(), 10*time.Millisecond)
		n.SetDelay(serverAddr.Addr(), clientHost, 5*time.Millisecond)
		if took, err := get(t.Context()); err != nil || took != 30*time.Millisecond {
			t.Errorf("dial and request took %v, %v; want 30ms", took, err)
		}
		n.Cut(serverAddr.Addr())
		if _, err := get(t.Context()); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("cut host: %v", err)
		}
		n.Restore(serverAddr.Addr())
		n.Partition(serverAddr.Addr(), clientHost)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := get(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("partition: %v", err)
		}
		time.AfterFunc(time.Second, func() { n.Heal(clientHost, serverAddr.Addr()) })
		if took, err := get(t.Context()); err != nil || took != 1030*time.Millisecond {
			t.Errorf("request over a partition of 1s took %v, %v", took, err)
		}
	})
}
