package connector_test

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/egretflow/egretflow/connector"
	"github.com/egretflow/egretflow/internal/stub/acceptor"
	"github.com/egretflow/egretflow/reserver"
)

const (
	// uploadBytes is the size of an upload that does not fit into the buffers of a
	// connection.
	uploadBytes = 3 << 20
	// earlySenders is how many requests are sent at a time, earlyRepeats how many one after
	// the other.
	earlySenders = 8
	earlyRepeats = 25
	unframedHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
)

// Guards against a response without a length that is cut by a reset while its request is
// still written and counts as complete, because the write got the reset; and against
// complete early responses that are lost.
func TestEarlyAnswers(t *testing.T) {
	reset := func(conn *net.TCPConn) { _ = conn.SetLinger(0) }
	for _, c := range []struct {
		name, response string
		end            func(conn *net.TCPConn)
		sound          bool
	}{
		{"Reset", unframedHead + "part", reset, false},
		{"ResetReading", unframedHead + "part", func(conn *net.TCPConn) {
			_, _ = io.CopyN(io.Discard, conn, uploadBytes/6)
			reset(conn)
		}, false},
		{"Ended", unframedHead + answerBody, func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_ = conn.SetReadDeadline(time.Now().Add(time.Second))
			_, _ = io.Copy(io.Discard, conn)
		}, true},
		{"Length", "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n" + answerBody, func(conn *net.TCPConn) {
			_, _ = io.Copy(io.Discard, conn)
		}, true},
	} {
		url := "http://" + acceptor.Serve(t, func(conn *net.TCPConn) {
			_, _ = io.ReadFull(conn, make([]byte, 100))
			_, _ = io.WriteString(conn, c.response)
			c.end(conn)
		}).String()
		for _, s := range senders() {
			t.Run(c.name+"/"+s.name, func(t *testing.T) { checkEarlyAnswers(t, s, url, c.sound) })
		}
	}
}

// Guards against the same over TLS, which reports the end of the connection below it as
// that of the response.
func TestEarlyAnswersOverTLS(t *testing.T) {
	for name, end := range map[string]func(conn *tls.Conn){
		"Reset": func(conn *tls.Conn) { _ = conn.NetConn().(*net.TCPConn).SetLinger(0) },
		"ResetReading": func(conn *tls.Conn) {
			_, _ = io.CopyN(io.Discard, conn, uploadBytes/6)
			_ = conn.NetConn().(*net.TCPConn).SetLinger(0)
		},
		"Ended": func(conn *tls.Conn) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		},
	} {
		server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = io.WriteString(conn, unframedHead+answerBody)
			end(conn.(*tls.Conn))
			_ = conn.(*tls.Conn).NetConn().Close()
		}))
		t.Cleanup(server.Close)
		settings := server.Client().Transport.(*http.Transport).TLSClientConfig.Clone()
		settings.NextProtos = nil
		client := connector.New((&net.Dialer{}).DialContext, settings, reserver.Unbounded())
		open := func(req *http.Request) (*http.Response, error) {
			resp, _, err := client.Open(req)
			return resp, err
		}
		transport := connector.NewTransport(&http.Transport{DisableKeepAlives: true, TLSClientConfig: settings.Clone()})
		for _, s := range []sender{{"Client", open}, {"Transport", transport.RoundTrip}} {
			t.Run(name+"/"+s.name, func(t *testing.T) { checkEarlyAnswers(t, s, server.URL, name == "Ended") })
		}
	}
}

// checkEarlyAnswers sends many uploads to a server and checks whether they get its answer.
func checkEarlyAnswers(t *testing.T, s sender, url string, sound bool) {
	t.Helper()
	upload := strings.Repeat("u", uploadBytes)
	var wg sync.WaitGroup
	for range earlySenders {
		wg.Go(func() {
			for range earlyRepeats {
				if body, err := receive(t.Context(), s, url, upload); (err == nil) != sound || sound && body != answerBody {
					t.Errorf("body %q, error %v, want an answer: %v", body, err, sound)
				}
			}
		})
	}
	wg.Wait()
}

// scriptedConn is a connection whose writes block until its response was read, and then
// return writeErr; with none they wait for their deadline.
type scriptedConn struct {
	net.Conn
	response strings.Reader
	writeErr error
	wrote    chan struct{}
	deadline chan struct{}
	once     sync.Once
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	if c.response.Len() > 0 {
		return c.response.Read(p)
	}
	// The write has the error from the kernel, but has not returned yet.
	return 0, io.EOF
}

func (c *scriptedConn) Write(p []byte) (int, error) {
	c.once.Do(func() { close(c.wrote) })
	<-c.deadline
	if c.writeErr != nil {
		time.Sleep(10 * time.Millisecond)
		return 0, c.writeErr
	}
	return 0, fmt.Errorf("write: %w", context.DeadlineExceeded)
}

func (c *scriptedConn) SetWriteDeadline(time.Time) error {
	close(c.deadline)
	return nil
}

func (c *scriptedConn) Close() error { return nil }

// Guards against a response that counts as complete because the write which got the reset
// has not returned when its end is read, and against one that waits for a write for which
// the server makes no room.
func TestEndOfResponseDuringWrite(t *testing.T) {
	for name, c := range map[string]struct {
		writeErr error
		complete bool
	}{
		"Waits":       {nil, true},
		"Reset":       {&net.OpError{Op: "write", Err: syscall.ECONNRESET}, false},
		"TimedOut":    {&net.OpError{Op: "write", Err: syscall.ETIMEDOUT}, false},
		"EndedBefore": {&net.OpError{Op: "write", Err: syscall.EPIPE}, true},
	} {
		t.Run(name, func(t *testing.T) {
			conn := &scriptedConn{response: *strings.NewReader(unframedHead + answerBody), writeErr: c.writeErr, wrote: make(chan struct{}), deadline: make(chan struct{})}
			dial := func(context.Context, string, string) (net.Conn, error) { return conn, nil }
			client := connector.New(dial, nil, reserver.Unbounded())
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://server/", strings.NewReader(strings.Repeat("u", uploadBytes)))
			if err != nil {
				t.Fatal(err)
			}
			resp, _, err := client.Open(req)
			if err != nil {
				t.Fatal(err)
			}
			<-conn.wrote
			body, err := io.ReadAll(resp.Body)
			if (err == nil) != c.complete || string(body) != answerBody {
				t.Errorf("body %q, error %v, want a complete one: %v", body, err, c.complete)
			}
			_ = resp.Body.Close()
		})
	}
}
