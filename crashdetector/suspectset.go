package crashdetector

import (
	"maps"
	"slices"
	"time"

	"github.com/egretflow/egretflow"
)

const (
	// maxSets bounds the suspect sets that are kept.
	maxSets = 32
	// earlyTrialAfter, firstTrialAfter and secondTrialAfter are how long after its last
	// loss a request with all members of a suspect set runs again, to find out whether
	// the verdict is right. The first of them applies to weak sets alone.
	earlyTrialAfter  = 100 * time.Millisecond
	firstTrialAfter  = 2 * time.Second
	secondTrialAfter = time.Minute
)

// suspectSet is a verdict: one of its members, or several of them together, crash
// servers. Requests with all members are rejected but for trials. Evidence on requests
// with some of them removes members, until one is left or none.
type suspectSet struct {
	members map[egretflow.PartHash]bool
	// servers holds the server of each loss, oldest first.
	servers []egretflow.ServerName
	// weak reports whether all members were sound before.
	weak bool
	// failedTrials counts the trials that crashed a server.
	failedTrials int
	// depth is the largest progress of an answer at a loss, in tokens.
	depth      int
	lastLossAt time.Time
	trialAt    time.Time
	expiresAt  time.Time
}

// holds reports whether the verdict counts. It may be called on nil.
func (s *suspectSet) holds(now time.Time) bool {
	return s != nil && len(s.members) > 0 && now.Before(s.expiresAt)
}

// trialDelays returns how long after each loss the next trial is due. After the last one
// there is none.
func (s *suspectSet) trialDelays() []time.Duration {
	if s.weak {
		return []time.Duration{earlyTrialAfter, firstTrialAfter, secondTrialAfter}
	}
	return []time.Duration{firstTrialAfter, secondTrialAfter}
}

// mayTry reports whether another trial is allowed.
func (s *suspectSet) mayTry() bool { return s.failedTrials < len(s.trialDelays()) }

// verdict returns the verdict on requests with all members.
func (s *suspectSet) verdict(now time.Time) Verdict {
	if s.mayTry() && !now.Before(s.trialAt) {
		return Isolate
	}
	return Reject
}

// addLoss counts the loss of a server at a time.
func (s *suspectSet) addLoss(l partLoss) {
	if len(s.servers) == maxServers {
		s.servers = slices.Delete(s.servers, 0, 1)
	}
	s.servers = append(s.servers, l.server)
	s.depth = max(s.depth, l.depth)
	s.extend(l.at)
}

// extend sets the times that follow from the newest loss.
func (s *suspectSet) extend(lastLossAt time.Time) {
	s.lastLossAt, s.expiresAt = lastLossAt, lastLossAt.Add(RejectFor)
	if s.mayTry() {
		s.trialAt = lastLossAt.Add(s.trialDelays()[s.failedTrials])
	}
}

// containedSet returns a suspect set of which the parts include all members, and the last
// of these. Sets that reject the request come first.
func (d *Detector) containedSet(parts []egretflow.PartHash, now time.Time) (*suspectSet, egretflow.PartHash) {
	var found *suspectSet
	var member egretflow.PartHash
	seen := map[*suspectSet]map[egretflow.PartHash]bool{}
	for _, part := range parts {
		e, ok := d.parts[part]
		if !ok {
			continue
		}
		for _, s := range e.sets {
			if seen[s] == nil {
				seen[s] = map[egretflow.PartHash]bool{}
			}
			seen[s][part] = true
			complete := len(seen[s]) == len(s.members) && s.holds(now)
			if complete && (found == nil || found == s || s.verdict(now) == Reject) {
				found, member = s, part
			}
		}
	}
	return found, member
}

// suspectTogether makes a suspect set of those of the parts that have the given number of
// losses. Parts that were sound beyond the depth of their losses are left out if others
// were not. The set explains the losses of all the parts.
func (d *Detector) suspectTogether(parts []egretflow.PartHash, losses int, lostAt, now time.Time) {
	var unsound, all []egretflow.PartHash
	for _, part := range parts {
		e := d.parts[part]
		if e.count(now) != losses || slices.Contains(all, part) {
			continue
		}
		all = append(all, part)
		if !d.soundBeyond(part, e.depth()) {
			unsound = append(unsound, part)
		}
	}
	if len(unsound) > 0 {
		all = unsound
	}
	s := &suspectSet{weak: len(unsound) == 0}
	d.verdicts++
	for _, l := range d.parts[all[0]].losses {
		s.servers = append(s.servers, l.server)
	}
	for _, part := range all {
		s.depth = max(s.depth, d.parts[part].depth())
	}
	s.extend(lostAt)
	d.addSet(s, all, now)
	for _, part := range parts {
		if e := d.parts[part]; !s.members[part] && e.count(now) > 0 {
			e.explainedBy = s
		}
	}
}

// addSet adds a set with the given members. The losses of the members now count for the
// set.
func (d *Detector) addSet(s *suspectSet, members []egretflow.PartHash, now time.Time) {
	d.dropExpiredSets(now)
	if len(d.sets) >= maxSets {
		d.removeSet(slices.MinFunc(d.sets, func(a, b *suspectSet) int {
			if n := len(a.servers) - len(b.servers); n != 0 {
				return n
			}
			return a.expiresAt.Compare(b.expiresAt)
		}))
	}
	s.members = map[egretflow.PartHash]bool{}
	for _, part := range members {
		e := d.partEntryFor(part, now)
		s.members[part] = true
		e.losses, e.explainedBy = nil, nil
		e.sets = append(e.sets, s)
		e.lastLossAt, e.expiresAt = s.lastLossAt, s.expiresAt
	}
	d.sets = append(d.sets, s)
}

