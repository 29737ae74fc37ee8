package scheduler

import "github.com/egretflow/egretflow"

// RoleUtilization is the share of the usable slots of each role that is
// occupied, as this instance sees it. 1 means that all are.
type RoleUtilization struct {
	Prefill float64
	Decode  float64
}

type roleUtilizationMessage struct {
	pool  egretflow.PoolName
	reply chan *RoleUtilization
}

func (roleUtilizationMessage) isMessage() {}

// RoleUtilization returns the utilization of a model pool, or false if the pool
// does not exist or the instance has no usable slots of one of the roles.
func (s *Scheduler) RoleUtilization(pool egretflow.PoolName) (RoleUtilization, bool) {
	m := roleUtilizationMessage{pool: pool, reply: make(chan *RoleUtilization, 1)}
	use := ask(s, m, m.reply)
	if use == nil {
		return RoleUtilization{}, false
	}
	return *use, true
}

func (t *task) roleUtilization(name egretflow.PoolName) *RoleUtilization {
	p, ok := t.pools[name]
	if !ok {
		return nil
	}
	prefill, decode, ok := p.picker.RoleUtilization(t.now)
	if !ok {
		return nil
	}
	return &RoleUtilization{Prefill: prefill, Decode: decode}
}
