package limiter

import (
	"time"
)

// Shared is a budget that a fleet shares without messages between its instances:
// in each Window the extra attempts stay below Ratio of the requests plus Slack.
type Shared struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// sharedSpans is the number of spans that a window is counted in.
const sharedSpans = 20

// span counts what happened in one part of a window.
type span struct {
	number   int64
	requests int
	extra    int
}

// SharedBudget is the part of a Shared budget that one instance may spend: Ratio
// of its own requests and an equal part of Slack, within each Window.
type SharedBudget struct {
	shared    Shared
	instances int
	startedAt time.Time
	// spans holds a window and the span that it began in.
	spans [sharedSpans + 1]span
}

// NewSharedBudget returns a budget that nothing was spent of. Its part of Slack
// grows over the first Window after startedAt: what an instance spent before a
// restart is not known.
func NewSharedBudget(shared Shared, instances int, startedAt time.Time) *SharedBudget {
	return &SharedBudget{shared: shared, instances: instances, startedAt: startedAt}
}

// SetInstances changes the number of instances that share the budget.
func (b *SharedBudget) SetInstances(instances int) { b.instances = instances }

// Earn counts a request.
func (b *SharedBudget) Earn(now time.Time) { b.span(now).requests++ }

// Spend takes one attempt and reports whether there was one.
func (b *SharedBudget) Spend(now time.Time) bool {
	if b.Left(now) < 1 {
		return false
	}
	b.span(now).extra++
	return true
}

// Left returns the attempts that may be spent now.
func (b *SharedBudget) Left(now time.Time) float64 {
	newest := b.number(now)
	left := b.slack(now)
	for n := range b.spans {
		s := &b.spans[n]
		if s.number <= newest-int64(len(b.spans)) {
			continue
		}
		left -= float64(s.extra)
		// The oldest span is partly outside of the window.
		if s.number > newest-sharedSpans {
			left += b.shared.Ratio * float64(s.requests)
		}
	}
	return left
}

// slack is the own part of Slack.
func (b *SharedBudget) slack(now time.Time) float64 {
	grown := min(1, now.Sub(b.startedAt).Seconds()/b.shared.Window.Seconds())
	return grown * b.shared.Slack / float64(max(1, b.instances))
}

func (b *SharedBudget) number(now time.Time) int64 {
	return now.UnixNano() / int64(b.shared.Window/sharedSpans)
}

func (b *SharedBudget) span(now time.Time) *span {
	number := b.number(now)
	s := &b.spans[number%int64(len(b.spans))]
	if s.number != number {
		*s = span{number: number}
	}
	return s
}
