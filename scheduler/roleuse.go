package scheduler

import "github.com/egretflow/egretflow"

// RoleUse is the share of the usable slots of each role that is occupied, as this
// instance sees it. 1 means that all are.
type RoleUse struct {
	Prefill float64
	Decode  float64
}

type roleUseMessage struct {
	pool  egretflow.PoolName
	reply chan *RoleUse
}

func (roleUseMessage) isMessage() {}

// RoleUse returns the use of a model pool, or false if the pool does not exist or
// the instance has no usable slots of one of the roles.
func (s *Scheduler) RoleUse(pool egretflow.PoolName) (RoleUse, bool) {
	m := roleUseMessage{pool: pool, reply: make(chan *RoleUse, 1)}
	use := ask(s, m, m.reply)
	if use == nil {
		return RoleUse{}, false
	}
	return *use, true
}

func (t *task) roleUse(name egretflow.PoolName) *RoleUse {
	p, ok := t.pools[name]
	if !ok {
		return nil
	}
	prefill, decode, ok := p.picker.RoleUse(t.now)
	if !ok {
		return nil
	}
	return &RoleUse{Prefill: prefill, Decode: decode}
}
