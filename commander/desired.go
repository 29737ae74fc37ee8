package commander

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretflow/egretflow"
)

// desiredState holds the role and the model that each engine of a pool should
// have. It is stored as JSON.
type desiredState struct {
	// Fencing is the token of the holder that wrote the state.
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
	// TableRole is the role in the tables when the target was created. When the
	// role in the tables differs from it, the target is created anew with that
	// role.
	TableRole egretflow.Role
	// NextRole is the role that the engine gets after its drain, which lasts
	// until DrainBy at most. It is empty if no role change is running.
	NextRole egretflow.Role `json:",omitempty"`
	DrainBy  time.Time      `json:",omitzero"`
	// UndrainUntil is the time until which the holder ends any drain that the
	// engine reports.
	UndrainUntil time.Time `json:",omitzero"`
}

// applyTables adapts the desired state to the pool in the tables: it adds and
// removes engines, takes over the model, and resets engines whose role in the
// tables changed. It reports whether the desired state changed.
func (d *desiredState) applyTables(pool *egretflow.Pool) bool {
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

// count returns the number of engines of a role. An engine that drains for a role
// change counts for its next role.
func (d *desiredState) count(role egretflow.Role) int {
	n := 0
	for _, e := range d.Engines {
		if cmp.Or(e.NextRole, e.Role) == role {
			n++
		}
	}
	return n
}

// startRoleChange sets the next role of an engine, which starts its drain.
func (d *desiredState) startRoleChange(server egretflow.ServerName, role egretflow.Role, now time.Time) {
	d.ChangedAt = now
	for n := range d.Engines {
		if e := &d.Engines[n]; e.Server == server {
			e.NextRole, e.DrainBy = role, now.Add(DrainTimeout)
		}
	}
}

// finishRoleChange gives a drained engine its new role.
func (e *engineTarget) finishRoleChange(now time.Time) {
	e.Role, e.NextRole = e.NextRole, ""
	e.DrainBy, e.UndrainUntil = time.Time{}, now.Add(undrainPeriod)
}
