package commander

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretflow/egretflow"
)

// desired is what the engines of a pool should be, as kept in the store.
type desired struct {
	// Fencing is the token of the holder that wrote it.
	Fencing uint64
	// ChangedAt is when the last role change started or finished.
	ChangedAt time.Time
	Engines   []engineTarget
}

// engineTarget is the desired state of one engine.
type engineTarget struct {
	Server egretflow.ServerName
	Model  egretflow.ModelName
	Role   egretflow.Role
	// TableRole is the role in the tables that Role started from. When
	// operators change it, Role follows.
	TableRole egretflow.Role
	// NextRole is the role after a drain that lasts until DrainBy at most.
	NextRole egretflow.Role `json:",omitempty"`
	DrainBy  time.Time      `json:",omitzero"`
	// UndrainUntil is the end of the time in which a drain of the engine is
	// ended again.
	UndrainUntil time.Time `json:",omitzero"`
}

// follow adapts the desired state to the pool in the tables and reports whether
// it changed.
func (d *desired) follow(pool *egretflow.Pool) bool {
	before := slices.Clone(d.Engines)
	known := map[egretflow.ServerName]engineTarget{}
	for _, e := range d.Engines {
		known[e.Server] = e
	}
	d.Engines = nil
	for _, s := range pool.Servers {
		e, ok := known[s.Name]
		if !ok || e.TableRole != s.Role {
			e = engineTarget{Server: s.Name, Role: s.Role, TableRole: s.Role}
		}
		e.Model = pool.Model
		d.Engines = append(d.Engines, e)
	}
	slices.SortFunc(d.Engines, func(a, b engineTarget) int { return cmp.Compare(a.Server, b.Server) })
	return !slices.Equal(before, d.Engines)
}

// count returns the engines of a role, those that drain towards it included.
func (d *desired) count(role egretflow.Role) int {
	n := 0
	for _, e := range d.Engines {
		if cmp.Or(e.NextRole, e.Role) == role {
			n++
		}
	}
	return n
}

// startChange begins to drain an engine for a new role.
func (d *desired) startChange(server egretflow.ServerName, role egretflow.Role, now time.Time) {
	d.ChangedAt = now
	for n := range d.Engines {
		if e := &d.Engines[n]; e.Server == server {
			e.NextRole, e.DrainBy = role, now.Add(DrainTime)
		}
	}
}

// finishChange gives a drained engine its new role.
func (e *engineTarget) finishChange(now time.Time) {
	e.Role, e.NextRole = e.NextRole, ""
	e.DrainBy, e.UndrainUntil = time.Time{}, now.Add(undrainFor)
}
