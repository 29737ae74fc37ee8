package commander

import (
	"time"

	"github.com/egretflow/egretflow"
)

// balance decides on role changes. The zero value has seen no load.
type balance struct {
	// busier is the role that has been busier since busySince.
	busier    egretflow.Role
	busySince time.Time
}

// observe takes a load and returns the role that needs one more engine, or ""
// (8.4).
func (b *balance) observe(load RoleLoad, d *desired, now time.Time) egretflow.Role {
	busier := needed(load, d.count(egretflow.RolePrefill), d.count(egretflow.RoleDecode))
	if busier != b.busier {
		b.busier, b.busySince = busier, now
	}
	if busier == "" || now.Sub(b.busySince) < HoldTime || now.Sub(d.ChangedAt) < ChangeInterval {
		return ""
	}
	return busier
}

// needed returns the role that is much busier than the other, if one more
// engine would lower the load of the busier of both.
func needed(load RoleLoad, prefill, decode int) egretflow.Role {
	switch {
	case load.Decode >= busyLoad && load.Decode > busyRatio*load.Prefill && helps(load.Decode, load.Prefill, prefill):
		return egretflow.RoleDecode
	case load.Prefill >= busyLoad && load.Prefill > busyRatio*load.Decode && helps(load.Prefill, load.Decode, decode):
		return egretflow.RolePrefill
	}
	return ""
}

// helps reports whether the other role keeps an engine and stays less busy than
// the busier one is now.
func helps(busy, other float64, others int) bool {
	return others > 1 && other*float64(others)/float64(others-1) < busy
}

// opposite returns the other role of a model pool.
func opposite(role egretflow.Role) egretflow.Role {
	if role == egretflow.RolePrefill {
		return egretflow.RoleDecode
	}
	return egretflow.RolePrefill
}
