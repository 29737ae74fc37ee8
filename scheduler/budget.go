package scheduler

import (
	"net/http"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/admitter"
	"github.com/egretflow/egretflow/limiter"
)

// budgetUpdateInterval is how often this instance's share of the shared budgets is
// read again.
const budgetUpdateInterval = time.Second

// SharedRetryBudget is a budget for extra attempts at each pool that all
// instances share.
type SharedRetryBudget struct {
	limiter.SharedBudgetConfig
	// Share returns the share of SharedBudgetConfig.Slack that this instance may
	// spend on a pool.
	Share func(pool egretflow.PoolName, kind egretflow.PoolKind) float64
}

// retryBudget limits the attempts after the first.
type retryBudget interface {
	Earn(now time.Time)
	Spend(now time.Time) bool
	// Refund gives back an attempt that was spent at spentAt and not made.
	Refund(spentAt time.Time)
}

// spendRetry takes the attempt of w from the budget, or refuses w and returns false.
func (t *task) spendRetry(w *waiter, r *route) bool {
	b := t.retryBudgetFor(w.work, r)
	if !b.Spend(t.now) {
		t.refuse(w, http.StatusServiceUnavailable, egretflow.RefusalOverload, "the retry budget is spent", admitter.Verdict{})
		return false
	}
	w.spentFrom, w.spentAt = b, t.now
	return true
}

// refundRetry gives back what w has spent, because its wait ended without servers.
func (w *waiter) refundRetry() {
	if w.spentFrom != nil {
		w.spentFrom.Refund(w.spentAt)
		w.spentFrom = nil
	}
}

// retryBudgetFor returns the budget for further attempts of work: that of its pool
// if instances share budgets, otherwise that of its route r.
func (t *task) retryBudgetFor(work *egretflow.Work, r *route) retryBudget {
	p, ok := t.pools[work.Pool]
	if t.cfg.SharedRetryBudget == nil || !ok {
		return r.retries
	}
	return p.retries
}

// newSharedBudget returns the shared budget of a new pool, or nil if instances do not
// share budgets.
func (t *task) newSharedBudget(pool *egretflow.Pool) *limiter.SharedBudget {
	if t.cfg.SharedRetryBudget == nil {
		return nil
	}
	b := limiter.NewSharedBudget(t.cfg.SharedRetryBudget.SharedBudgetConfig)
	b.SetShare(t.cfg.SharedRetryBudget.Share(pool.Name, pool.Kind), t.now)
	return b
}

// updateSharedBudgets reads this instance's share of the shared budgets again.
func (t *task) updateSharedBudgets() {
	if t.cfg.SharedRetryBudget == nil || t.now.Sub(t.budgetsUpdatedAt) < budgetUpdateInterval {
		return
	}
	t.budgetsUpdatedAt = t.now
	for _, p := range t.orderedPools {
		p.retries.SetShare(t.cfg.SharedRetryBudget.Share(p.picker.Name(), p.picker.Kind()), t.now)
	}
}
