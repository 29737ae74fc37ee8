package relayer_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/egretflow/egretflow/internal/stub/acceptor"
	"github.com/egretflow/egretflow/reserver"
)

// heads are heads of responses, with a length, in chunks, and ended by the connection.
var heads = []string{
	"HTTP/1.1 200 OK\r\nRequest: r1\r\nContent-Length: 14\r\nStamp: s1\r\n\r\n",
	"HTTP/1.1 200 OK\r\nRequest: r1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nStamp: s1\r\n\r\n",
	"HTTP/1.1 103 Early Hints\r\nRequest: r1\r\n\r\nHTTP/1.0 200 OK\r\nRequest: r1\r\nStamp: s1\r\n\r\n",
}

// startCut starts a server that answers each request with the bytes and closes.
func startCut(t *testing.T, response string) netip.AddrPort {
	t.Helper()
	return acceptor.Serve(t, func(conn *net.TCPConn) { acceptor.Answer(conn, response) })
}

// Guards against a server that stops in the head of its response and closes: its caller
// must not get a success with an empty or short body, whatever kind of request it sent.
func TestCutHeadIsNoSuccess(t *testing.T) {
	for _, kind := range []string{"safe", "unsafe", "stream", "resumable", "prefill"} {
		for n, head := range heads {
			t.Run(fmt.Sprintf("%s/%d", kind, n), func(t *testing.T) {
				t.Parallel()
				for cut := range len(head) {
					checkCutHead(t, kind, head[:cut])
				}
			})
		}
	}
}

// checkCutHead sends a request to a server that sends only a part of a head. For the kind
// prefill that is the prefill server.
func checkCutHead(t *testing.T, kind, head string) {
	t.Helper()
	at := startCut(t, head)
	r := forwarding(t, kind, at, reserver.Unbounded())
	call := callOf(kind, "/a")
	if kind == "prefill" {
		prefill := startCut(t, head)
		r = forwardingWith(t, "stream", prefill, at)
		call = callOf("stream", "/a")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	w := httptest.NewRecorder()
	err := forward(ctx, r, call, w)
	r.Close()
	if err == nil || w.Body.Len() > 0 || len(w.Header()) > 0 {
		t.Errorf("after the head %q: status %d with %d bytes, error %v; want an error", head, w.Code, w.Body.Len(), err)
	}
}
