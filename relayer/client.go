package relayer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/pkg/errors"
)

const (
	dialTimeout       = time.Second
	idleConnTimeout   = 20 * time.Second
	idleConnsPerHost  = 32
	connBufferBytes   = 2 << 10
	maxResponseHeader = 64 << 10
)

// client sends requests to backend servers, over pooled connections with do and
// over new ones with open. New ones serve streams, probes of a stalled
// connection, and non-idempotent requests, because net/http repeats a request
// that carries an Idempotency-Key when a reused connection breaks.
type client struct {
	pooled *http.Transport
	dial   DialFunc
	tls    *tls.Config
}

func newClient(dial DialFunc, tlsConfig *tls.Config) *client {
	bounded := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return dial(ctx, network, address)
	}
	if tlsConfig == nil {
		tlsConfig = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	return &client{dial: bounded, tls: tlsConfig, pooled: &http.Transport{
		DialContext: bounded, TLSClientConfig: tlsConfig, DisableCompression: true,
		MaxIdleConnsPerHost: idleConnsPerHost, IdleConnTimeout: idleConnTimeout,
		ReadBufferSize: connBufferBytes, WriteBufferSize: connBufferBytes,
		MaxResponseHeaderBytes: maxResponseHeader,
	}}
}

// roundTrip is one of the ways to send a request.
type roundTrip func(req *http.Request) (resp *http.Response, used bool, err error)

func (c *client) close() { c.pooled.CloseIdleConnections() }

// do sends req. When it returns an error, used says whether a connection was
// obtained, so that bytes of the request may have been written.
func (c *client) do(req *http.Request) (resp *http.Response, used bool, err error) {
	var got atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { got.Store(true) }}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	resp, err = c.pooled.RoundTrip(req)
	return resp, got.Load(), err
}

// serverURL returns the URL of path on a backend server.
func serverURL(address netip.AddrPort, useTLS bool, path string) string {
	if useTLS {
		return "https://" + address.String() + path
	}
	return "http://" + address.String() + path
}

// refusedConnection reports whether the server process is gone: the host
// answered, but nothing listens on the port.
func refusedConnection(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// probe asks a server for its load over a new connection.
func (r *Relayer) probe(server *egretflow.Server, useTLS bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), minPatience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, serverURL(server.Address, useTLS, "/load"), nil)
	if err != nil {
		return fmt.Errorf("build probe: %w", err)
	}
	resp, _, err := r.client.open(req)
	if err != nil {
		return fmt.Errorf("probe server %s: %w", server.Name, err)
	}
	resp.Body.Close()
	return nil
}

const loadHeader = "endpoint-load-metrics"

// observeLoad passes on the load report that a server adds to its answers.
func (r *Relayer) observeLoad(server *egretflow.Server, resp *http.Response) {
	report, ok := decodeLoadHeader(resp.Header.Get(loadHeader), server)
	if !ok {
		return
	}
	now := r.now()
	report.MeasuredAt = now
	r.cfg.Scheduler.Observe(egretflow.Observation{
		Kind: egretflow.ObservationLoad, Server: server.Name, StartedAt: now, EndedAt: now, Load: report,
	})
}

// decodeLoadHeader reads the ORCA load report of a server without its time. It
// reports false if there is none or it makes no sense.
func decodeLoadHeader(header string, server *egretflow.Server) (*egretflow.LoadReport, bool) {
	text, ok := strings.CutPrefix(header, "JSON ")
	if !ok {
		return nil, false
	}
	var report struct {
		Metrics struct {
			Running    int `json:"running"`
			Waiting    int `json:"waiting"`
			FreeBlocks int `json:"free_blocks"`
		} `json:"named_metrics"`
	}
	if json.Unmarshal([]byte(text), &report) != nil {
		return nil, false
	}
	m := report.Metrics
	if m.Running < 0 || m.Waiting < 0 || m.FreeBlocks < 0 {
		return nil, false
	}
	return &egretflow.LoadReport{
		Server: server.Name, Running: m.Running, Waiting: m.Waiting, FreeBlocks: m.FreeBlocks, Role: server.Role,
	}, true
}
