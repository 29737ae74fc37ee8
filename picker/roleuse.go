package picker

import (
	"time"

	"github.com/egretflow/egretflow"
)

// RoleUse returns the share of the usable slots of each role that work
// occupies, or false without usable slots of one of them.
func (p *Pool) RoleUse(now time.Time) (prefill, decode float64, ok bool) {
	t := p.Totals(now)
	if t.PrefillSlots == 0 || t.Slots == 0 {
		return 0, 0, false
	}
	return float64(p.prefill.used) / float64(t.PrefillSlots), float64(p.decode.used) / float64(t.Slots), true
}

// ServerRates returns the requests per second of one prefill and of one decode
// server, from the mean time in seconds that a request holds its places and the
// mean number of them.
func (p *Pool) ServerRates(hold, places float64) (prefill, decode float64) {
	for _, s := range p.listed {
		if s.role == egretflow.RolePrefill && p.perPrefill > 0 {
			prefill = max(prefill, s.prefillRate()/p.perPrefill)
		}
		if s.role == egretflow.RoleDecode && hold > 0 && places > 0 {
			decode = max(decode, float64(s.capacity())/places/hold)
		}
	}
	return prefill, decode
}
