package frontend_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
)

// wireDialect reads the id of the event after which a caller resumes its stream.
type wireDialect struct{ emptyDialect }

func (wireDialect) ReadRequest(r *http.Request, _ time.Time) (egretflow.RequestMetadata, error) {
	return egretflow.RequestMetadata{ID: "r1", ResumeAfter: r.Header.Get("Last-Event-Id")}, nil
}

// wireEngines reads every prefill response as a handle. All engines are reachable. Its
// other methods are not used.
type wireEngines struct{ egretflow.EngineClient }

func (wireEngines) Load(context.Context, *egretflow.Server) (*egretflow.LoadReport, error) {
	return &egretflow.LoadReport{}, nil
}

func (wireEngines) ReadPrefill(body io.Reader) (egretflow.PrefillResult, error) {
	data, err := io.ReadAll(body)
	return egretflow.PrefillResult{Handle: egretflow.KVHandle(data)}, err
}

// hang at the end of a response keeps its connection open.
const hang = "(hang)"

// startServer starts a server that answers its connections with the responses, in
// order, and closes each of them after that.
func startServer(t *testing.T, responses ...string) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	var next atomic.Int64
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.Copy(io.Discard, req.Body)
				}
				response := responses[int(next.Add(1)-1)%len(responses)]
				response, hangs := strings.CutSuffix(response, hang)
				send(c, "%s", response)
				if hangs {
					_, _ = io.Copy(io.Discard, c)
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(ln.Addr().String())
}

// serveStreams starts a Frontend whose decode servers answer with the responses, each
// with one of them.
func serveStreams(t *testing.T, responses ...string) (address string, stop func()) {
	t.Helper()
	pool := egretflow.Pool{Name: "letters", Kind: egretflow.PoolKindModel, Servers: []egretflow.Server{
		{Name: "p", Role: egretflow.RolePrefill, Slots: 4, Address: startServer(t, "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nk1")},
	}}
	for n, response := range responses {
		pool.Servers = append(pool.Servers, egretflow.Server{
			Name: egretflow.ServerName(fmt.Sprint("d", n)), Role: egretflow.RoleDecode, Slots: 4, Address: startServer(t, response),
		})
	}
	tables := &egretflow.Tables{Revision: 1, Pools: []egretflow.Pool{pool}, Routes: []egretflow.Route{{
		Name: "letters", Host: "h", PathPrefix: "/letters", Pool: "letters", Idempotent: true, MaxAttempts: len(responses), Timeout: egretflow.Duration(time.Minute),
	}}}
	return serveForwarding(t, tables, wireDialect{}, wireEngines{})
}

// callRaw sends a request in the given version of HTTP, with the extra header lines,
// and returns all bytes that arrive and the error that ends them; nil at a clean end.
func callRaw(t *testing.T, address, version, header string) ([]byte, error) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	send(c, "POST /letters HTTP/%s\r\nHost: h\r\nConnection: close\r\nContent-Length: 2\r\n%s\r\n{}", version, header)
	return io.ReadAll(c)
}

const (
	streamHead = "HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\n"
	twoEvents  = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"
	thirdEvent = "id: 3\ndata: e3\n\n"
	// cutStream breaks off after two events; wholeRest is the rest of it.
	cutStream = streamHead + "Transfer-Encoding: chunked\r\n\r\n20\r\n" + twoEvents + "\r\n"
	wholeRest = streamHead + "Content-Length: 16\r\n\r\n" + thirdEvent
)

// Guards against a stream that breaks off and looks complete to its caller, or in which
// the caller finds the error of the next server.
func TestCutStreamOnTheWire(t *testing.T) {
	for name, responses := range map[string][]string{
		"Broken":      {cutStream},
		"ErrorNext":   {cutStream, "HTTP/1.1 500 X\r\nContent-Type: text/plain\r\nContent-Length: 7\r\n\r\nerror\n\n"},
		"HeadNext":    {cutStream, streamHead + "\r\nHTTP/1.1 502 Bad Gateway\r\nContent-Type: text/plain\r\n\r\nerror\n\n"},
		"RefusedNext": {cutStream, "HTTP/1.1 503 X\r\nContent-Length: 7\r\n\r\nerror\n\n"},
		"ErrorEvent":  {cutStream, streamHead + "\r\ndata: {\"error\":{\"message\":\"busy\"}}\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := serveStreams(t, responses...)
			got, err := callRaw(t, address, "1.1", "")
			if !bytes.Contains(got, []byte("data: e2\n\n")) || bytes.HasSuffix(got, []byte("0\r\n\r\n")) {
				t.Errorf("the stream is not cut after its second event: %q, %v", got, err)
			}
			if bytes.Count(got, []byte("HTTP/1")) != 1 || bytes.Contains(got, []byte("rror")) {
				t.Errorf("another response stands in the stream: %q", got)
			}
		})
	}
}

// Guards against a header that promises a length which the server that continues the
// stream does not keep.
func TestContinuedStreamOnTheWire(t *testing.T) {
	for name, length := range map[string]int{"Longer": 100, "Shorter": 40, "Chunked": 0} {
		t.Run(name, func(t *testing.T) {
			first := cutStream
			if length > 0 {
				first = fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", streamHead, length, twoEvents)
			}
			address, _ := serveStreams(t, first, wholeRest)
			got, _ := callRaw(t, address, "1.1", "")
			resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(got)), nil)
			if err != nil {
				t.Fatalf("%q: %v", got, err)
			}
			if body, err := io.ReadAll(resp.Body); err != nil || string(body) != twoEvents+thirdEvent {
				t.Errorf("body %q, error %v; response %q", body, err, got)
			}
		})
	}
}

// Guards against a refusal that is sent under the status 200 of a stream without events.
func TestRefusalAfterRepeatedEvents(t *testing.T) {
	address, _ := serveStreams(t, cutStream)
	if got, err := callRaw(t, address, "1.1", "Last-Event-Id: 2\r\n"); !bytes.HasPrefix(got, []byte("HTTP/1.1 502 ")) {
		t.Errorf("response %q, error %v; want status 502", got, err)
	}
}

// Guards against an event that reaches its caller only with the next one, because its
// server has sent a part of that.
func TestEventIsNotHeldBack(t *testing.T) {
	address, _ := serveStreams(t, streamHead+"\r\nid: 1\ndata: e1\n\nid: 2\nda"+hang)
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	send(c, "POST /letters HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	event := make([]byte, len("id: 1\ndata: e1\n\n"))
	if _, err := io.ReadFull(resp.Body, event); err != nil {
		t.Errorf("the event did not arrive within a second: %v", err)
	}
}

// Guards against a cut stream that looks complete to a caller of HTTP/1.0, for which a
// response ends with its connection, and against a whole one that does not.
func TestCutStreamOfOldCaller(t *testing.T) {
	for _, test := range []struct {
		name, response string
		stops, cut     bool
	}{
		{name: "Whole", response: streamHead + "\r\n" + twoEvents},
		{name: "Broken", response: cutStream, cut: true},
		{name: "EndOfDrain", response: streamHead + "\r\n" + twoEvents + hang, stops: true, cut: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			address, stop := serveStreams(t, test.response)
			if test.stops {
				time.AfterFunc(testLameDuck, stop)
			}
			got, err := callRaw(t, address, "1.0", "")
			if !bytes.HasSuffix(got, []byte(twoEvents)) || test.cut != errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("%q, error %v; want a reset: %v", got, err, test.cut)
			}
		})
	}
}
