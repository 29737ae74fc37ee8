package picker

import (
	"slices"
	"time"

	"github.com/egretflow/egretflow"
)

// decodeBeyondGrant adds decode servers on which w may start beyond the grant.
// It returns an empty list if a server already exceeds its grant (rule 7).
func (p *Pool) decodeBeyondGrant(list []candidate, w *egretflow.Work, o Options, now time.Time) []candidate {
	all := p.decode.all
	if w.Importance != egretflow.ImportanceCritical || len(all) == 0 {
		return list
	}
	if slices.ContainsFunc(all, func(s *Server) bool { return s.inUse > s.limit }) {
		return list[:0]
	}
	from := p.rand.IntN(len(all))
	for n := range min(len(all), maxScanned) {
		s := all[(from+n)%len(all)]
		if s.inUse+s.SlotsFor(w) <= s.LimitFor(w, now) && usable(s, w, o, now) {
			list = append(list, p.decodeCandidate(s, w, now))
		}
	}
	return list
}

// addPrefillBeyondGrant adds up to SampleSize prefill servers without free
// slots on which w may start beyond the grant (rule 7).
func (p *Pool) addPrefillBeyondGrant(list []candidate, matches []match, w *egretflow.Work, o Options, now time.Time) []candidate {
	all := p.prefill.all
	if len(all) == 0 {
		return list
	}
	from, added := p.rand.IntN(len(all)), 0
	for n := 0; n < len(all) && n < maxScanned && added < SampleSize; n++ {
		s := all[(from+n)%len(all)]
		if s.free(now) <= 0 && s.InUse() < s.LimitFor(w, now) && !containsServer(matches, s) && usable(s, w, o, now) {
			list = append(list, p.prefillCandidate(s, w, &match{}, now))
			added++
		}
	}
	return list
}
