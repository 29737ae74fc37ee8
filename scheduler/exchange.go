package scheduler

import (
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/picker"
)

// headroomShare is the used share of the held slots above which one more slot
// per server is wanted before requests have to wait.
const headroomShare = 0.75

func (t *task) applyGrants(grants []egretflow.Grant) {
	for _, g := range grants {
		if p, ok := t.poolOf[g.Server]; ok && t.joint() {
			p.picker.Grant(g, t.now)
			p.totalsAt = time.Time{}
		}
	}
	for _, p := range t.order {
		t.dispatch(p)
	}
}

func (t *task) setUnavailable(servers []egretflow.ServerName) {
	clear(t.unavailable)
	for _, name := range servers {
		t.unavailable[name] = true
	}
	t.markUnavailable()
	for _, p := range t.order {
		t.dispatch(p)
	}
}

func (t *task) markUnavailable() {
	for _, p := range t.order {
		p.picker.Servers(func(s *picker.Server) {
			_, changing := t.changing[s.Spec.Name]
			_, lost := t.lost[s.Spec.Name]
			p.picker.SetUnavailable(s, t.unavailable[s.Spec.Name] || changing || lost, t.now)
		})
	}
}

// demands lists use and want of every server (5.3). What waits or was refused
// in the last second is spread over the servers of its role.
func (t *task) demands(now time.Time) []egretflow.Demand {
	t.rotation++
	var demands []egretflow.Demand
	for _, p := range t.order {
		slots, items := p.queue.Waiting()
		for rank, n := range p.rates.sum(now).turnedAway {
			slots[rank] += n
			items[rank] += n
		}
		prefill, decode := &spread{wanted: items}, &spread{wanted: slots}
		of := func(s *picker.Server) *spread {
			if s.Role() == egretflow.RolePrefill {
				return prefill
			}
			return decode
		}
		p.picker.Servers(func(s *picker.Server) { of(s).count(s, now) })
		p.picker.Servers(func(s *picker.Server) {
			demands = append(demands, of(s).demand(s, t.rotation, p.lastRank, now))
		})
		if p.blocked != nil {
			t.addBlocked(demands, p, decode.widestName)
		}
	}
	return demands
}

// addBlocked wants room for a request that needs several slots of one server
// at the server that already has the most.
func (t *task) addBlocked(demands []egretflow.Demand, p *pool, name egretflow.ServerName) {
	for n := range demands {
		if demands[n].Server == name {
			rank := p.blocked.work.Importance.Rank()
			demands[n].Wanted[rank] = max(demands[n].Wanted[rank], p.blocked.item.Slots)
		}
	}
}

// spread divides what a role of a pool wants between its servers.
type spread struct {
	wanted  [4]int
	servers int
	used    int
	held    int
	// widest is the largest number of free slots on one server.
	widest     int
	widestName egretflow.ServerName
	next       int
}

func (p *spread) count(s *picker.Server, now time.Time) {
	p.servers++
	p.used += s.InUse()
	p.held += s.Held(now)
	if free := s.Limit(now) - s.InUse(); free > p.widest || p.widestName == "" {
		p.widest, p.widestName = max(free, 0), s.Spec.Name
	}
}

// demand gives s its share of what is wanted. The rotation decides which
// servers get the remainder.
func (p *spread) demand(s *picker.Server, rotation, lastRank int, now time.Time) egretflow.Demand {
	d := egretflow.Demand{Server: s.Spec.Name, InUse: s.InUse(), Held: s.Held(now)}
	position := (p.next + rotation) % p.servers
	p.next++
	room := s.Spec.Slots - d.Held
	for rank, wanted := range p.wanted {
		share := wanted / p.servers
		if position < wanted%p.servers {
			share++
		}
		share = min(share, room)
		d.Wanted[rank] = share
		room -= share
	}
	if room > 0 && float64(p.used) > headroomShare*float64(p.held) {
		d.Wanted[lastRank]++
	}
	return d
}
