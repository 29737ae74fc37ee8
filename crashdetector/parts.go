package crashdetector

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretflow/egretflow"
)

const (
	// maxParts bounds the parts with losses that are kept.
	maxParts = 8192
	// evictedParts is the number of parts that are evicted at a time.
	evictedParts = maxParts / 16
	// isolationDepth is the depth in tokens up to which other requests with a suspect
	// wait for the answer to get beyond it. Deeper ones take too long.
	isolationDepth = 32
)

// partLoss is a loss that counts against a part.
type partLoss struct {
	server egretflow.ServerName
	at     time.Time
	// depth is the progress of the answer, in tokens, when the server was lost. Of
	// several answers on one server it is the largest.
	depth int
}

// partEntry holds what is known of one part.
type partEntry struct {
	// losses holds the losses that count, oldest first.
	losses []partLoss
	// lastLossAt is when the newest loss was recorded, whether it counts or not.
	lastLossAt time.Time
	expiresAt  time.Time
	// sets holds the suspect sets that the part is a member of.
	sets []*suspectSet
	// explainedBy is a suspect set whose members explain the losses of the part.
	explainedBy *suspectSet
}

// count returns the number of losses that count.
func (e *partEntry) count(now time.Time) int {
	if e == nil || !now.Before(e.expiresAt) || e.explainedBy.holds(now) {
		return 0
	}
	return len(e.losses)
}

// depth returns the largest depth of the losses.
func (e *partEntry) depth() int {
	depth := 0
	for _, l := range e.losses {
		depth = max(depth, l.depth)
	}
	return depth
}

// record adds a loss unless it is the same as an earlier one, and reports whether it did.
func (e *partEntry) record(l partLoss) bool {
	for n := range e.losses {
		if known := &e.losses[n]; known.server == l.server && l.at.Sub(known.at) < sameLossWindow {
			known.depth = max(known.depth, l.depth)
			return false
		}
	}
	e.lastLossAt, e.expiresAt = l.at, l.at.Add(RejectFor)
	if len(e.losses) == maxServers {
		e.losses = slices.Delete(e.losses, 0, 1)
	}
	e.losses = append(e.losses, l)
	return true
}

// partEntryFor returns the entry of a part. If there is none, or if it has expired, it
// adds a new one and evicts others if necessary.
func (d *Detector) partEntryFor(part egretflow.PartHash, now time.Time) *partEntry {
	if e, ok := d.parts[part]; ok && (now.Before(e.expiresAt) || e.inSet(now)) {
		return e
	}
	if len(d.parts) >= maxParts {
		d.evictParts(now)
	}
	e := &partEntry{}
	d.parts[part] = e
	return e
}

// inSet reports whether the part is a member of a suspect set.
func (e *partEntry) inSet(now time.Time) bool {
	return slices.ContainsFunc(e.sets, func(s *suspectSet) bool { return s.holds(now) })
}

// evictParts removes the expired entries and, if that frees too few, those that matter
// least, evictedParts at a time because each call orders all of them.
func (d *Detector) evictParts(now time.Time) {
	kept := make([]egretflow.PartHash, 0, len(d.parts))
	for part, e := range d.parts {
		if now.Before(e.expiresAt) || e.inSet(now) {
			kept = append(kept, part)
		} else {
			delete(d.parts, part)
		}
	}
	if len(kept) < maxParts {
		return
	}
	slices.SortFunc(kept, func(a, b egretflow.PartHash) int {
		if n := d.parts[a].compare(d.parts[b], now); n != 0 {
			return n
		}
		return cmp.Compare(a, b)
	})
	for _, part := range kept[:evictedParts] {
		d.dropPart(part)
	}
}

// compare orders entries by how much they matter: those with the fewest losses first, then
// those that expire first. Members of suspect sets come last.
func (e *partEntry) compare(other *partEntry, now time.Time) int {
	if member, otherMember := e.inSet(now), other.inSet(now); member != otherMember {
		if otherMember {
			return -1
		}
		return 1
	}
	if n := cmp.Compare(e.count(now), other.count(now)); n != 0 {
		return n
	}
	return e.expiresAt.Compare(other.expiresAt)
}

// dropPart forgets a part, and with it the suspect sets that it is a member of: without
// it they would stand for other requests.
func (d *Detector) dropPart(part egretflow.PartHash) {
	for _, s := range slices.Clone(d.parts[part].sets) {
		d.removeSet(s)
	}
	delete(d.parts, part)
}

// RecordPartLoss records that a server was lost while it ran an attempt with the given
// parts, whose answer had the given progress. startedAt is when the attempt started, or
// zero if that is not known. A shared loss only counts for parts that have none and were
// not sound beyond its depth. It returns the part that is most suspected, and whether there
// is one.
func (d *Detector) RecordPartLoss(parts []egretflow.PartHash, l Loss, startedAt, now time.Time) (egretflow.PartHash, bool) {
	if len(parts) == 0 {
		return 0, false
	}
	loss := partLoss{server: l.Server, at: now, depth: l.Progress}
	if !l.At.IsZero() {
		loss.at = l.At
	}
	set, member, involved := d.accuse(parts, loss, l.Shared, startedAt)
	if set != nil {
		return member, true
	}
	if l.Caused {
		return 0, false
	}
	shared := l.Shared || involved
	suspect, counted := parts[0], map[egretflow.PartHash]bool{}
	for _, part := range parts {
		counted[part] = d.chargePart(part, loss, shared, startedAt, now) || counted[part]
		if d.moreSuspect(part, suspect, l.Progress, now) {
			suspect = part
		}
	}
	if losses := d.parts[suspect].count(now); !shared && counted[suspect] && losses >= MaxLosses {
		d.suspectTogether(parts, losses, loss.at, now)
	}
	return suspect, true
}

