package limiter

import (
	"time"
)

// SharedBudgetConfig configures a budget that all instances share: in any Window the
// extra attempts of all instances stay below Ratio times their requests plus Slack,
// if their shares of Slack add up to 1 at most.
type SharedBudgetConfig struct {
	// Ratio is the number of extra attempts per request.
	Ratio float64
	// Slack is the number of extra attempts per Window that all instances together
	// may spend in addition.
	Slack  float64
	Window time.Duration
}

// spansPerWindow is the number of spans into which a window is divided for counting.
const spansPerWindow = 20

// span counts the requests and extra attempts of one span of time.
type span struct {
	// number is the number of the span since the Unix epoch.
	number   int64
	requests int
	extra    int
}

// SharedBudget is the part of a shared budget that this instance may spend in
// each Window: Ratio times its requests and its share of Slack. It is not safe for
// concurrent use.
type SharedBudget struct {
	shared SharedBudgetConfig
	// share is the share of Slack, which is reached one Window after sharedAt,
	// starting from fromShare.
	share     float64
	fromShare float64
	sharedAt  time.Time
	// spans is a ring buffer of the spans of a window and the one before them, in
	// which the window may have started.
	spans [spansPerWindow + 1]span
}

// NewSharedBudget returns a budget of which nothing was spent and whose share of Slack
// is 0.
func NewSharedBudget(shared SharedBudgetConfig) *SharedBudget {
	return &SharedBudget{shared: shared}
}

// SetShare changes the share of Slack. A larger share is reached gradually within one
// Window: the instance does not know what it spent before a restart, or what another
// instance has spent of a share that it takes over.
func (b *SharedBudget) SetShare(share float64, now time.Time) {
	if share == b.share {
		return
	}
	b.fromShare = min(b.currentShare(now), share)
	b.share, b.sharedAt = share, now
}

// currentShare returns the share of Slack at now.
func (b *SharedBudget) currentShare(now time.Time) float64 {
	grown := min(1, now.Sub(b.sharedAt).Seconds()/b.shared.Window.Seconds())
	return b.fromShare + grown*(b.share-b.fromShare)
}

// Earn counts a request.
func (b *SharedBudget) Earn(now time.Time) { b.span(now).requests++ }

// Spend takes one extra attempt from the budget and reports whether there was one.
func (b *SharedBudget) Spend(now time.Time) bool {
	if b.Left(now) < 1 {
		return false
	}
	b.span(now).extra++
	return true
}

// Refund gives back an extra attempt that was spent at spentAt and not made.
func (b *SharedBudget) Refund(spentAt time.Time) {
	number := b.spanNumber(spentAt)
	if s := &b.spans[number%int64(len(b.spans))]; s.number == number && s.extra > 0 {
		s.extra--
	}
}

// Left returns the number of extra attempts that may be spent now. It is negative if
// more than allowed were spent, for example after the share became smaller.
func (b *SharedBudget) Left(now time.Time) float64 {
	newest := b.spanNumber(now)
	left := b.shared.Slack * b.currentShare(now)
	for n := range b.spans {
		s := &b.spans[n]
		if s.number <= newest-int64(len(b.spans)) {
			continue
		}
		left -= float64(s.extra)
		// The oldest span is partly outside the window. Its extra attempts count
		// against the budget, and its requests earn nothing.
		if s.number > newest-spansPerWindow {
			left += b.shared.Ratio * float64(s.requests)
		}
	}
	return left
}

// spanNumber returns the number of the span that contains now.
func (b *SharedBudget) spanNumber(now time.Time) int64 {
	return now.UnixNano() / int64(b.shared.Window/spansPerWindow)
}

// span returns the span that contains now, and clears it if it is a new one.
func (b *SharedBudget) span(now time.Time) *span {
	number := b.spanNumber(now)
	s := &b.spans[number%int64(len(b.spans))]
	if s.number != number {
		*s = span{number: number}
	}
	return s
}
