package recorder

import (
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// scrape returns the metrics in the Prometheus text format.
func scrape(t *testing.T, m *Metrics) string {
	t.Helper()
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}

// stateOfLargeFleet returns the state of an instance in a fleet of about 10,000
// backend servers in 10 pools.
func stateOfLargeFleet() State {
	s := State{Revision: 7, ConfirmedAt: noon, DroppedLines: map[string]uint64{"info": 3}}
	s.Configuration = egretflow.ConfigurationState{Version: 12, KnownVersion: 14, ConfirmedAt: noon.Add(time.Second)}
	for n := range 10 {
		s.Pools = append(s.Pools, egretflow.PoolStatus{
			Name: egretflow.PoolName(fmt.Sprintf("letters-%d", n)), UsableCapacity: 100, UsedCapacity: 20,
			Queued: 4, QueuedLate: 5, RetriesLeft: 1.5,
			Servers: map[egretflow.ServerGroup]int{{Role: egretflow.RoleDecode, State: egretflow.ServerStateSuspect}: 999},
			Speeds:  map[egretflow.SpeedGroup]int{{Role: egretflow.RoleDecode, Speed: egretflow.ServerSpeedSlower}: 99},
		})
	}
	return s
}

// Guards against metrics that are documented for operators but missing from a
// scrape or exported with another name, label or value.
func TestScrapeHasAllMetrics(t *testing.T) {
	m, err := New()
	if err != nil {
		t.Fatal(err)
	}
	if err := m.ObserveState(func() time.Time { return noon.Add(1500 * time.Millisecond) }, stateOfLargeFleet); err != nil {
		t.Fatal(err)
	}
	work := &egretflow.Work{Route: "letters", Importance: egretflow.ImportanceHigh}
	m.RequestFinished(Request{
		Route: work.Route, Importance: work.Importance, Outcome: OutcomeServed, ArrivedAt: noon,
		FirstTokenAt: noon.Add(300 * time.Millisecond), LastTokenAt: noon.Add(time.Second), Tokens: 10, Retries: 1,
		QueueTime: 120 * time.Millisecond, LongestGap: 250 * time.Millisecond,
	})
	m.AttemptFailed(work, "Broken")
	m.WastedPrefill(work, 300)
	m.StoreCalled("Watch", 4*time.Millisecond, nil)
	m.StoreEraChanged()
	m.StoreCalled("Watch", 900*time.Millisecond, errors.New("timeout"))
	const labels = `importance="High",`
	got := scrape(t, m)
	for _, want := range []string{
		`egretflow_requests_total{` + labels + `outcome="Served",route="letters"} 1`,
		`egretflow_queue_time_seconds_bucket{` + labels + `route="letters",le="0.2"} 1`,
		`egretflow_longest_pause_seconds_bucket{` + labels + `route="letters",le="0.2"} 0`,
		`egretflow_longest_pause_seconds_bucket{` + labels + `route="letters",le="0.3"} 1`,
		`egretflow_attempts_failed_total{` + labels + `reason="Broken",route="letters"} 1`,
		`egretflow_wasted_prefill_tokens_total{` + labels + `route="letters"} 300`,
		`egretflow_store_calls_total{kind="Watch",result="Answered"} 1`,
		`egretflow_store_era_changes_total 1`,
		`egretflow_store_calls_total{kind="Watch",result="Unavailable"} 1`,
		`egretflow_store_call_seconds_count{kind="Watch"} 2`,
		`egretflow_servers{pool="letters-3",role="Decode",state="Suspect"} 999`,
		`egretflow_server_speeds{pool="letters-3",role="Decode",speed="Slower"} 99`,
		`egretflow_queued_requests{lane="Late",pool="letters-3"} 5`,
		`egretflow_retries_left{pool="letters-3"} 1.5`,
		`egretflow_tables_revision 7`,
		`egretflow_tables_age_seconds 1.5`,
		`egretflow_configuration_version 12`,
		`egretflow_configuration_known_version 14`,
		`egretflow_configuration_age_seconds 0.5`,
		`egretflow_log_lines_dropped_total{level="info"} 3`,
	} {
		if !strings.Contains(got, want+"\n") {
			t.Errorf("scrape lacks the line %s", want)
		}
	}
	if t.Failed() {
		t.Log(got)
	}
}

// Guards against a scrape whose size grows with the number of requests or backend
// servers because a label holds more than pools, routes and enums.
func TestScrapeSizeIsBounded(t *testing.T) {
	m, err := New()
	if err != nil {
		t.Fatal(err)
	}
	if err := m.ObserveState(func() time.Time { return noon }, stateOfLargeFleet); err != nil {
		t.Fatal(err)
	}
	lines := 0
	for round := range 3 {
		for n := range 1000 {
			work := &egretflow.Work{
				Route: "letters", Importance: egretflow.ImportanceHigh,
				Request: egretflow.RequestID(fmt.Sprint(round, n)), Caller: egretflow.CallerName(fmt.Sprint(n)),
			}
			m.RequestFinished(Request{Route: work.Route, Importance: work.Importance, Outcome: OutcomeServed})
			m.AttemptFailed(work, "Broken")
		}
		got := strings.Count(scrape(t, m), "\n")
		if round > 0 && got != lines {
			t.Errorf("%d lines after more requests, %d before", got, lines)
		}
		lines = got
	}
}

// BenchmarkScrape measures one scrape with 100 routes and 10 pools, a figure in
// docs/CAPACITY.md.
func BenchmarkScrape(b *testing.B) {
	m, err := New()
	if err != nil {
		b.Fatal(err)
	}
	if err := m.ObserveState(func() time.Time { return noon }, stateOfLargeFleet); err != nil {
		b.Fatal(err)
	}
	for n := range 100 {
		m.RequestFinished(Request{Route: egretflow.RouteName(fmt.Sprint(n)), Importance: egretflow.ImportanceHigh, Outcome: OutcomeServed})
	}
	handler, r := m.Handler(), httptest.NewRequest("GET", "/metrics", nil)
	for b.Loop() {
		handler.ServeHTTP(httptest.NewRecorder(), r)
	}
}
