package picker

import (
	"math/rand/v2"
	"time"

	"github.com/egretflow/egretflow"
)

// Pool holds the servers of one pool and what is reserved on them. It is not
// safe for concurrent use.
type Pool struct {
	name            egretflow.PoolName
	kind            egretflow.PoolKind
	kvBytesPerToken int64
	tokenGap        time.Duration
	// eventTokens is the number of tokens in one event of a stream; 0 if unknown.
	eventTokens int
	// gapFromTable is true if the table gives the token gap; otherwise it is
	// learned.
	gapFromTable bool
	sharing      Sharing
	rand         *rand.Rand
	servers      map[egretflow.ServerName]*Server
	listed       []*Server // in the order of the table
	prefill      *group
	decode       *group
	prefixes     *prefixIndex
	learned      learnedRates
	// meanUncachedTokens is the mean number of uncached tokens per prefill.
	meanUncachedTokens float64
	// computedPrompts counts the prompts in meanUncachedTokens. meanServiceTime
	// is the mean duration of a service call in seconds; 0 before the first
	// one.
	computedPrompts int
	meanServiceTime float64
	// reuseShare is the mean share of a prompt that some server keeps already.
	reuseShare float64
	// outstanding is the sum of the prompt tokens of this instance that are not
	// computed yet. decodeCapacity is the sum of the capacities of all decode
	// servers.
	outstanding    float64
	decodeCapacity int
	// peerLoadAt is when a peer last reported its prefill work.
	peerLoadAt time.Time
	totals     Totals
	// speedsAt is when the typical speeds were last taken from the servers.
	speedsAt    time.Time
	nextCounted int
	nextPrefill int
	// candidates are buffers for the decode and the prefill candidates, reused
	// between choices.
	candidates [2][]candidate
	// fullHolders is a buffer for the prefill servers that keep the beginning of a prompt
	// and have no free slot, reused by each choice.
	fullHolders []candidate
}

// NewPool returns a pool without servers. r draws the samples of candidates.
func NewPool(r *rand.Rand, sharing Sharing) *Pool {
	return &Pool{
		rand: r, sharing: sharing,
		servers:  map[egretflow.ServerName]*Server{},
		prefill:  newGroup(egretflow.RolePrefill),
		decode:   newGroup(egretflow.RoleDecode),
		prefixes: newPrefixIndex(),
		learned:  learnedRates{prefillRate: defaultPrefillRate, tokenGap: defaultGap},
	}
}

// Kind returns whether the pool serves a model or a service.
func (p *Pool) Kind() egretflow.PoolKind { return p.kind }

// Name returns the name of the pool.
func (p *Pool) Name() egretflow.PoolName { return p.name }

// Gap returns the nominal time between tokens, from the table or learned.
func (p *Pool) Gap() time.Duration { return p.tokenGap }

// Server returns the server with the given name, and false if the table does
// not list it.
func (p *Pool) Server(name egretflow.ServerName) (*Server, bool) {
	s, ok := p.servers[name]
	return s, ok && !s.delisted
}

// Servers calls visit for each server of the table, prefill servers first.
func (p *Pool) Servers(visit func(s *Server)) {
	for _, g := range []*group{p.prefill, p.decode} {
		for _, s := range g.all {
			visit(s)
		}
	}
}

// Apply takes the pool of new tables. Listed servers keep their accounting;
// servers that are no longer listed are removed by the first call after their
// last attempt has ended.
func (p *Pool) Apply(table *egretflow.Pool, now time.Time) {
	p.name, p.eventTokens = table.Name, table.EventTokens
	p.kind, p.kvBytesPerToken, p.tokenGap = table.Kind, table.KVBytesPerToken, time.Duration(table.TokenGap)
	if p.gapFromTable = p.tokenGap > 0; !p.gapFromTable {
		p.tokenGap = p.learned.tokenGap
	}
	if p.kind == egretflow.PoolKindService {
		p.decode.role = egretflow.RoleService
	}
	for _, s := range p.servers {
		s.delisted = true
	}
	p.listed = p.listed[:0]
	for n := range table.Servers {
		p.listed = append(p.listed, p.applyServer(table.Servers[n]))
	}
	for name, s := range p.servers {
		if s.delisted && s.inUse == 0 {
			delete(p.servers, name)
		}
	}
	p.regroup(now)
}

func (p *Pool) applyServer(spec egretflow.Server) *Server {
	s, ok := p.servers[spec.Name]
	if !ok {
		s = &Server{openIndex: -1, cache: cacheState{trust: 1}, learned: &p.learned}
		p.servers[spec.Name] = s
	}
	switch {
	case s.Spec == nil || s.Spec.Role != spec.Role:
		s.role, s.Speed, s.Link = spec.Role, nil, nil
	case !s.Spec.StartedAt.Equal(spec.StartedAt):
		// What was observed of the former process says nothing about this one.
		s.Speed, s.Link = nil, nil
	}
	if s.Spec != nil && !s.Spec.StartedAt.Equal(spec.StartedAt) {
		s.cache.forget()
	}
	s.Spec, s.delisted = &spec, false
	s.cache.capacityTokens = cacheCapacity(&spec)
	s.byBlocks = p.countsBlocks(&spec)
	if p.sharing != SharingGrants {
		s.limit = s.capacity()
	}
	return s
}

