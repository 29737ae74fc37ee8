package picker

import (
	"slices"
	"time"

	"github.com/egretflow/egretflow"
)

// Policy selects how servers are chosen.
type Policy string

// The policies. All but PolicyJoint are baselines for comparison (rule 9).
const (
	PolicyJoint       Policy = "Joint"
	PolicyRoundRobin  Policy = "RoundRobin"
	PolicyLeastLoaded Policy = "LeastLoaded"
	PolicyPowerOfTwo  Policy = "PowerOfTwo"
)

// Policies lists all policies, PolicyJoint first.
var Policies = []Policy{PolicyJoint, PolicyRoundRobin, PolicyLeastLoaded, PolicyPowerOfTwo}

// defaultStageTime is the expected time of a stage of a request without a
// first-token target.
const defaultStageTime = time.Second

// PickBaseline chooses each server independently by a baseline policy. It
// ignores slots and grants. It has no estimate, so it expects the prefill to
// end within the first-token target; the request path derives its timeouts from
// that time, and an earlier one would cancel each prefill that queues at its
// engine.
func (p *Pool) PickBaseline(policy Policy, w *egretflow.Work, o Options, now time.Time) (Placement, bool) {
	by := now.Add(max(defaultStageTime, w.FirstTokenBy.Sub(w.ArrivedAt)))
	pl := Placement{
		Decode: o.Decode, Slots: 1, Candidates: 1, startedAt: now,
		PrefillBy: by, TransferBy: by, FirstTokenAt: by.Add(by.Sub(now)),
	}
	if pl.Decode == nil {
		pl.Decode = p.pickServer(policy, p.decode, w)
	}
	if pl.Decode == nil {
		return Placement{}, false
	}
	if p.kind == egretflow.PoolKindService {
		return pl, true
	}
	if pl.Prefill = p.pickServer(policy, p.prefill, w); pl.Prefill == nil {
		return Placement{}, false
	}
	pl.Slots = pl.Decode.SlotsFor(w)
	pl.uncachedTokens = float64(w.PromptTokens)
	pl.kvBytes = int64(w.PromptTokens) * p.kvBytesPerToken
	return pl, true
}

func (p *Pool) pickServer(policy Policy, g *group, w *egretflow.Work) *Server {
	if len(g.all) == 0 {
		return nil
	}
	switch policy {
	case PolicyLeastLoaded:
		return leastLoaded(g.all, p.rand.IntN(len(g.all)), w)
	case PolicyPowerOfTwo:
		return p.powerOfTwo(g, w)
	}
	for range g.all {
		s := g.all[g.roundRobinNext%len(g.all)]
		g.roundRobinNext++
		if eligible(s, w) {
			return s
		}
	}
	return nil
}

// leastLoaded returns the eligible server with the fewest reported requests. It
// scans all servers from position from, which callers choose at random, so that
// equal reports do not send every instance to the same server.
func leastLoaded(all []*Server, from int, w *egretflow.Work) *Server {
	var best *Server
	for n := range all {
		s := all[(from+n)%len(all)]
		if eligible(s, w) && (best == nil || s.reportedRequests() < best.reportedRequests()) {
			best = s
		}
	}
	return best
}

// powerOfTwo returns the less loaded of two different random servers.
func (p *Pool) powerOfTwo(g *group, w *egretflow.Work) *Server {
	n := len(g.all)
	first := p.rand.IntN(n)
	second := first
	if n > 1 {
		second = (first + 1 + p.rand.IntN(n-1)) % n
	}
	a, b := g.all[first], g.all[second]
	switch {
	case !eligible(a, w) && !eligible(b, w):
		return leastLoaded(g.all, first, w)
	case !eligible(a, w) || (eligible(b, w) && b.reportedRequests() < a.reportedRequests()):
		return b
	}
	return a
}

func (s *Server) reportedRequests() int { return s.load.Running + s.load.Waiting }

func eligible(s *Server, w *egretflow.Work) bool {
	return !s.unavailable && !s.draining && !s.Spec.Drain && !slices.Contains(w.Avoid, s.Spec.Name)
}
