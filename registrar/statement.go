package registrar

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/egretflow/egretflow"
)

var _ egretflow.ServerGate = (*Registrar)(nil)

// AcceptsWork implements egretflow.ServerGate. It returns false for a server that is
// leaving, paused or unknown.
func (r *Registrar) AcceptsWork(name egretflow.ServerName) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, ok := r.state.servers[name]
	return ok && !r.state.isLeaving(&entry) && !r.cfg.Clock().Before(r.state.pausedUntil[name])
}

// PauseUntil implements egretflow.ServerGate.
func (r *Registrar) PauseUntil(name egretflow.ServerName, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, ok := r.state.servers[name]
	if !ok || !until.After(r.state.pausedUntil[name]) {
		return
	}
	r.state.pausedUntil[name] = until
	r.record(egretflow.EventServerPaused, "Server", string(name), "Pool", string(entry.Pool),
		"ForMs", strconv.FormatInt(until.Sub(r.cfg.Clock()).Milliseconds(), 10))
}

// MarkLeaving implements egretflow.ServerGate. The statement counts until the server
// is no longer registered or has started again (rule 7).
func (r *Registrar) MarkLeaving(name egretflow.ServerName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, ok := r.state.servers[name]
	if !ok || r.state.isLeaving(&entry) {
		return
	}
	r.state.statedLeaving[name] = statement{startedAt: entry.Server.StartedAt}
	r.record(egretflow.EventServerLeaving, "Server", string(name), "Pool", string(entry.Pool), "Source", "Response")
	r.publish()
}

// Closed implements egretflow.ServerGate.
func (r *Registrar) Closed(pool egretflow.PoolName) egretflow.ClosedServers {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock()
	maps.DeleteFunc(r.state.pausedUntil, func(_ egretflow.ServerName, until time.Time) bool { return !now.Before(until) })
	var closed egretflow.ClosedServers
	for name := range r.state.statedLeaving {
		if r.state.servers[name].Pool == pool {
			closed.Names = append(closed.Names, name)
		}
	}
	paused := false
	for name := range r.state.pausedUntil {
		if r.state.servers[name].Pool == pool {
			closed.Names, paused = append(closed.Names, name), true
		}
	}
	if paused {
		closed.OpensAt = r.state.opensAt(pool)
	}
	slices.Sort(closed.Names)
	closed.Names = slices.Compact(closed.Names)
	return closed
}

// opensAt returns when all roles of a pool have a server that takes work, if that is
// not so now and the servers that are left are paused; zero otherwise.
func (s *state) opensAt(pool egretflow.PoolName) time.Time {
	earliest := map[egretflow.Role]time.Time{}
	for _, e := range s.servers {
		if e.Pool != pool || s.isLeaving(&e) {
			continue
		}
		until, role := s.pausedUntil[e.Server.Name], e.Server.Role
		if known, ok := earliest[role]; !ok || until.Before(known) {
			earliest[role] = until
		}
	}
	var opens time.Time
	for _, until := range earliest {
		if until.After(opens) {
			opens = until
		}
	}
	return opens
}

// isLeaving reports whether a server is registered as leaving, has said so itself, or had
// departed before the store came back from a copy.
func (s *state) isLeaving(e *egretflow.ServerEntry) bool {
	stated, ok := s.statedLeaving[e.Server.Name]
	return e.Leaving || ok && stated.startedAt.Equal(e.Server.StartedAt)
}

// dropStatements forgets the statements of servers that are gone or have started
// again.
func (s *state) dropStatements() {
	for name := range s.pausedUntil {
		if _, ok := s.servers[name]; !ok {
			delete(s.pausedUntil, name)
		}
	}
	for name, stated := range s.statedLeaving {
		if e, ok := s.servers[name]; !ok || !e.Server.StartedAt.Equal(stated.startedAt) {
			delete(s.statedLeaving, name)
		}
	}
}
