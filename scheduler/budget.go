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

// retryBudget pays for attempts after the first.
type retryBudget interface {
	Earn(now time.Time)
	Spend(now time.Time) bool
}

// retries returns the budget that pays for another attempt of work: that of its
// pool when the fleet shares one, otherwise that of its route.
func (t *task) retries(work *egretflow.Work, r *route) retryBudget {
	p, ok := t.pools[work.Pool]
	if t.cfg.SharedRetries == nil || !ok {
		return r.retries
	}
	if p.retries == nil {
		p.retries = limiter.NewSharedBudget(t.cfg.SharedRetries.Shared, t.cfg.SharedRetries.Instances(), t.startedAt)
	}
	return p.retries
}

// shareBudgets adapts the own part of shared budgets.
func (t *task) shareBudgets() {
	if t.cfg.SharedRetries == nil || t.now.Sub(t.sharedAt) < shareInterval {
		return
	}
	t.sharedAt = t.now
	instances := t.cfg.SharedRetries.Instances()
	for _, p := range t.order {
		if p.retries != nil {
			p.retries.SetInstances(instances)
		}
	}
}
