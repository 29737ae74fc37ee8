package frontend_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/checker"
	"github.com/egretflow/egretflow/explainer"
	"github.com/egretflow/egretflow/frontend"
	"github.com/egretflow/egretflow/recorder"
	"github.com/egretflow/egretflow/relayer"
)

// emptyDialect reads nothing from headers and sets none. All requests have the
// same id, which all responses name, and no server signs anything.
type emptyDialect struct{}

func (emptyDialect) ReadRequest(*http.Request, time.Time) (egretflow.RequestMetadata, error) {
	return egretflow.RequestMetadata{ID: "r1"}, nil
}
func (emptyDialect) WriteExchange(http.Header, egretflow.ExchangeMetadata, time.Time) {}
func (emptyDialect) ReadResponse(*http.Response, time.Time) egretflow.ResponseMetadata {
	return egretflow.ResponseMetadata{ID: "r1", Signed: true}
}
func (emptyDialect) WriteRefusal(http.Header, *egretflow.Refusal, time.Time) {}

const (
	testLameDuck     = 100 * time.Millisecond
	testDrainTimeout = 1500 * time.Millisecond
	routeTimeout     = 500 * time.Millisecond
)

// startForwarding starts a Frontend that forwards requests to two service routes
// and a model route, and returns its address; stop starts its shutdown. The service
// answers at once, except on /reports: these answers take until shortly before the
// end of a drain that starts at the same time.
func startForwarding(t *testing.T) (address string, stop func()) {
	t.Helper()
	return startForwardingOn(t, newListener(t))
}

func newListener(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// startForwardingOn is startForwarding with a listener.
func startForwardingOn(t *testing.T, ln net.Listener) (address string, stop func()) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/reports" {
			time.Sleep(testLameDuck + testDrainTimeout - routeTimeout/2)
		}
		_, _ = io.WriteString(w, "done")
	}))
	t.Cleanup(server.Close)
	backend := netip.MustParseAddrPort(server.Listener.Addr().String())
	tables := &egretflow.Tables{Revision: 1, Pools: []egretflow.Pool{
		{Name: "desk", Kind: egretflow.PoolKindService, Servers: []egretflow.Server{{Name: "s", Address: backend, Role: egretflow.RoleService, Slots: 4}}},
		{Name: "letters", Kind: egretflow.PoolKindModel},
	}, Routes: []egretflow.Route{
		{Name: "orders", Host: "h", PathPrefix: "/orders", Pool: "desk", Timeout: egretflow.Duration(routeTimeout)},
		{Name: "reports", Host: "h", PathPrefix: "/reports", Pool: "desk", Timeout: egretflow.Duration(time.Minute)},
		{Name: "letters", Host: "h", PathPrefix: "/letters", Pool: "letters", Timeout: egretflow.Duration(routeTimeout)},
	}}
	return serveForwardingOn(t, ln, tables, emptyDialect{}, nil)
}

// serveForwarding starts a Frontend that forwards requests by tables, and returns its
// address; stop starts its shutdown.
func serveForwarding(t *testing.T, tables *egretflow.Tables, dialect egretflow.Dialect, engines egretflow.EngineClient) (address string, stop func()) {
	t.Helper()
	return serveForwardingOn(t, newListener(t), tables, dialect, engines)
}

// serveForwardingOn is serveForwarding with a listener.
func serveForwardingOn(t *testing.T, ln net.Listener, tables *egretflow.Tables, dialect egretflow.Dialect, engines egretflow.EngineClient) (address string, stop func()) {
	t.Helper()
	return serveForwardingBy(t, ln, newFakeScheduler(tables, 1), dialect, engines)
}

// serveForwardingBy is serveForwardingOn with a scheduler, whose tables are used.
func serveForwardingBy(t *testing.T, ln net.Listener, scheduler *fakeScheduler, dialect egretflow.Dialect, engines egretflow.EngineClient) (address string, stop func()) {
	t.Helper()
	tables := scheduler.tables
	metrics, err := recorder.New()
	if err != nil {
		t.Fatal(err)
	}
	events := explainer.New(16, nil)
	check := checker.New("i", time.Now, events, nil)
	source := rand.New(rand.NewPCG(1, 1))
	rel := relayer.New(relayer.Config{
		Instance: "i", Scheduler: scheduler, Recorder: events, Checker: check, Clock: time.Now, Rand: source,
		Dial: (&net.Dialer{}).DialContext, Dialect: dialect, Engines: engines,
	})
	f := frontend.New(frontend.Config{
		Instance: "i", Relayer: rel, Tables: func() *egretflow.Tables { return tables }, Recorder: events, Checker: check, Metrics: metrics,
		Clock: time.Now, Rand: source, Dialect: dialect, Limits: frontend.Limits{LameDuck: testLameDuck, DrainTimeout: testDrainTimeout},
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- f.Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("serve: %v", err)
		}
		rel.Close()
	})
	return ln.Addr().String(), cancel
}

// post sends a request on a new connection and returns the status of the response.
func post(t *testing.T, address, path string) (int, error) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+path, strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// TestCallsDuringDrain guards against an instance that, during its drain, refuses
// short service calls although it has the time to serve them, and against calls
// that it accepts and then cuts at the end of the drain.
func TestCallsDuringDrain(t *testing.T) {
	address, stop := startForwarding(t)
	report := make(chan error, 1)
	go func() {
		status, err := post(t, address, "/reports")
		if status != http.StatusOK {
			err = errors.Join(err, fmt.Errorf("status %d", status))
		}
		report <- err
	}()
	time.Sleep(testLameDuck / 2)
	stop()
	lastCall := time.Now().Add(testLameDuck + testDrainTimeout - routeTimeout)
	time.Sleep(2 * testLameDuck)
	for _, test := range []struct {
		path string
		want int
	}{
		{"/orders", http.StatusOK},
		{"/reports", http.StatusServiceUnavailable},
		{"/letters", http.StatusServiceUnavailable},
	} {
		if status, err := post(t, address, test.path); status != test.want || err != nil {
			t.Errorf("%s during the drain: status %d, error %v; want %d", test.path, status, err, test.want)
		}
	}
	time.Sleep(time.Until(lastCall) + routeTimeout/10)
	if status, err := post(t, address, "/orders"); status != http.StatusServiceUnavailable || err != nil {
		t.Errorf("a call that may outlast the drain: status %d, error %v; want 503", status, err)
	}
	if err := <-report; err != nil {
		t.Errorf("the request that was open at the stop: %v", err)
	}
}

// slowListener accepts connections that write each part of a response late.
type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return slowConn{c}, err
}

type slowConn struct{ net.Conn }

func (c slowConn) Write(p []byte) (int, error) {
	time.Sleep(testLameDuck / 2)
	return c.Conn.Write(p)
}

// Guards against a last response of a drain that is cut because it is not written out
// when its handler returns.
func TestLastResponseOfDrainIsWrittenOut(t *testing.T) {
	address, stop := startForwardingOn(t, slowListener{newListener(t)})
	time.AfterFunc(testLameDuck, stop)
	if status, err := post(t, address, "/reports"); status != http.StatusOK || err != nil {
		t.Errorf("status %d, error %v", status, err)
	}
}
