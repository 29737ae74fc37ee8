package scheduler

import (
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/limiter"
)

// shareInterval is how often the own part of shared budgets follows the number
// of instances.
const shareInterval = time.Second

// retries returns the budget that pays for another attempt of work: that of its
// pool when the fleet shares one, otherwise that of its route.
func (t *task) retries(work *egretflow.Work, r *route) *limiter.Budget {
	p, ok := t.pools[work.Pool]
	if t.cfg.RetrySlack == 0 || !ok {
		return r.retries
	}
	if p.retries == nil {
		p.retries = limiter.NewBudget(t.share(), t.now)
		p.retries.SetPercent(sharedPercent)
	}
	return p.retries
}

// sharedPercent is the share of extra attempts per 100 requests of a pool that
// the fleet shares a budget for.
const sharedPercent = 20

func (t *task) share() limiter.BudgetConfig {
	instances := 1
	if t.cfg.Instances != nil {
		instances = t.cfg.Instances()
	}
	return limiter.Share(t.cfg.RetrySlack, t.cfg.RetryWindow, instances)
}

// shareBudgets adapts the own part of shared budgets.
func (t *task) shareBudgets() {
	if t.cfg.RetrySlack == 0 || t.now.Sub(t.sharedAt) < shareInterval {
		return
	}
	t.sharedAt = t.now
	share := t.share()
	for _, p := range t.order {
		if p.retries != nil {
			p.retries.SetShare(share)
		}
	}
}
