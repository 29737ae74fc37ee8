package picker

import "time"

// RoleUse returns the share of the usable slots of each role that work
// occupies, or false without usable slots of one of them.
func (p *Pool) RoleUse(now time.Time) (prefill, decode float64, ok bool) {
	t := p.Totals(now)
	if t.PrefillSlots == 0 || t.Slots == 0 {
		return 0, 0, false
	}
	return float64(p.prefill.used) / float64(t.PrefillSlots), float64(p.decode.used) / float64(t.Slots), true
}
