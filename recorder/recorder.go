// Package recorder holds the metrics of an instance (1.2, 11).
//
// # Usage
//
//	m, err := recorder.New()
//	m.RequestFinished(recorder.Request{Route: "letters", Importance: egretflow.ImportanceHigh, ...})
//	http.Handle("/metrics", m.Handler())
//
// # Rules
//
//  1. The number of label values is bounded: routes and importances come from the
//     tables, reasons and invariants are enums. Requests and servers are never labels,
//     so that the size of a scrape doesn't grow with them. Of the callers only the first
//     maxOrganisations with a quota are; others count as "Other".
//  2. Each metric answers one of the four questions of section 1.2: goodput,
//     wasted prefill, service at the peak, tail latency.
package recorder

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// Bucket limits in seconds. firstTokenBuckets and tokenGapBuckets include the targets
// of section 1.5: 1.1 s to the first token and 31 ms between tokens.
var (
	firstTokenBuckets = []float64{.025, .05, .1, .2, .4, .6, .8, 1.1, 1.5, 2, 3, 5, 10, 30}
	tokenGapBuckets   = []float64{.005, .01, .015, .02, .025, .031, .04, .05, .075, .1, .2, .5, 1}
	durationBuckets   = []float64{.001, .005, .01, .025, .05, .1, .2, .3, .5, .9, 1.5, 3, 6}
)

// Metrics holds the metrics of one instance and the Prometheus registry that
// exports them. Its methods are safe for concurrent use.
type Metrics struct {
	registry       *prometheus.Registry
	meter          metric.Meter
	requests       metric.Int64Counter
	goodput        metric.Int64Counter
	tokens         metric.Int64Counter
	wastedPrefill  metric.Int64Counter
	retries        metric.Int64Counter
	accessDenied   metric.Int64Counter
	violations     metric.Int64Counter
	openRequests   metric.Int64UpDownCounter
	firstToken     metric.Float64Histogram
	tokenGap       metric.Float64Histogram
	queueTime      metric.Float64Histogram
	longestGap     metric.Float64Histogram
	failedAttempts metric.Int64Counter
	cutAnswers     metric.Int64Counter
	storeCalls     metric.Int64Counter
	eraChanges     metric.Int64Counter
	storeCallTime  metric.Float64Histogram
	quotaRequests  metric.Int64Counter
	quotaCharged   metric.Int64Counter
	organisations  organisationLabels
}