// removeSet ends a verdict. The losses that it explained count again.
func (d *Detector) removeSet(s *suspectSet) {
	for part := range s.members {
		d.removeMember(s, part)
	}
	d.sets = slices.DeleteFunc(d.sets, func(other *suspectSet) bool { return other == s })
}

func (d *Detector) removeMember(s *suspectSet, part egretflow.PartHash) {
	delete(s.members, part)
	if e, ok := d.parts[part]; ok {
		e.sets = slices.DeleteFunc(e.sets, func(other *suspectSet) bool { return other == s })
	}
}

func (d *Detector) dropExpiredSets(now time.Time) {
	for _, s := range slices.Clone(d.sets) {
		if !s.holds(now) {
			d.removeSet(s)
		}
	}
}

// accuse counts a loss against the suspect sets that explain it: one of which the parts
// include all members, or some of them if nothing else explains the loss. The second kind
// removes the other members. It returns the set and one of its members, or nil. involved
// reports whether the parts include members of a set that the loss does not count against.
func (d *Detector) accuse(parts []egretflow.PartHash, l partLoss, shared bool, startedAt time.Time) (set *suspectSet, member egretflow.PartHash, involved bool) {
	if s, member := d.containedSet(parts, l.at); s != nil {
		if s.ranApart(startedAt, l.at) && !(s.weak && shared) {
			s.failedTrials++
			s.addLoss(l)
			d.noteLossOf(s)
			d.verdicts++
		}
		return s, member, false
	}
	for _, s := range slices.Clone(d.sets) {
		common := slices.DeleteFunc(slices.Clone(parts), func(part egretflow.PartHash) bool { return !s.members[part] })
		if len(common) == 0 || !s.holds(l.at) || IsBeyond(l.depth, s.depth) {
			continue
		}
		if shared || !s.ranApart(startedAt, l.at) {
			involved = involved || !s.weak
			continue
		}
		for part := range maps.Clone(s.members) {
			if !slices.Contains(common, part) {
				d.removeMember(s, part)
			}
		}
		s.failedTrials = 0
		s.addLoss(l)
		d.noteLossOf(s)
		d.verdicts++
		return s, common[len(common)-1], false
	}
	return nil, 0, involved
}

// noteLossOf sets the times of the members after a loss.
func (d *Detector) noteLossOf(s *suspectSet) {
	for part := range s.members {
		if e, ok := d.parts[part]; ok {
			e.lastLossAt, e.expiresAt = s.lastLossAt, s.expiresAt
		}
	}
}

// ranApart reports whether an attempt that started at a time was not one of those that ran
// when the last loss came.
func (s *suspectSet) ranApart(startedAt, now time.Time) bool {
	return !startedAt.Before(s.lastLossAt) || now.Sub(s.lastLossAt) >= sameLossWindow
}

// acquit removes from the suspect sets the parts of an answer that got beyond the depth of
// their losses.
func (d *Detector) acquit(parts []egretflow.PartHash, from, to int, now time.Time) {
	for _, part := range parts {
		e, ok := d.parts[part]
		if !ok {
			continue
		}
		for _, s := range slices.Clone(e.sets) {
			if !crossed(s.depth, from, to) {
				continue
			}
			d.removeMember(s, part)
			d.verdicts++
			if len(s.members) == 0 {
				d.removeSet(s)
			}
		}
	}
	d.dropExpiredSets(now)
}

// mergeSet applies a verdict that a peer or the store knows.
func (d *Detector) mergeSet(members []egretflow.PartHash, servers []egretflow.ServerName, depth int, lastLossAt, expiresAt, now time.Time) {
	members = slices.Compact(slices.Sorted(slices.Values(members)))
	known := d.sameSet(members)
	if known == nil {
		known = &suspectSet{servers: slices.Clone(servers[:min(len(servers), maxServers)]), depth: depth, failedTrials: max(0, len(servers)-MaxLosses)}
		known.extend(lastLossAt)
		known.expiresAt = expiresAt
		d.addSet(known, members, now)
		return
	}
	more := len(servers) > len(known.servers)
	if more {
		known.servers, known.depth = slices.Clone(servers[:min(len(servers), maxServers)]), max(known.depth, depth)
		known.failedTrials = max(0, len(servers)-MaxLosses)
	}
	// Smaller differences come from the time that reports travel, and would add up with
	// each instance that passes them on.
	if more || expiresAt.Sub(known.expiresAt) > sameLossWindow {
		known.extend(lastLossAt)
		known.expiresAt = expiresAt
		d.noteLossOf(known)
	}
}

// report returns the report of the set to peers. Earlier versions block one member.
func (s *suspectSet) report() egretflow.CrashReport {
	members := slices.Sorted(maps.Keys(s.members))
	last := len(members) - 1
	return egretflow.CrashReport{
		Fingerprint: uint64(members[last]), Others: members[:last], Servers: slices.Clone(s.servers), ExpiresAt: s.expiresAt, Part: true, Shared: s.depth > 0,
	}
}

// sameSet returns the suspect set with just these members, or nil.
func (d *Detector) sameSet(members []egretflow.PartHash) *suspectSet {
	for _, s := range d.sets {
		if len(s.members) != len(members) {
			continue
		}
		if !slices.ContainsFunc(members, func(part egretflow.PartHash) bool { return !s.members[part] }) {
			return s
		}
	}
	return nil
}
