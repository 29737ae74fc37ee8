// Package limiter bounds extra attempts and open streams (5.5).
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
//  1. A budget earns Percent/100 of an attempt per first attempt, plus
//     FloorPerSecond per second, and holds at most Burst attempts. During an
//     outage extra load therefore stays at Percent of the requests.
//  2. A SharedBudget is an equal part of what a fleet may spend in any window. It
//     counts the window exactly, so that a part that was not used early in the
//     window can be spent at once when servers fail.
//  3. A stream counts against the limit of its caller and route from the moment
//     it is queued until it is released.
package limiter

import (
	"time"

	"github.com/egretflow/egretflow"
)

// Defaults of a budget.
const (
	// Burst is the number of attempts that a budget can hold. One lost decode
	// server ends about 20 streams at the same time.
	Burst = 20
	// RetryFloorPerSecond lets a route with few requests retry at all.
	RetryFloorPerSecond = 0.5
	// DefaultRetryPercent and DefaultHedgePercent apply to routes that name
	// none.
	DefaultRetryPercent = 10
	DefaultHedgePercent = 5
)

// BudgetConfig holds the settings of a Budget.
type BudgetConfig struct {
	// Percent is the number of extra attempts per 100 first attempts.
	Percent int
	// FloorPerSecond is earned without any request.
	FloorPerSecond float64
	// Burst is the number of attempts that the budget can hold; 0 means Burst.
	Burst float64
}

func (c BudgetConfig) burst() float64 {
	if c.Burst > 0 {
		return c.Burst
	}
	return Burst
}

// Budget is a token bucket filled by requests.
type Budget struct {
	cfg      BudgetConfig
	tokens   float64
	filledAt time.Time
}

// NewBudget returns a budget that starts with one second of its floor.
func NewBudget(cfg BudgetConfig, now time.Time) *Budget {
	return &Budget{cfg: cfg, tokens: cfg.FloorPerSecond, filledAt: now}
}

// SetPercent changes the share of extra attempts.
func (b *Budget) SetPercent(percent int) { b.cfg.Percent = percent }

// Earn adds the share of one first attempt.
func (b *Budget) Earn(time.Time) {
	b.tokens = min(b.cfg.burst(), b.tokens+float64(b.cfg.Percent)/100)
}

// Spend takes one attempt and reports whether there was one.
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

type streamKey struct {
	caller egretflow.CallerName
	route  egretflow.RouteName
}

// Streams counts open streams per caller and route.
type Streams struct {
	open map[streamKey]int
}

// NewStreams returns an empty count.
func NewStreams() *Streams { return &Streams{open: map[streamKey]int{}} }

// Count returns the open streams of the caller of w on its route.
func (s *Streams) Count(w *egretflow.Work) int { return s.open[streamKey{w.Caller, w.Route}] }

// Open counts one more stream.
func (s *Streams) Open(w *egretflow.Work) { s.open[streamKey{w.Caller, w.Route}]++ }

// Close ends one stream. Memory is bounded by the streams that are open.
func (s *Streams) Close(w *egretflow.Work) {
	key := streamKey{w.Caller, w.Route}
	if s.open[key]--; s.open[key] <= 0 {
		delete(s.open, key)
	}
}
