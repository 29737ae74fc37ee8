package picker

import (
	"time"

	"github.com/egretflow/egretflow"
)

// RoleUtilization returns, per role, the ratio of slots in use to usable slots.
// ok is false if a role has no usable slots.
func (p *Pool) RoleUtilization(now time.Time) (prefill, decode float64, ok bool) {
	t := p.Totals(now)
	if t.PrefillSlots == 0 || t.DecodeSlots == 0 {
		return 0, 0, false
	}
	return float64(p.prefill.used) / float64(t.PrefillSlots), float64(p.decode.used) / float64(t.DecodeSlots), true
}

// ServerRates returns the requests per second that one prefill server, as a mean over
// all, and the largest decode server can serve; 0 if unknown. hold is the mean time in
// seconds that a request holds its decode slots, places the mean number of these slots, or
// of blocks where capacity is counted in blocks.
func (p *Pool) ServerRates(hold, places float64) (prefill, decode float64) {
	var total, servers float64
	for _, s := range p.listed {
		if s.role == egretflow.RolePrefill && p.meanUncachedTokens > 0 {
			total += s.prefillRate() / p.meanUncachedTokens
			servers++
		}
		if s.role == egretflow.RoleDecode && hold > 0 && places > 0 {
			decode = max(decode, float64(s.capacity())/places/hold)
		}
	}
	return total / max(1, servers), decode
}