// chargePart counts a loss against one part, and reports whether it is a new one.
func (d *Detector) chargePart(part egretflow.PartHash, l partLoss, shared bool, startedAt, now time.Time) bool {
	e := d.partEntryFor(part, now)
	if e.recorded(l) {
		return e.record(l)
	}
	ranApart := e.lastLossAt.IsZero() || !startedAt.Before(e.lastLossAt) || l.at.Sub(e.lastLossAt) >= sameLossWindow
	if !ranApart {
		return false
	}
	known := e.count(now)
	if shared && (known > 0 || d.soundBeyond(part, l.depth)) {
		return false
	}
	if known == 0 {
		e.losses, e.explainedBy = nil, nil
	}
	return e.record(l)
}

// recorded reports whether the newest loss is the same as l.
func (e *partEntry) recorded(l partLoss) bool {
	if len(e.losses) == 0 {
		return false
	}
	newest := &e.losses[len(e.losses)-1]
	return newest.server == l.server && l.at.Sub(newest.at) < sameLossWindow
}

// moreSuspect reports whether a part is more likely the cause of a loss at a depth than
// one that is listed before it.
func (d *Detector) moreSuspect(part, earlier egretflow.PartHash, depth int, now time.Time) bool {
	if n, m := d.parts[part].count(now), d.parts[earlier].count(now); n != m {
		return n > m
	}
	return !d.soundBeyond(part, depth) || d.soundBeyond(earlier, depth)
}

// PartVerdict returns how a request with the given parts may run, and the part that
// decides it unless the verdict is Allow.
func (d *Detector) PartVerdict(parts []egretflow.PartHash, now time.Time) (egretflow.PartHash, Verdict) {
	if len(d.parts) == 0 {
		return 0, Allow
	}
	if s, member := d.containedSet(parts, now); s != nil {
		return member, s.verdict(now)
	}
	var suspect egretflow.PartHash
	verdict := Allow
	for _, part := range parts {
		if v := d.partVerdict(part, now); v == Isolate || v == Separate && verdict == Allow {
			suspect, verdict = part, v
		}
	}
	return suspect, verdict
}

// partVerdict returns the verdict on a part without regard to others. One that was sound
// beyond the depth of its losses is not held back.
func (d *Detector) partVerdict(part egretflow.PartHash, now time.Time) Verdict {
	e, ok := d.parts[part]
	if !ok {
		return Allow
	}
	depth, suspected := e.depth(), e.count(now) > 0
	for _, s := range e.sets {
		if s.holds(now) {
			depth, suspected = max(depth, s.depth), true
		}
	}
	switch {
	case !suspected || d.soundBeyond(part, depth):
		return Allow
	case depth > isolationDepth && depth != unknownDepth:
		return Separate
	}
	return Isolate
}

// SuspectParts returns the parts of which only one request may run at a time.
func (d *Detector) SuspectParts(parts []egretflow.PartHash, now time.Time) []egretflow.PartHash {
	if len(d.parts) == 0 {
		return nil
	}
	set, _ := d.containedSet(parts, now)
	var suspects []egretflow.PartHash
	for _, part := range parts {
		if set != nil && set.members[part] || d.partVerdict(part, now) == Isolate {
			suspects = append(suspects, part)
		}
	}
	return suspects
}

// PartLosses returns the number of losses that count against a part, or against the
// suspect set that it is a member of.
func (d *Detector) PartLosses(part egretflow.PartHash, now time.Time) int {
	e, ok := d.parts[part]
	if !ok {
		return 0
	}
	losses := e.count(now)
	for _, s := range e.sets {
		if s.holds(now) {
			losses = max(losses, len(s.servers))
		}
	}
	return losses
}

// RetryAt returns when a request with the given parts that was rejected may come back:
// when the next trial is due, or when the losses expire. It returns the zero time if the
// parts do not reject it.
func (d *Detector) RetryAt(parts []egretflow.PartHash, now time.Time) time.Time {
	s, _ := d.containedSet(parts, now)
	switch {
	case s == nil || s.verdict(now) != Reject:
		return time.Time{}
	case s.mayTry():
		return s.trialAt
	}
	return s.expiresAt
}

// AnswerAdvanced records that an answer with the given parts got from one progress to
// another, in tokens; 0 is that of an answer that has not begun, and WholeAnswer that of a
// complete one. Losses at the depths in between no longer count against the parts.
func (d *Detector) AnswerAdvanced(fingerprint uint64, parts []egretflow.PartHash, from, to int, now time.Time) {
	if e, ok := d.entries[fingerprint]; ok && from == 0 && !e.afterStart {
		e.clear()
	}
	if to <= from {
		return
	}
	if from == 0 || to == WholeAnswer || len(d.parts) > 0 {
		d.noteSound(parts, to, now)
	}
	if len(d.parts) == 0 {
		return
	}
	d.acquit(parts, from, to, now)
	for _, part := range parts {
		if e, ok := d.parts[part]; ok {
			e.losses = slices.DeleteFunc(e.losses, func(l partLoss) bool { return crossed(l.depth, from, to) })
		}
	}
}