// New returns Metrics with a separate Prometheus registry, so that several instances
// can run in one process.
func New() (*Metrics, error) {
	m := &Metrics{registry: prometheus.NewRegistry()}
	reader, err := exporter.New(exporter.WithRegisterer(m.registry), exporter.WithoutScopeInfo(), exporter.WithoutTargetInfo())
	if err != nil {
		return nil, fmt.Errorf("create exporter: %w", err)
	}
	m.meter = sdk.NewMeterProvider(sdk.WithReader(reader)).Meter("egretflow")
	for _, c := range []struct {
		dst        *metric.Int64Counter
		name, help string
	}{
		{&m.requests, "egretflow_requests", "Requests by outcome; the outcome is Served or the reason of the rejection."},
		{&m.goodput, "egretflow_goodput", "Requests served within both the first-token and the per-token target."},
		{&m.tokens, "egretflow_tokens", "Tokens passed on to callers."},
		{&m.wastedPrefill, "egretflow_wasted_prefill_tokens", "Prompt tokens that were computed and not used."},
		{&m.retries, "egretflow_retries", "Further attempts after failed ones."},
		{&m.accessDenied, "egretflow_access_denied", "Wrong or missing credentials, by interface."},
		{&m.failedAttempts, "egretflow_attempts_failed", "Attempts that failed, by reason."},
		{&m.cutAnswers, "egretflow_answers_cut", "Answers that ended after their first event without their end, by outcome."},
		{&m.storeCalls, "egretflow_store_calls", "Calls of the key-value store, by kind and result."},
		{&m.eraChanges, "egretflow_store_era_changes", "Returns of the key-value store from an older copy."},
		{&m.quotaRequests, "egretflow_quota_requests", "Requests of organisations with a quota, by result."},
		{&m.quotaCharged, "egretflow_quota_charged", "What requests were charged, in the unit of the quota."},
		{&m.violations, "egretflow_invariant_violations", "Violations of the invariants of the design."},
	} {
		if *c.dst, err = m.meter.Int64Counter(c.name, metric.WithDescription(c.help)); err != nil {
			return nil, fmt.Errorf("create counter %s: %w", c.name, err)
		}
	}
	if m.openRequests, err = m.meter.Int64UpDownCounter("egretflow_open_requests", metric.WithDescription("Requests in progress.")); err != nil {
		return nil, fmt.Errorf("create gauge: %w", err)
	}
	for _, h := range []struct {
		dst        *metric.Float64Histogram
		name, help string
		buckets    []float64
	}{
		{&m.firstToken, "egretflow_first_token", "Time to the first token or response byte.", firstTokenBuckets},
		{&m.tokenGap, "egretflow_token_gap", "Mean time between the tokens of a request.", tokenGapBuckets},
		{&m.queueTime, "egretflow_queue_time", "Time that a request waited for places, over all its attempts.", durationBuckets},
		{&m.longestGap, "egretflow_longest_pause", "Longest time between two events of a stream.", durationBuckets},
		{&m.storeCallTime, "egretflow_store_call", "Time of a call of the key-value store.", durationBuckets},
	} {
		if *h.dst, err = m.meter.Float64Histogram(h.name, metric.WithDescription(h.help), metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(h.buckets...)); err != nil {
			return nil, fmt.Errorf("create histogram %s: %w", h.name, err)
		}
	}
	return m, nil
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Request describes a finished request for RequestFinished.
type Request struct {
	Route      egretflow.RouteName
	Importance egretflow.Importance
	// Outcome is one of the Outcome constants or an egretflow.RefusalReason.
	Outcome      string
	ArrivedAt    time.Time
	FirstTokenAt time.Time
	LastTokenAt  time.Time
	Tokens       int
	Retries      int
	// QueueTime is the time in the queue over all attempts.
	QueueTime time.Duration
	// LongestGap is the longest time between two events of the stream; 0 means that
	// there was none.
	LongestGap time.Duration
	// FirstTokenTarget and TokenTarget bound the time to the first token and the
	// mean time between tokens of a request that counts as goodput; 0 means no
	// target.
	FirstTokenTarget time.Duration
	TokenTarget      time.Duration
}

// Outcomes of requests that weren't refused. Refused requests have their
// egretflow.RefusalReason as outcome.
const (
	OutcomeServed     = "Served"
	OutcomeCancelled  = "Cancelled"
	OutcomeHandedOver = "HandedOver"
)

// RequestStarted adds a request to the requests in progress. RequestEnded must
// follow it.
func (m *Metrics) RequestStarted() { m.openRequests.Add(context.Background(), 1) }

// RequestEnded removes a request from the requests in progress.
func (m *Metrics) RequestEnded() { m.openRequests.Add(context.Background(), -1) }

// RequestFinished records the outcome, token counts and times of a request whose
// route is known.
func (m *Metrics) RequestFinished(r Request) {
	ctx := context.Background()
	labels := routeLabels(r.Route, r.Importance)
	m.requests.Add(ctx, 1, labels, metric.WithAttributes(attribute.String("outcome", r.Outcome)))
	m.tokens.Add(ctx, int64(r.Tokens), labels)
	m.retries.Add(ctx, int64(r.Retries), labels)
	if !r.FirstTokenAt.IsZero() {
		m.firstToken.Record(ctx, r.FirstTokenAt.Sub(r.ArrivedAt).Seconds(), labels)
	}
	if gap := r.meanGap(); gap > 0 {
		m.tokenGap.Record(ctx, gap.Seconds(), labels)
	}
	m.queueTime.Record(ctx, r.QueueTime.Seconds(), labels)
	if r.LongestGap > 0 {
		m.longestGap.Record(ctx, r.LongestGap.Seconds(), labels)
	}
	if r.withinTargets() {
		m.goodput.Add(ctx, 1, labels)
	}
}

// meanGap returns the mean time between tokens, 0 for fewer than two tokens.
func (r Request) meanGap() time.Duration {
	if r.Tokens < 2 || r.FirstTokenAt.IsZero() {
		return 0
	}
	return r.LastTokenAt.Sub(r.FirstTokenAt) / time.Duration(r.Tokens-1)
}

// withinTargets reports whether the request counts as goodput.
func (r Request) withinTargets() bool {
	return r.Outcome == OutcomeServed && !r.FirstTokenAt.IsZero() &&
		(r.FirstTokenTarget == 0 || r.FirstTokenAt.Sub(r.ArrivedAt) <= r.FirstTokenTarget) &&
		(r.TokenTarget == 0 || r.meanGap() <= r.TokenTarget)
}

// RequestRefused counts a request that was rejected before its route was known.
func (m *Metrics) RequestRefused(reason egretflow.RefusalReason) {
	m.requests.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", string(reason))))
}

// WastedPrefill counts prompt tokens that were computed and not used.
func (m *Metrics) WastedPrefill(w *egretflow.Work, tokens int) {
	m.wastedPrefill.Add(context.Background(), int64(tokens), routeLabels(w.Route, w.Importance))
}

// AttemptFailed counts an attempt that failed.
func (m *Metrics) AttemptFailed(w *egretflow.Work, reason string) {
	m.failedAttempts.Add(context.Background(), 1, routeLabels(w.Route, w.Importance), metric.WithAttributes(attribute.String("reason", reason)))
}

// AnswerCut counts an answer that was cut off after its first event.
func (m *Metrics) AnswerCut(w *egretflow.Work, outcome string) {
	m.cutAnswers.Add(context.Background(), 1, routeLabels(w.Route, w.Importance), metric.WithAttributes(attribute.String("outcome", outcome)))
}

// StoreCalled records the result and duration of a call of the key-value store.
func (m *Metrics) StoreCalled(kind string, took time.Duration, err error) {
	result := "Answered"
	if err != nil {
		result = "Unavailable"
	}
	ctx, label := context.Background(), attribute.String("kind", kind)
	m.storeCalls.Add(ctx, 1, metric.WithAttributes(label, attribute.String("result", result)))
	m.storeCallTime.Record(ctx, took.Seconds(), metric.WithAttributes(label))
}

// StoreEraChanged counts a return of the key-value store from an older copy.
func (m *Metrics) StoreEraChanged() { m.eraChanges.Add(context.Background(), 1) }

// AccessDenied counts a request with a wrong or missing credential. listener names
// the interface that rejected it.
func (m *Metrics) AccessDenied(listener string) {
	m.accessDenied.Add(context.Background(), 1, metric.WithAttributes(attribute.String("interface", listener)))
}

// InvariantViolated counts a violation of an invariant. A checker.Checker calls it.
func (m *Metrics) InvariantViolated(i egretflow.Invariant) {
	m.violations.Add(context.Background(), 1, metric.WithAttributes(attribute.String("invariant", string(i))))
}

func routeLabels(route egretflow.RouteName, importance egretflow.Importance) metric.MeasurementOption {
	return metric.WithAttributes(attribute.String("route", string(route)), attribute.String("importance", string(importance)))
}
