package admitter

import (
	"maps"
	"math"
	"time"

	"github.com/egretflow/egretflow"
)

// Shares holds what the organisations of the tables use of one pool, against the
// weights that their quotas give them. Several queues may use one Shares. Without
// organisations it has no effect. It is not safe for concurrent use.
type Shares struct {
	// weights holds the quota of each organisation over the mean of the quotas in the
	// same unit; nil without organisations.
	weights map[egretflow.CallerName]float64
	// quotas holds the quotas in tokens.
	quotas map[egretflow.CallerName]egretflow.Quota
	// hold is how long a request uses its tokens; 0 until it is known.
	hold time.Duration
	// usedTokens counts the tokens of the running requests of each caller.
	usedTokens map[egretflow.CallerName]int
	// spent holds what the callers with a quota in tokens have spent of it.
	spent   map[egretflow.CallerName]spending
	clock   egretflow.Clock
	classes classCounts
}

// NewShares returns a Shares without organisations.
func NewShares(clock egretflow.Clock) *Shares {
	return &Shares{usedTokens: map[egretflow.CallerName]int{}, spent: map[egretflow.CallerName]spending{}, clock: clock}
}

// SetOrganisations replaces the organisations and their weights. What callers use is
// kept.
func (s *Shares) SetOrganisations(organisations []egretflow.Organisation) {
	s.weights, s.quotas = nil, nil
	if len(organisations) == 0 {
		return
	}
	sums, counts := map[egretflow.QuotaUnit]float64{}, map[egretflow.QuotaUnit]float64{}
	for n := range organisations {
		if q := organisations[n].Quota; q != nil {
			sums[q.Unit] += q.PerSecond
			counts[q.Unit]++
		}
	}
	s.weights = make(map[egretflow.CallerName]float64, len(organisations))
	s.quotas = map[egretflow.CallerName]egretflow.Quota{}
	for n := range organisations {
		name, q := organisations[n].Name, organisations[n].Quota
		if q == nil {
			continue
		}
		s.weights[name] = q.PerSecond * counts[q.Unit] / sums[q.Unit]
		if q.Unit == egretflow.QuotaUnitTokens {
			s.quotas[name] = *q
		}
	}
	maps.DeleteFunc(s.spent, func(name egretflow.CallerName, _ spending) bool {
		_, ok := s.quotas[name]
		return !ok
	})
}

// SetHold sets how long a request uses its tokens on average.
func (s *Shares) SetHold(hold time.Duration) { s.hold = hold }

// maxOverspending bounds what counts against a caller beyond its allowance, as a multiple
// of the allowance. A caller that has used an idle pool is thus not delayed for long once
// others need the pool, too.
const maxOverspending = 2

// spending holds the tokens that a caller has started and that its quota has not replaced
// since.
type spending struct {
	tokens    float64
	updatedAt time.Time
}

// ExceedsQuota reports whether caller has started more than its quota allows it to start
// in the time that a request takes.
func (s *Shares) ExceedsQuota(caller egretflow.CallerName) bool {
	return s.Enabled() && s.remaining(caller) <= 0
}

// remaining returns the tokens that caller may start until it exceeds its quota.
func (s *Shares) remaining(caller egretflow.CallerName) float64 {
	allowance, spent := s.allowanceOf(caller)
	if allowance == 0 {
		return math.Inf(1)
	}
	return allowance - spent
}

// allowanceOf returns the tokens that the quota of caller allows to start in the time that
// a request takes, and those that it has spent. Both are 0 if there is no quota in tokens
// or that time is not known.
func (s *Shares) allowanceOf(caller egretflow.CallerName) (allowance, spent float64) {
	q, ok := s.quotas[caller]
	if !ok || s.hold == 0 {
		return 0, 0
	}
	return s.allowance(&q), s.spentTokens(caller, &q)
}

// allowance returns the tokens that q allows to start in the time that a request takes.
func (s *Shares) allowance(q *egretflow.Quota) float64 { return q.PerSecond*s.hold.Seconds() + q.Burst }

