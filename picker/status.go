package picker

import (
	"time"

	"github.com/egretflow/egretflow"
)

// knownConfidence is the confidence from which on the speed of a server is reported.
const knownConfidence = 0.5

// Status sets the server counts of a status and adds the usable and used
// capacity of servers other than prefill servers.
func (p *Pool) Status(status *egretflow.PoolStatus, now time.Time) {
	status.Servers = map[egretflow.ServerGroup]int{}
	status.Speeds = map[egretflow.SpeedGroup]int{}
	p.Servers(func(s *Server) {
		status.Servers[egretflow.ServerGroup{Role: s.role, State: s.state()}]++
		status.Speeds[egretflow.SpeedGroup{Role: s.role, Speed: s.speed(now)}]++
		if s.role == egretflow.RolePrefill {
			return
		}
		status.UsableCapacity += s.Limit(now)
		status.UsedCapacity += s.inUse
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

func (s *Server) speed(now time.Time) egretflow.ServerSpeed {
	speed := s.LastingSpeed(now)
	switch {
	case speed.Confidence < knownConfidence:
		return egretflow.ServerSpeedUnknown
	case speed.Relative > 1:
		return egretflow.ServerSpeedFaster
	case speed.Relative < 1:
		return egretflow.ServerSpeedSlower
	}
	return egretflow.ServerSpeedTypical
}
