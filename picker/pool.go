package picker

import (
	"math/rand/v2"
	"time"

	"github.com/egretflow/egretflow"
)

// Pool holds the servers of one pool. It is not safe for concurrent use.
type Pool struct {
	name    egretflow.PoolName
	kind    egretflow.PoolKind
	kvBytes int64
	gap     time.Duration
	// namesGap says that the table names the gap.
	namesGap bool
	sharing  Sharing
	rand     *rand.Rand
	servers  map[egretflow.ServerName]*Server
	listed   []*Server // in the order of the table
	prefill  *group
	decode   *group
	prefixes *prefixIndex
	learned  learned
	// perPrefill is the mean of uncached tokens per prefill, perService the mean
	// duration of a service call in seconds.
	perPrefill float64
	// prefills counts the computed prompts.
	prefills   int
	perService float64
	// outstanding is the sum over all servers.
	outstanding float64
	tableSlots  int
	// heardAt is when a peer last named its prefill work.
	heardAt   time.Time
	totals    Totals
	nextTotal int
	nextLane  int
	// candidates are reused between choices.
	candidates [2][]candidate
}

// NewPool returns a pool without servers.
func NewPool(r *rand.Rand, sharing Sharing) *Pool {
	return &Pool{
		rand: r, sharing: sharing,
		servers:  map[egretflow.ServerName]*Server{},
		prefill:  newGroup(egretflow.RolePrefill),
		decode:   newGroup(egretflow.RoleDecode),
		prefixes: newPrefixIndex(),
		learned:  learned{prefillRate: defaultPrefillRate, gap: defaultGap},
	}
}

// Kind returns the kind of the pool.
func (p *Pool) Kind() egretflow.PoolKind { return p.kind }

// Name returns the name of the pool.
func (p *Pool) Name() egretflow.PoolName { return p.name }

// Gap returns the nominal time between tokens.
func (p *Pool) Gap() time.Duration { return p.gap }

// Server returns the server with the given name.
func (p *Pool) Server(name egretflow.ServerName) (*Server, bool) {
	s, ok := p.servers[name]
	return s, ok && !s.gone
}

// Servers lists the servers, prefill servers first.
func (p *Pool) Servers(visit func(s *Server)) {
	for _, g := range []*group{p.prefill, p.decode} {
		for _, s := range g.all {
			visit(s)
		}
	}
}

// Apply takes the pool of new tables. Servers keep their accounting; those that
// are no longer listed are forgotten when their last attempt ends.
func (p *Pool) Apply(table *egretflow.Pool, now time.Time) {
	p.name = table.Name
	p.kind, p.kvBytes, p.gap = table.Kind, table.KVBytesPerToken, time.Duration(table.TokenGap)
	if p.namesGap = p.gap > 0; !p.namesGap {
		p.gap = p.learned.gap
	}
	if p.kind == egretflow.PoolKindService {
		p.decode.role = egretflow.RoleService
	}
	for _, s := range p.servers {
		s.gone = true
	}
	p.listed = p.listed[:0]
	for n := range table.Servers {
		p.listed = append(p.listed, p.applyServer(table.Servers[n]))
	}
	for name, s := range p.servers {
		if s.gone && s.inUse == 0 {
			delete(p.servers, name)
		}
	}
	p.regroup(now)
}

func (p *Pool) applyServer(spec egretflow.Server) *Server {
	s, ok := p.servers[spec.Name]
	if !ok {
		s = &Server{openAt: -1, cache: cacheState{trust: 1}, learned: &p.learned}
		p.servers[spec.Name] = s
	}
	if s.Spec == nil || s.Spec.Role != spec.Role {
		s.role, s.Speed, s.Link = spec.Role, nil, nil
	}
	s.Spec, s.gone = &spec, false
	s.cache.budget = cacheBudget(&spec)
	s.byBlocks = p.countsBlocks(&spec)
	if p.sharing != SharingGrants {
		s.limit = s.capacity()
	}
	return s
}

// regroup sorts all servers into their groups again.
func (p *Pool) regroup(now time.Time) {
	for _, g := range []*group{p.prefill, p.decode} {
		for _, s := range g.open {
			s.openAt = -1
		}
		g.all, g.open, g.used = g.all[:0], g.open[:0], 0
	}
	p.tableSlots, p.totals = 0, Totals{}
	for _, s := range p.listed {
		g := p.groupOf(s)
		if s.Speed == nil {
			s.Speed, s.Link = g.speed.Add(), g.links.Add()
		}
		g.all = append(g.all, s)
		g.used += s.inUse
		if g == p.decode {
			p.tableSlots += s.capacity()
		}
		s.counted = Totals{}
		p.changed(s, now)
	}
}

func (p *Pool) groupOf(s *Server) *group {
	if s.role == egretflow.RolePrefill {
		return p.prefill
	}
	return p.decode
}

// Grant sets the slots that may be used of a server until a deadline.
func (p *Pool) Grant(g egretflow.Grant, now time.Time) {
	s, ok := p.Server(g.Server)
	if !ok {
		return
	}
	s.limit, s.expiresAt = min(g.Slots, s.Spec.Slots), g.ExpiresAt
	p.changed(s, now)
}

// SetUnavailable marks a server as leaving or gone.
func (p *Pool) SetUnavailable(s *Server, unavailable bool, now time.Time) {
	s.unavailable = unavailable
	p.changed(s, now)
}

// Report takes a lagging load report. The role that the engine reports is the
// one it can serve, whatever the tables say (8.3).
func (p *Pool) Report(s *Server, load *egretflow.LoadReport, now time.Time) {
	tokens := 0.0
	if p.sharing != SharingNone && now.Sub(p.heardAt) > peerLifetime {
		tokens = p.perPrefill
	}
	s.report(load, tokens, now)
	if load.Role != "" && load.Role != s.role && p.kind == egretflow.PoolKindModel {
		s.role, s.Speed, s.Link = load.Role, nil, nil
		p.regroup(now)
	}
	p.changed(s, now)
}

// Pause leaves a server alone for a moment after it refused work as full.
func (p *Pool) Pause(s *Server, now time.Time) { s.pausedUntil = now.Add(refusedPause) }

// Outstanding returns the own prompt tokens that are not computed yet.
func (p *Pool) Outstanding() float64 { return p.outstanding }

// PendingTransfers returns the KV bytes reserved on links.
func (p *Pool) PendingTransfers() int64 {
	var bytes int64
	for _, s := range p.servers {
		bytes += s.transfers
	}
	return bytes
}

// TableSlots returns the decode slots of all servers in the table.
func (p *Pool) TableSlots() int { return p.tableSlots }

// SlotsFor returns the slots that w occupies on a decode server of the pool.
func (p *Pool) SlotsFor(w *egretflow.Work) int {
	if len(p.decode.all) == 0 {
		return 1
	}
	return p.decode.all[0].SlotsFor(w)
}

// Used returns the decode slots in use.
func (p *Pool) Used() int { return p.decode.used }

// Full reports whether no server of a role that the pool needs has a free slot.
// With peers a request may still start beyond the grants (rule 7).
func (p *Pool) Full() bool {
	if p.kind != egretflow.PoolKindModel {
		return len(p.decode.open) == 0
	}
	return p.sharing != SharingGrants && (len(p.decode.open) == 0 || len(p.prefill.open) == 0)
}

// Median returns the median ratios of prefill and decode servers.
func (p *Pool) Median() (prefill, decode float64) {
	return p.prefill.speed.Median(), p.decode.speed.Median()
}
