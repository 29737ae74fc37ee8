package scheduler

import (
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/limiter"
)

// budgetUpdateInterval is how often this instance's part of the shared budgets is
// adapted to the number of instances.
const budgetUpdateInterval = time.Second

// SharedRetryBudget is a budget for extra attempts at each pool that all
// instances share.
type SharedRetryBudget struct {
	limiter.SharedBudgetConfig
	// Instances returns the number of instances that share the budget.
	Instances func() int
}

// retryBudget limits the attempts after the first.
type retryBudget interface {
	Earn(now time.Time)
	Spend(now time.Time) bool
}

// retryBudgetFor returns the budget for further attempts of work: that of its pool
// if instances share budgets, otherwise that of its route r.
func (t *task) retryBudgetFor(work *egretflow.Work, r *route) retryBudget {
	p, ok := t.pools[work.Pool]
	if t.cfg.SharedRetryBudget == nil || !ok {
		return r.retries
	}
	if p.retries == nil {
		p.retries = limiter.NewSharedBudget(t.cfg.SharedRetryBudget.SharedBudgetConfig, t.cfg.SharedRetryBudget.Instances(), t.startedAt)
	}
	return p.retries
}

// updateSharedBudgets adapts this instance's part of the shared budgets to the
// number of instances.
func (t *task) updateSharedBudgets() {
	if t.cfg.SharedRetryBudget == nil || t.now.Sub(t.budgetsUpdatedAt) < budgetUpdateInterval {
		return
	}
	t.budgetsUpdatedAt = t.now
	instances := t.cfg.SharedRetryBudget.Instances()
	for _, p := range t.orderedPools {
		if p.retries != nil {
			p.retries.SetInstances(instances)
		}
	}
}
