package picker

import (
	"slices"
	"time"

	"github.com/egretflow/egretflow"
)

// Policy selects how servers are chosen.
type Policy string

// The policies. All but PolicyJoint are baselines for comparison (rule 7).
const (
	PolicyJoint       Policy = "Joint"
	PolicyRoundRobin  Policy = "RoundRobin"
	PolicyLeastLoaded Policy = "LeastLoaded"
	PolicyPowerOfTwo  Policy = "PowerOfTwo"
)

// Policies lists all policies.
var Policies = []Policy{PolicyJoint, PolicyRoundRobin, PolicyLeastLoaded, PolicyPowerOfTwo}

// PickBaseline chooses each server on its own by a baseline policy. It ignores
// slots and grants.
func (p *Pool) PickBaseline(policy Policy, w *egretflow.Work, o Options, now time.Time) (Placement, bool) {
	pl := Placement{
		Decode: o.Decode, Slots: 1, Candidates: 1, startedAt: now,
		PrefillBy: now, TransferBy: now, FirstTokenAt: now,
	}
	if pl.Decode == nil {
		pl.Decode = p.pickOne(policy, p.decode, w)
	}
	if pl.Decode == nil {
		return Placement{}, false
	}
	if p.kind == egretflow.PoolKindService {
		return pl, true
	}
	if pl.Prefill = p.pickOne(policy, p.prefill, w); pl.Prefill == nil {
		return Placement{}, false
	}
	pl.Slots = pl.Decode.SlotsFor(w)
	pl.tokens = float64(w.PromptTokens)
	pl.bytes = int64(w.PromptTokens) * p.kvBytes
	return pl, true
}

func (p *Pool) pickOne(policy Policy, g *group, w *egretflow.Work) *Server {
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
		s := g.all[g.next%len(g.all)]
		g.next++
		if eligible(s, w) {
			return s
		}
	}
	return nil
}

// leastLoaded scans all servers from a random one, so that equal reports do not
// send every instance to the same server.
func leastLoaded(all []*Server, from int, w *egretflow.Work) *Server {
	var best *Server
	for n := range all {
		s := all[(from+n)%len(all)]
		if eligible(s, w) && (best == nil || s.reported() < best.reported()) {
			best = s
		}
	}
	return best
}

// powerOfTwo compares two different random servers.
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
	case !eligible(a, w) || (eligible(b, w) && b.reported() < a.reported()):
		return b
	}
	return a
}

func (s *Server) reported() int { return s.load.Running + s.load.Waiting }

func eligible(s *Server, w *egretflow.Work) bool {
	return !s.unavailable && !s.draining && !s.Spec.Drain && !slices.Contains(w.Avoid, s.Spec.Name)
}
