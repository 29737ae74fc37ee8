package crashdetector

import (
	"maps"
	"time"

	"github.com/egretflow/egretflow"
)

// partSet is a set of parts.
type partSet map[egretflow.PartHash]bool

// Suspicion holds which parts of a request may have crashed the server that ran it.
type Suspicion struct {
	// suspects holds the parts that are blocked, or isolated.
	suspects partSet
	// withLoss holds the suspects and the sound parts with a loss.
	withLoss partSet
	// inSets holds the members of suspect sets that are not weak, and convicted reports
	// whether the request has all those of one.
	inSets    partSet
	convicted bool
}

// SuspicionOf returns the suspicion of a request with the given parts whose answer has the
// given progress. Losses at depths that it is beyond do not count. unreported reports
// whether a request with the part was running on another lost server and has yet to report
// the loss.
func (d *Detector) SuspicionOf(parts []egretflow.PartHash, progress int, unreported func(egretflow.PartHash) bool, now time.Time) Suspicion {
	s := Suspicion{suspects: partSet{}, withLoss: partSet{}, inSets: partSet{}}
	for _, part := range parts {
		depth, hasLoss, inSet := d.lossOf(part, progress, now)
		if !hasLoss && !unreported(part) {
			continue
		}
		s.withLoss[part] = true
		if inSet {
			s.inSets[part] = true
		}
		if inSet || !d.soundBeyond(part, depth) {
			s.suspects[part] = true
		}
	}
	if set, _ := d.containedSet(parts, now); set != nil {
		s.convicted = !set.weak && !IsBeyond(progress, set.depth)
	}
	return s
}

// Convicts reports whether a request with the suspicion s is known to crash servers.
func (s Suspicion) Convicts() bool { return s.convicted }

// lossOf returns the largest depth of the losses of a part that an answer with the given
// progress is not beyond, whether there are any, and whether a suspect set has them that
// is not weak.
func (d *Detector) lossOf(part egretflow.PartHash, progress int, now time.Time) (depth int, hasLoss, inSet bool) {
	e, ok := d.parts[part]
	if !ok {
		return progress, false, false
	}
	if e.count(now) > 0 && !IsBeyond(progress, e.depth()) {
		depth, hasLoss = e.depth(), true
	}
	for _, s := range e.sets {
		if s.holds(now) && !IsBeyond(progress, s.depth) {
			depth, hasLoss, inSet = max(depth, s.depth), true, inSet || !s.weak
		}
	}
	if !hasLoss {
		depth = progress
	}
	return depth, hasLoss, inSet
}

// Explains reports whether a request with the suspicion s explains the loss of a server
// that also ran one with the suspicion o: it has members of suspect sets that the other one
// lacks, or all its suspects and more. If both have the same ones, the sound parts with a
// loss decide likewise.
func (s Suspicion) Explains(o Suspicion) bool {
	if !o.inSets.includes(s.inSets) {
		return true
	}
	if maps.Equal(s.suspects, o.suspects) {
		return s.withLoss.exceeds(o.withLoss)
	}
	return s.suspects.exceeds(o.suspects)
}

// exceeds reports whether s is a proper superset of o.
func (s partSet) exceeds(o partSet) bool {
	return len(s) > len(o) && s.includes(o)
}

// includes reports whether s has all parts of o.
func (s partSet) includes(o partSet) bool {
	for part := range o {
		if !s[part] {
			return false
		}
	}
	return true
}
