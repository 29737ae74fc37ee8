package scheduler

import (
	"time"

	"github.com/egretflow/egretflow"
)

// PoolRates is what one server of each role of a model pool serves, in requests
// per second, as learned from own requests.
type PoolRates struct {
	Prefill float64
	Decode  float64
	// Samples counts the requests that the rates were learned from.
	Samples int
}

type poolRatesMessage struct {
	pool  egretflow.PoolName
	reply chan *PoolRates
}

type changingMessage struct {
	server egretflow.ServerName
	until  time.Time
}

func (poolRatesMessage) isMessage() {}
func (changingMessage) isMessage()  {}

// PoolRates returns the rates of a model pool, or false before any request.
func (s *Scheduler) PoolRates(pool egretflow.PoolName) (PoolRates, bool) {
	m := poolRatesMessage{pool: pool, reply: make(chan *PoolRates, 1)}
	rates := ask(s, m, m.reply)
	if rates == nil {
		return PoolRates{}, false
	}
	return *rates, true
}

// SetChanging says that a server was ordered to change its role: it takes no
// work until it reports the new role, or until the given time.
func (s *Scheduler) SetChanging(server egretflow.ServerName, until time.Time) {
	s.send(changingMessage{server: server, until: until})
}

func (t *task) poolRates(name egretflow.PoolName) *PoolRates {
	p, ok := t.pools[name]
	if !ok || p.rates.hold <= 0 || p.rates.finished == 0 {
		return nil
	}
	prefill, decode := p.picker.ServerRates(p.rates.hold, p.rates.places)
	return &PoolRates{Prefill: prefill, Decode: decode, Samples: p.rates.finished}
}

// withhold keeps new work from a server that changes its role.
func (t *task) withhold(name egretflow.ServerName, until time.Time) {
	if t.changing[name].Before(until) {
		t.changing[name] = until
	}
	t.markUnavailable()
}

// endChanges lets servers take work again whose change is over.
func (t *task) endChanges() {
	ended := false
	for name, until := range t.changing {
		if !t.now.Before(until) {
			delete(t.changing, name)
			ended = true
		}
	}
	if ended {
		t.markUnavailable()
	}
}

// roleChanged ends the change of a server whose role in new tables differs from
// that in the tables before.
func (t *task) roleChanged(p *pool, spec *egretflow.Server) {
	if s, ok := p.picker.Server(spec.Name); ok && s.Role() != spec.Role {
		delete(t.changing, spec.Name)
	}
}
