package scheduler

import (
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/limiter"
)

// shareInterval is how often the own part of shared budgets follows the number
// of instances.
const shareInterval = time.Second

// SharedRetries is a budget for extra attempts at each pool, which all instances
// of a fleet share.
type SharedRetries struct {
	limiter.Shared
	// Instances counts the instances that share the budget.
	Instances func() int
}

func (s *SharedRetries) part() limiter.BudgetConfig { return s.Part(s.Instances()) }

// retries returns the budget that pays for another attempt of work: that of its
// pool when the fleet shares one, otherwise that of its route.
func (t *task) retries(work *egretflow.Work, r *route) *limiter.Budget {
	p, ok := t.pools[work.Pool]
	if t.cfg.SharedRetries == nil || !ok {
		return r.retries
	}
	if p.retries == nil {
		p.retries = limiter.NewBudget(t.cfg.SharedRetries.part(), t.now)
	}
	return p.retries
}

// shareBudgets adapts the own part of shared budgets.
func (t *task) shareBudgets() {
	if t.cfg.SharedRetries == nil || t.now.Sub(t.sharedAt) < shareInterval {
		return
	}
	t.sharedAt = t.now
	part := t.cfg.SharedRetries.part()
	for _, p := range t.order {
		if p.retries != nil {
			p.retries.SetConfig(part)
		}
	}
}
