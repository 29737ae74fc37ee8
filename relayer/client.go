package relayer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strings"

	"github.com/egretflow/egretflow"
)

// serverURL returns the URL of path on the backend server at address.
func serverURL(address netip.AddrPort, useTLS bool, path string) string {
	if useTLS {
		return "https://" + address.String() + path
	}
	return "http://" + address.String() + path
}

// probe requests the load of a server over a new connection. It returns nil if
// the server responds within minStageTimeout, with any status.
func (r *Relayer) probe(server *egretflow.Server, useTLS bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), minStageTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, serverURL(server.Address, useTLS, "/load"), nil)
	if err != nil {
		return fmt.Errorf("build probe: %w", err)
	}
	resp, _, err := r.client.Open(req)
	if err != nil {
		return fmt.Errorf("probe server %s: %w", server.Name, err)
	}
	resp.Body.Close()
	return nil
}

// loadHeader is the response header in which servers report their load.
const loadHeader = "endpoint-load-metrics"

// observeLoad reports the load in the header of a server's response to the
// scheduler.
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

// decodeLoadHeader parses an ORCA load report in its JSON form. It leaves
// MeasuredAt unset, and reports false if the header holds no valid report, for
// example because a count is negative.
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