// regroup rebuilds both groups and the sums of the pool from the listed
// servers.
func (p *Pool) regroup(now time.Time) {
	for _, g := range []*group{p.prefill, p.decode} {
		for _, s := range g.open {
			s.openIndex = -1
		}
		g.all, g.open, g.used = g.all[:0], g.open[:0], 0
	}
	p.decodeCapacity, p.totals = 0, Totals{}
	for _, s := range p.listed {
		g := p.groupOf(s)
		if s.Speed == nil {
			s.Speed, s.Link = g.speed.Add(), g.links.Add()
		}
		g.all = append(g.all, s)
		g.used += s.inUse
		if g == p.decode {
			p.decodeCapacity += s.capacity()
		}
		s.countedTotals = Totals{}
	}
	p.refreshSpeeds(now)
	for _, s := range p.listed {
		p.serverChanged(s, now)
	}
}

func (p *Pool) groupOf(s *Server) *group {
	if s.role == egretflow.RolePrefill {
		return p.prefill
	}
	return p.decode
}

// Grant sets the slots of a server that may be used until the deadline of the
// grant. It ignores servers that the table does not list.
func (p *Pool) Grant(g egretflow.Grant, now time.Time) {
	s, ok := p.Server(g.Server)
	if !ok {
		return
	}
	s.limit, s.expiresAt = min(g.Slots, s.Spec.Slots), g.ExpiresAt
	p.serverChanged(s, now)
}

// SetUnavailable sets whether the server must get no new work, because it
// is leaving or no longer exists.
func (p *Pool) SetUnavailable(s *Server, unavailable bool, now time.Time) {
	s.unavailable = unavailable
	p.serverChanged(s, now)
}

// ApplyLoadReport applies a load report, which lags behind the server's load.
// The role that the engine reports overrides the one in the tables (8.3).
func (p *Pool) ApplyLoadReport(s *Server, load *egretflow.LoadReport, now time.Time) {
	tokens := 0.0
	if p.sharing != SharingNone && now.Sub(p.peerLoadAt) > peerBacklogLifetime {
		tokens = p.meanUncachedTokens
	}
	s.report(load, tokens, now)
	s.evictBeyondRoom(now)
	if load.Role != "" && load.Role != s.role && p.kind == egretflow.PoolKindModel {
		s.role, s.Speed, s.Link = load.Role, nil, nil
		p.regroup(now)
	}
	p.serverChanged(s, now)
}

// Pause excludes a server after it refused work because it was full: until the given
// time, or for refusedPause if that is longer.
func (p *Pool) Pause(s *Server, until, now time.Time) {
	if earliest := now.Add(refusedPause); until.Before(earliest) {
		until = earliest
	}
	if until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

// Outstanding returns the prompt tokens of this instance that are not computed
// yet.
func (p *Pool) Outstanding() float64 { return p.outstanding }

// PendingTransfers returns the KV bytes reserved on the links of all servers.
func (p *Pool) PendingTransfers() int64 {
	var bytes int64
	for _, s := range p.servers {
		bytes += s.pendingKVBytes
	}
	return bytes
}

// DecodeCapacity returns the decode capacity of all servers in the table, in
// slots or blocks.
func (p *Pool) DecodeCapacity() int { return p.decodeCapacity }

// SlotsFor returns the slots, or blocks, that w occupies on a decode server of
// the pool.
func (p *Pool) SlotsFor(w *egretflow.Work) int {
	if len(p.decode.all) == 0 {
		return 1
	}
	return p.decode.all[0].SlotsFor(w)
}

// UsedDecodeCapacity returns the decode slots, or blocks, that this instance
// has in use.
func (p *Pool) UsedDecodeCapacity() int { return p.decode.used }

// Full reports whether no server of some role that the pool needs has a free
// slot. With SharingGrants a model pool is never full, because a request may
// still start beyond the grants (rule 7).
func (p *Pool) Full() bool {
	if p.kind != egretflow.PoolKindModel {
		return len(p.decode.open) == 0
	}
	return p.sharing != SharingGrants && (len(p.decode.open) == 0 || len(p.prefill.open) == 0)
}

// MedianRatio returns the median ratio of observed to nominal time of the servers that
// have the role of s.
func (p *Pool) MedianRatio(s *Server) float64 { return p.groupOf(s).speed.Median() }

// MedianRatios returns the medians of the ratio of observed to nominal time, of
// prefill and of decode servers.
func (p *Pool) MedianRatios() (prefill, decode float64) {
	return p.prefill.speed.Median(), p.decode.speed.Median()
}