// spentTokens returns the tokens that caller has started beyond what q has replaced since.
func (s *Shares) spentTokens(caller egretflow.CallerName, q *egretflow.Quota) float64 {
	spent := s.spent[caller]
	return max(0, spent.tokens-q.PerSecond*s.clock().Sub(spent.updatedAt).Seconds())
}

// spend counts the tokens of a request that starts against the quota of its caller. Further
// attempts of the same request count nothing.
func (s *Shares) spend(w *egretflow.Work) {
	q, ok := s.quotas[w.Caller]
	if !ok || w.Retry || w.Hedge || w.Reacquired {
		return
	}
	spent := s.spentTokens(w.Caller, &q) + float64(tokensInUse(w))
	if s.hold > 0 {
		spent = min(spent, (1+maxOverspending)*s.allowance(&q))
	}
	s.spent[w.Caller] = spending{tokens: spent, updatedAt: s.clock()}
}

// Enabled reports whether the tables have organisations.
func (s *Shares) Enabled() bool { return s != nil && s.weights != nil }

// weight returns the weight of caller. A caller without a quota has the mean weight.
func (s *Shares) weight(caller egretflow.CallerName) float64 {
	if w, ok := s.weights[caller]; ok {
		return w
	}
	return 1
}

// inUse returns the tokens that caller uses, divided by its weight.
func (s *Shares) inUse(caller egretflow.CallerName) float64 {
	return float64(s.usedTokens[caller]) / s.weight(caller)
}

// Use is what a running request uses of a pool.
type Use struct {
	caller egretflow.CallerName
	tokens int
}

// Start counts a request that starts. The result is passed to End when it ends.
func (s *Shares) Start(w *egretflow.Work) Use {
	u := Use{caller: w.Caller, tokens: tokensInUse(w)}
	s.usedTokens[u.caller] += u.tokens
	s.spend(w)
	return u
}

// End counts the end of a request.
func (s *Shares) End(u Use) {
	if s.usedTokens[u.caller] -= u.tokens; s.usedTokens[u.caller] <= 0 {
		delete(s.usedTokens, u.caller)
	}
}

// CountServed counts a request that starts.
func (s *Shares) CountServed(w *egretflow.Work, now time.Time) {
	s.classes.count(w.Importance.Rank(), 1, now)
}

// CountRefused counts a request that is refused, unless its caller exceeds its quota.
func (s *Shares) CountRefused(w *egretflow.Work, now time.Time) {
	if !s.ExceedsQuota(w.Caller) {
		s.classes.count(w.Importance.Rank(), 0, now)
	}
}

// tokensInUse returns the tokens of a request as quotas count them. A call of a service
// counts as 1.
func tokensInUse(w *egretflow.Work) int { return max(1, w.PromptTokens+w.MaxTokens) }

const (
	// minServedRatio is the least share of the requests of a class that are served,
	// as a part of the share of all requests.
	minServedRatio = 0.25
	// classHalfLife is how long it takes until a counted request weighs half.
	classHalfLife = 5 * time.Second
	// minClassCount is the number of requests of a class from which on its share
	// means something.
	minClassCount = 8
)

// classCounts counts the requests that were served or refused, by rank of importance.
type classCounts struct {
	ended, served [4]float64
	updatedAt     time.Time
}

func (c *classCounts) count(rank int, served float64, now time.Time) {
	if age := now.Sub(c.updatedAt); age > 0 {
		keep := math.Exp2(-age.Seconds() / classHalfLife.Seconds())
		for n := range c.ended {
			c.ended[n] *= keep
			c.served[n] *= keep
		}
		c.updatedAt = now
	}
	c.ended[rank]++
	c.served[rank] += served
}

// lacking returns, by rank of importance, how many requests must start until
// minServedRatio is reached.
func (c *classCounts) lacking() (lacking [4]int) {
	var ended, served float64
	for n := range c.ended {
		ended += c.ended[n]
		served += c.served[n]
	}
	for n := range lacking {
		if c.ended[n] < minClassCount {
			continue
		}
		if missing := minServedRatio*served/ended*c.ended[n] - c.served[n]; missing > 0 {
			lacking[n] = int(math.Ceil(missing))
		}
	}
	return lacking
}
