package poller

import (
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/exchanger"
	"github.com/egretflow/egretflow/slicer"
)

// engine is an http.RoundTripper that counts requests and returns a load report.
type engine struct{ requests int }

func (e *engine) RoundTrip(r *http.Request) (*http.Response, error) {
	e.requests++
	body := `{"running": 3, "free_blocks": 7, "role": "Decode", "draining": true}`
	return &http.Response{StatusCode: 200, Body: io.NopCloser(strings.NewReader(body)), Request: r}, nil
}

// Guards against needless requests to servers whose load is known from responses
// or that have no load report, and against late reports while grants wait for them.
func TestRequestRate(t *testing.T) {
	tests := []struct {
		name                    string
		kind                    egretflow.PoolKind
		urgent, loadInResponses bool
		want                    int
	}{
		{"owned", egretflow.PoolKindModel, false, false, 10},
		{"grants wait", egretflow.PoolKindModel, true, true, 20},
		{"traffic carries the load", egretflow.PoolKindModel, false, true, int(10 * time.Second / SlowInterval)},
		{"plain service", egretflow.PoolKindService, true, false, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &engine{}
				readings := 0
				server := &egretflow.Server{Name: "s", Address: netip.MustParseAddrPort("10.0.0.1:80")}
				owned := []exchanger.OwnedServer{{ServerShare: slicer.ServerShare{Server: server, Kind: test.kind}, NeedsLoad: test.urgent}}
				p := New(Config{
					Servers: func() []exchanger.OwnedServer { return owned },
					Client:  &http.Client{Transport: e}, Clock: time.Now,
					Observers: []func(egretflow.Observation){func(o egretflow.Observation) {
						if o.Kind != egretflow.ObservationLoad || o.Load.Running != 3 || !o.Load.Draining {
							t.Errorf("observation is %+v", o.Load)
						}
						readings++
					}},
				})
				go func() { _ = p.Run(t.Context()) }()
				for range 100 {
					if test.loadInResponses {
						p.LoadReceived("s", time.Now())
					}
					time.Sleep(100 * time.Millisecond)
				}
				synctest.Wait()
				if e.requests < test.want || e.requests > test.want+1 || readings != e.requests {
					t.Errorf("%d requests in 10 s and %d delivered reports, want %d", e.requests, readings, test.want)
				}
			})
		})
	}
}

// Guards against an old report that a wrong clock makes look new: it would free
// slots that are still in use.
func TestMeasuredAtIsBounded(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 10, 0, time.UTC)
	tests := []struct{ measured, want string }{
		{"2026-01-01T00:00:09Z", "2026-01-01T00:00:09Z"},
		{"2026-01-01T00:00:11Z", "2026-01-01T00:00:08.5Z"},
		{"2025-12-31T00:00:00Z", "2026-01-01T00:00:08.5Z"},
	}
	for _, test := range tests {
		r, err := decodeLoad(strings.NewReader(`{"measured_at": "`+test.measured+`"}`), "s", now)
		if err != nil || r.MeasuredAt.Format(time.RFC3339Nano) != test.want {
			t.Errorf("measured at %s is taken as %v, %v, want %s", test.measured, r, err, test.want)
		}
	}
	for _, body := range []string{"", "{", `{"running": -1}`, `{"role": "Odd"}`} {
		if _, err := decodeLoad(strings.NewReader(body), "s", now); err == nil {
			t.Errorf("load report %q is accepted", body)
		}
	}
}
