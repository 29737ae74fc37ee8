package scheduler

import (
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/picker"
)

// headroomThreshold is the share of the held slots in use above which one more slot
// per server is requested, before requests have to wait for it.
const headroomThreshold = 0.75

// applyGrants applies the grants of servers that are in the tables and dispatches
// all pools. Baseline policies ignore grants.
func (t *task) applyGrants(grants []egretflow.Grant) {
	for _, g := range grants {
		if p, ok := t.poolOf[g.Server]; ok && t.usesJointPolicy() {
			p.picker.Grant(g, t.now)
			p.totalsAt = time.Time{}
		}
	}
	for _, p := range t.orderedPools {
		t.dispatch(p)
	}
}

// setUnavailable replaces the set of unavailable servers.
func (t *task) setUnavailable(servers []egretflow.ServerName) {
	clear(t.unavailable)
	for _, name := range servers {
		t.unavailable[name] = true
	}
	t.markUnavailable()
	for _, p := range t.orderedPools {
		t.dispatch(p)
	}
}

// markUnavailable marks in the picker the servers that take no work because they
// are unavailable, changing role or lost.
func (t *task) markUnavailable() {
	for _, p := range t.orderedPools {
		p.picker.Servers(func(s *picker.Server) {
			_, changing := t.roleChanges[s.Spec.Name]
			_, lost := t.lost[s.Spec.Name]
			p.picker.SetUnavailable(s, t.unavailable[s.Spec.Name] || changing || lost, t.now)
		})
	}
}

// demands returns the slots of every server that are in use, held and wanted
// (5.3). The slots of requests that wait, or were refused in the last rateWindow,
// are divided among the servers of their role.
func (t *task) demands(now time.Time) []egretflow.Demand {
	t.rotation++
	var demands []egretflow.Demand
	for _, p := range t.orderedPools {
		slots, items := p.queue.Waiting()
		for rank, n := range p.rates.sum(now).missed {
			slots[rank] += n
			items[rank] += n
		}
		prefill, decode := &demandSplit{wanted: items}, &demandSplit{wanted: slots}
		splitFor := func(s *picker.Server) *demandSplit {
			if s.Role() == egretflow.RolePrefill {
				return prefill
			}
			return decode
		}
		p.picker.Servers(func(s *picker.Server) { splitFor(s).count(s, now) })
		p.picker.Servers(func(s *picker.Server) {
			demands = append(demands, splitFor(s).demand(s, t.rotation, p.lastRank, now))
		})
		if p.blocked != nil {
			t.addBlockedDemand(demands, p, decode.mostFreeServer)
		}
	}
	return demands
}

// addBlockedDemand adds the slots of the blocked request of p to the demand for the
// server name. The request may need several slots of one server, so they are all
// wanted from the decode server that has the most free slots.
func (t *task) addBlockedDemand(demands []egretflow.Demand, p *pool, name egretflow.ServerName) {
	for n := range demands {
		if demands[n].Server == name {
			rank := p.blocked.work.Importance.Rank()
			demands[n].Wanted[rank] = max(demands[n].Wanted[rank], p.blocked.item.Slots)
		}
	}
}

// demandSplit divides the slots that a pool wants of one role between the servers
// of that role. Each server is passed to count first and to demand afterwards.
type demandSplit struct {
	// wanted is the number of slots to divide, by rank of importance.
	wanted  [4]int
	servers int
	// used and held count the slots in use and the slots held on all servers.
	used int
	held int
	// mostFree is the largest number of free slots on one server, and
	// mostFreeServer names that server.
	mostFree       int
	mostFreeServer egretflow.ServerName
	// nextPosition is the number of servers that have been passed to demand.
	nextPosition int
}

// count adds s to the sums.
func (split *demandSplit) count(s *picker.Server, now time.Time) {
	split.servers++
	split.used += s.InUse()
	split.held += s.GrantedSlots(now)
	if free := s.Limit(now) - s.InUse(); free > split.mostFree || split.mostFreeServer == "" {
		split.mostFree, split.mostFreeServer = max(free, 0), s.Spec.Name
	}
}

// demand returns the demand for s with its share of the wanted slots, at most as
// many as s has beyond the held ones. rotation decides which servers get the
// remainder. If the role has little headroom, one more slot is wanted at lastRank.
func (split *demandSplit) demand(s *picker.Server, rotation, lastRank int, now time.Time) egretflow.Demand {
	d := egretflow.Demand{Server: s.Spec.Name, InUse: s.InUse(), Held: s.GrantedSlots(now)}
	position := (split.nextPosition + rotation) % split.servers
	split.nextPosition++
	available := s.Spec.Slots - d.Held
	for rank, wanted := range split.wanted {
		share := wanted / split.servers
		if position < wanted%split.servers {
			share++
		}
		share = min(share, available)
		d.Wanted[rank] = share
		available -= share
	}
	if available > 0 && float64(split.used) > headroomThreshold*float64(split.held) {
		d.Wanted[lastRank]++
	}
	return d
}
