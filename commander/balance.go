package commander

import (
	"time"

	"github.com/egretflow/egretflow"
)

// roleBalancer decides when an engine of a pool should change its role. The zero
// value has observed no load.
type roleBalancer struct {
	// busier is the role that has needed one more engine since busySince, or "".
	busier    egretflow.Role
	busySince time.Time
}

// observe records a load and returns the role that has needed one more engine for
// MinImbalanceTime, or "" if there is none or the last role change was less than
// RoleChangeInterval ago (8.4).
func (b *roleBalancer) observe(load RoleLoad, d *desiredState, now time.Time) egretflow.Role {
	busier := roleNeedingEngine(load, d.count(egretflow.RolePrefill), d.count(egretflow.RoleDecode))
	if busier != b.busier {
		b.busier, b.busySince = busier, now
	}
	if busier == "" || now.Sub(b.busySince) < MinImbalanceTime || now.Sub(d.ChangedAt) < RoleChangeInterval {
		return ""
	}
	return busier
}

// roleNeedingEngine returns the role that is much busier than the other, or "" if
// there is none or moving an engine to it would not lower the higher of the two
// loads. prefill and decode are the numbers of engines.
func roleNeedingEngine(load RoleLoad, prefill, decode int) egretflow.Role {
	switch {
	case load.Decode >= minBusierLoad && load.Decode > minLoadRatio*load.Prefill && changeReducesLoad(load.Decode, load.Prefill, prefill):
		return egretflow.RoleDecode
	case load.Prefill >= minBusierLoad && load.Prefill > minLoadRatio*load.Decode && changeReducesLoad(load.Prefill, load.Decode, decode):
		return egretflow.RolePrefill
	}
	return ""
}

// changeReducesLoad reports whether the other role, which has the given number of
// engines, can give one up: it keeps at least one engine, and its load then stays
// below the present load of the busier role.
func changeReducesLoad(busy, other float64, others int) bool {
	return others > 1 && other*float64(others)/float64(others-1) < busy
}

// otherRole returns the other role of a model pool.
func otherRole(role egretflow.Role) egretflow.Role {
	if role == egretflow.RolePrefill {
		return egretflow.RoleDecode
	}
	return egretflow.RolePrefill
}
