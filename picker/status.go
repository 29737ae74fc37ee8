package picker

import (
	"time"

	"github.com/egretflow/egretflow"
)

// Status adds what the pool knows of its servers to a status.
func (p *Pool) Status(status *egretflow.PoolStatus, now time.Time) {
	status.Servers = map[egretflow.ServerGroup]int{}
	p.Servers(func(s *Server) {
		status.Servers[egretflow.ServerGroup{Role: s.role, State: s.state()}]++
		if s.role == egretflow.RolePrefill {
			return
		}
		status.UsablePlaces += s.Limit(now)
		status.UsedPlaces += s.inUse
		status.PeerPlaces += s.usedByPeers(now)
	})
}

func (s *Server) state() egretflow.ServerState {
	switch {
	case s.Spec.Drain || s.draining:
		return egretflow.ServerStateLeaving
	case s.blocked():
		return egretflow.ServerStateUnavailable
	case s.Speed.Suspect():
		return egretflow.ServerStateSuspect
	}
	return egretflow.ServerStateUsable
}
