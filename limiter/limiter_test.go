package limiter

import (
	"testing"
	"time"

	"github.com/egretflow/egretflow"
)

// Retries beyond the budget multiply the load of an outage.
func TestBudgetBoundsExtraAttempts(t *testing.T) {
	start := time.Unix(0, 0)
	tests := []struct {
		name     string
		cfg      BudgetConfig
		requests int
		seconds  int
		want     int
	}{
		{"share of requests", BudgetConfig{Percent: 10}, 1000, 10, 100},
		{"no share without requests", BudgetConfig{Percent: 5}, 0, 10, 0},
		{"floor without requests", BudgetConfig{Percent: 10, FloorPerSecond: 1}, 0, 10, 11},
		{"zero percent", BudgetConfig{}, 1000, 10, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := NewBudget(test.cfg, start)
			spent := 0
			for second := range test.seconds {
				for range test.requests / test.seconds {
					b.Earn()
				}
				for b.Spend(start.Add(time.Duration(second+1) * time.Second)) {
					spent++
				}
			}
			if spent < test.want-1 || spent > test.want {
				t.Errorf("spent %d attempts, want %d", spent, test.want)
			}
		})
	}
}

// A budget saved up over a quiet hour must not allow a storm of retries.
func TestBudgetIsBounded(t *testing.T) {
	b := NewBudget(BudgetConfig{Percent: 100, FloorPerSecond: 1}, time.Unix(0, 0))
	for range 1000 {
		b.Earn()
	}
	spent := 0
	for b.Spend(time.Unix(3600, 0)) {
		spent++
	}
	if spent != Burst {
		t.Errorf("spent %d attempts at once, want %d", spent, Burst)
	}
}

func TestStreamsForgetClosedCallers(t *testing.T) {
	s := NewStreams()
	w := &egretflow.Work{Caller: "a", Route: "r"}
	s.Open(w)
	s.Open(w)
	if got := s.Count(w); got != 2 {
		t.Errorf("Count = %d, want 2", got)
	}
	s.Close(w)
	s.Close(w)
	if len(s.open) != 0 {
		t.Errorf("%d callers kept after their streams closed", len(s.open))
	}
}
