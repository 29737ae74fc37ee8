// Package limiter bounds the number of extra attempts (retries and hedges) and counts
// open streams (5.5).
//
// # Usage
//
//	retries := limiter.NewBudget(limiter.BudgetConfig{Percent: 10, FloorPerSecond: limiter.RetryFloorPerSecond}, now)
//	retries.Earn(now) // once per first attempt
//	if !retries.Spend(now) {
//		return refusal
//	}
//
// # Rules
//
//  1. A Budget earns Percent/100 of an extra attempt per first attempt, plus
//     FloorPerSecond per second, and holds at most Burst attempts. During an
//     outage the extra load therefore stays near Percent of the requests.
//  2. A SharedBudget is this instance's part of the extra attempts that all
//     instances together may spend in any window. It counts the requests and extra
//     attempts of a sliding window, so that attempts that were not spent early in
//     the window can be spent at once when servers fail.
//  3. A stream counts toward the limit of its caller and route from the time it is
//     queued until it is released.
package limiter

import (
	"time"

	"github.com/egretflow/egretflow"
)

// Defaults of budgets.
const (
	// Burst is the maximum number of attempts that a budget holds. A decode server
	// that fails interrupts about 20 streams at the same time.
	Burst = 20
	// RetryFloorPerSecond is the number of retries per second that a route earns
	// without requests, so that routes with few requests can retry.
	RetryFloorPerSecond = 0.5
	// DefaultRetryPercent and DefaultHedgePercent are the retries and hedges per 100
	// first attempts of routes that set none.
	DefaultRetryPercent = 10
	DefaultHedgePercent = 5
)

// BudgetConfig holds the settings of a Budget.
type BudgetConfig struct {
	// Percent is the number of extra attempts earned per 100 first attempts.
	Percent int
	// FloorPerSecond is the number of extra attempts earned per second, independent
	// of requests.
	FloorPerSecond float64
	// Burst is the maximum number of attempts that the budget holds; 0 means the
	// constant Burst.
	Burst float64
}

func (c BudgetConfig) burst() float64 {
	if c.Burst > 0 {
		return c.Burst
	}
	return Burst
}

// Budget is a token bucket of extra attempts that is filled by first attempts and
// over time. It is not safe for concurrent use.
type Budget struct {
	cfg      BudgetConfig
	tokens   float64
	filledAt time.Time
}

// NewBudget returns a budget that initially holds what cfg.FloorPerSecond earns in one
// second.
func NewBudget(cfg BudgetConfig, now time.Time) *Budget {
	return &Budget{cfg: cfg, tokens: cfg.FloorPerSecond, filledAt: now}
}

// SetPercent changes the number of extra attempts earned per 100 first attempts.
func (b *Budget) SetPercent(percent int) { b.cfg.Percent = percent }

// Earn adds what one first attempt earns. The ignored time gives Budget and
// SharedBudget the same method.
func (b *Budget) Earn(time.Time) {
	b.tokens = min(b.cfg.burst(), b.tokens+float64(b.cfg.Percent)/100)
}

// Spend takes one extra attempt from the budget and reports whether there was one.
func (b *Budget) Spend(now time.Time) bool {
	if elapsed := now.Sub(b.filledAt).Seconds(); elapsed > 0 {
		b.tokens = min(b.cfg.burst(), b.tokens+elapsed*b.cfg.FloorPerSecond)
		b.filledAt = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Refund gives back an extra attempt that was not made. The ignored time gives Budget
// and SharedBudget the same method.
func (b *Budget) Refund(time.Time) { b.tokens = min(b.cfg.burst(), b.tokens+1) }

// streamKey identifies the streams of one caller on one route.
type streamKey struct {
	caller egretflow.CallerName
	route  egretflow.RouteName
}

// StreamCounts counts open streams per caller and route. It does not limit them
// and is not safe for concurrent use.
type StreamCounts struct {
	open map[streamKey]int
}

// NewStreamCounts returns a StreamCounts without open streams.
func NewStreamCounts() *StreamCounts { return &StreamCounts{open: map[streamKey]int{}} }

// Count returns the number of open streams of the caller of w on the route of w.
func (s *StreamCounts) Count(w *egretflow.Work) int { return s.open[streamKey{w.Caller, w.Route}] }

// Open counts one more stream of the caller and route of w.
func (s *StreamCounts) Open(w *egretflow.Work) { s.open[streamKey{w.Caller, w.Route}]++ }

// Close counts one stream less. Callers and routes without open streams use no
// memory.
func (s *StreamCounts) Close(w *egretflow.Work) {
	key := streamKey{w.Caller, w.Route}
	if s.open[key]--; s.open[key] <= 0 {
		delete(s.open, key)
	}
}
