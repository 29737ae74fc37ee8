// Package stubtest serves stubs of outside systems over an in-memory network in
// tests.
//
// # Usage
//
// Inside a synctest bubble:
//
//	hosts := stubtest.New(t)
//	hosts.Serve("10.0.0.1:80", svc, svc.Faults)
//	client := hosts.Client("10.0.0.9")
//	client.Post("http://10.0.0.1:80/orders", ...)
//	hosts.Network.Silence(netip.MustParseAddr("10.0.0.1"))
//
// Servers and idle connections are closed at the end of the test.
package stubtest

import (
	"net/http"
	"net/netip"
	"testing"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/pipenet"
	"github.com/egretflow/egretflow/internal/stub/fault"
)

// Hosts is an in-memory network on which tests run servers and clients.
type Hosts struct {
	Network *pipenet.Network
	t       testing.TB
}

// New returns a network without hosts.
func New(t testing.TB) *Hosts {
	return &Hosts{Network: pipenet.New(egretflow.SystemClock), t: t}
}

// Serve serves handler, with the ConnContext of faults, on the IP address and
// port addr until the end of the test.
func (h *Hosts) Serve(addr string, handler http.Handler, faults *fault.Set) {
	h.t.Helper()
	ln, err := h.Network.Listen(netip.MustParseAddrPort(addr))
	if err != nil {
		h.t.Fatalf("listen on %s: %v", addr, err)
	}
	srv := &http.Server{Handler: handler, ConnContext: faults.ConnContext}
	go func() { _ = srv.Serve(ln) }()
	h.t.Cleanup(func() { _ = srv.Close() })
}

// Client returns an HTTP client that connects from the IP address host. Its idle
// connections are closed at the end of the test.
func (h *Hosts) Client(host string) *http.Client {
	transport := &http.Transport{DialContext: h.Network.Dialer(netip.MustParseAddr(host))}
	h.t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}
