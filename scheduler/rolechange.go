package scheduler

import (
	"time"

	"github.com/egretflow/egretflow"
)

// PoolRates is the number of requests per second that one server of each role of a
// model pool serves, as measured with the requests of this instance.
type PoolRates struct {
	Prefill float64
	Decode  float64
	// Samples counts the requests that were measured.
	Samples int
}

type poolRatesMessage struct {
	pool  egretflow.PoolName
	reply chan *PoolRates
}

type roleChangeMessage struct {
	server egretflow.ServerName
	until  time.Time
}

func (poolRatesMessage) isMessage()  {}
func (roleChangeMessage) isMessage() {}

// PoolRates returns the rates of a model pool, or false if the pool does not exist
// or no request with output has finished yet.
func (s *Scheduler) PoolRates(pool egretflow.PoolName) (PoolRates, bool) {
	m := poolRatesMessage{pool: pool, reply: make(chan *PoolRates, 1)}
	rates := ask(s, m, m.reply)
	if rates == nil {
		return PoolRates{}, false
	}
	return *rates, true
}

// SetRoleChanging marks a server that was ordered to change its role. It takes
// no new work until the tables name its new role, or until the given time.
func (s *Scheduler) SetRoleChanging(server egretflow.ServerName, until time.Time) {
	s.send(roleChangeMessage{server: server, until: until})
}

func (t *task) poolRates(name egretflow.PoolName) *PoolRates {
	p, ok := t.pools[name]
	if !ok || p.rates.meanHold <= 0 || p.rates.finished == 0 {
		return nil
	}
	prefill, decode := p.picker.ServerRates(p.rates.meanHold, p.rates.meanSlots)
	return &PoolRates{Prefill: prefill, Decode: decode, Samples: p.rates.finished}
}

// roleChange says how long a server that changes its role takes no work, and
// whether this instance has ordered the change. Only those are reported to peers.
type roleChange struct {
	until   time.Time
	ordered bool
}

// markRoleChanging keeps new work from a server that changes its role until
// c.until, or the time of an earlier call if that is later.
func (t *task) markRoleChanging(name egretflow.ServerName, c roleChange) {
	if known := t.roleChanges[name]; known.until.Before(c.until) {
		c.ordered = c.ordered || known.ordered
		t.roleChanges[name] = c
	}
	t.markUnavailable()
}

// expireRoleChanges lets servers take work again when the time for their role
// change is over.
func (t *task) expireRoleChanges() {
	ended := false
	for name, c := range t.roleChanges {
		if !t.now.Before(c.until) {
			delete(t.roleChanges, name)
			ended = true
		}
	}
	if ended {
		t.markUnavailable()
	}
}

// endRoleChange ends the role change of a server if the role in the new tables
// differs from the one that its engine has served so far.
func (t *task) endRoleChange(p *pool, spec *egretflow.Server) {
	if s, ok := p.picker.Server(spec.Name); ok && s.Role() != spec.Role {
		delete(t.roleChanges, spec.Name)
	}
}
