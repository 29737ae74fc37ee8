package registrar

import (
	"slices"
	"time"

	"github.com/egretflow/egretflow"
)

var _ egretflow.ServerGate = (*Registrar)(nil)

// AcceptsWork implements egretflow.ServerGate. It returns false for a server that is
// leaving or unknown.
func (r *Registrar) AcceptsWork(name egretflow.ServerName) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, ok := r.state.servers[name]
	return ok && !r.state.isLeaving(&entry)
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
	r.state.statedLeaving[name] = entry.Server.StartedAt
	r.record(egretflow.EventServerLeaving, "Server", string(name), "Pool", string(entry.Pool), "Source", "Response")
	r.publish()
}

// Closed implements egretflow.ServerGate.
func (r *Registrar) Closed(pool egretflow.PoolName) egretflow.ClosedServers {
	r.mu.Lock()
	defer r.mu.Unlock()
	var closed egretflow.ClosedServers
	for name := range r.state.statedLeaving {
		if r.state.servers[name].Pool == pool {
			closed.Names = append(closed.Names, name)
		}
	}
	slices.Sort(closed.Names)
	return closed
}

// isLeaving reports whether a server is registered as leaving or has said so itself.
func (s *state) isLeaving(e *egretflow.ServerEntry) bool {
	startedAt, stated := s.statedLeaving[e.Server.Name]
	return e.Leaving || stated && startedAt.Equal(e.Server.StartedAt)
}

// dropStatements forgets the statements of servers that are gone or have started
// again.
func (s *state) dropStatements() {
	for name, startedAt := range s.statedLeaving {
		if e, ok := s.servers[name]; !ok || !e.Server.StartedAt.Equal(startedAt) {
			delete(s.statedLeaving, name)
		}
	}
}

// statements maps the servers that have stated that they are leaving to the start of
// the process that said so.
type statements map[egretflow.ServerName]time.Time
