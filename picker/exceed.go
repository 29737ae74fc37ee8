package picker

import (
	"time"

	"github.com/egretflow/egretflow"
)

// decodeReserve lists servers on which w may start beyond the grant, unless the
// instance already exceeds one (rule 7).
func (p *Pool) decodeReserve(list []candidate, w *egretflow.Work, o Options, now time.Time) []candidate {
	all := p.decode.all
	if w.Importance != egretflow.ImportanceCritical || len(all) == 0 {
		return list
	}
	from := p.rand.IntN(len(all))
	for n := range min(len(all), fallbackSize) {
		s := all[(from+n)%len(all)]
		if s.inUse > s.limit {
			return list[:0]
		}
		if s.inUse+s.SlotsFor(w) <= s.Ceiling(w, now) && usable(s, w, o, now) {
			list = append(list, p.decodeCandidate(s, w, now))
		}
	}
	return list
}

// addReserve adds servers on which w may start beyond the grant (rule 7).
func (p *Pool) addReserve(list []candidate, matches []match, w *egretflow.Work, o Options, now time.Time) []candidate {
	all := p.prefill.all
	if len(all) == 0 {
		return list
	}
	from, added := p.rand.IntN(len(all)), 0
	for n := 0; n < len(all) && n < fallbackSize && added < SampleSize; n++ {
		s := all[(from+n)%len(all)]
		if s.free(now) <= 0 && s.InUse() < s.Ceiling(w, now) && !contains(matches, s) && usable(s, w, o, now) {
			list = append(list, p.prefillCandidate(s, w, 0, now))
			added++
		}
	}
	return list
}
