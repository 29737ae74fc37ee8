package crashdetector

import (
	"slices"
	"time"

	"github.com/egretflow/egretflow"
)

// partReports returns the reports of all suspected parts. Of a suspect set with too many
// members for a report each is only a suspect.
func (d *Detector) partReports(now time.Time) []egretflow.CrashReport {
	var reports []egretflow.CrashReport
	reported := map[egretflow.PartHash]bool{}
	add := func(part egretflow.PartHash, servers []egretflow.ServerName, depth int, expiresAt time.Time) {
		reported[part] = true
		reports = append(reports, egretflow.CrashReport{Fingerprint: uint64(part), Servers: slices.Clone(servers), ExpiresAt: expiresAt, Part: true, Shared: depth > 0})
	}
	d.dropExpiredSets(now)
	for _, s := range d.sets {
		if len(s.members) <= egretflow.MaxOtherParts+1 {
			reports = append(reports, s.report())
			continue
		}
		for part := range s.members {
			if !d.soundBeyond(part, s.depth) {
				add(part, s.servers[:1], s.depth, s.expiresAt)
			}
		}
	}
	for part, e := range d.parts {
		switch {
		case !now.Before(e.expiresAt) && !e.inSet(now):
			delete(d.parts, part)
		case !reported[part] && !e.inSet(now) && e.count(now) > 0 && !d.soundBeyond(part, e.depth()):
			add(part, []egretflow.ServerName{e.losses[0].server}, e.depth(), e.expiresAt)
		}
	}
	return reports
}

// mergePart applies a valid report of a peer about a part, or several. The report does not
// say how far answers had come: if they had begun, only a whole one shows that a part is
// sound.
func (d *Detector) mergePart(r *egretflow.CrashReport, now time.Time) {
	if len(r.Servers) == 0 {
		return
	}
	part, lostAt := egretflow.PartHash(r.Fingerprint), r.ExpiresAt.Add(-RejectFor)
	depth := 0
	if r.Shared {
		depth = unknownDepth
	}
	if len(r.Servers) >= MaxLosses {
		members := slices.DeleteFunc(append(slices.Clone(r.Others), part), func(part egretflow.PartHash) bool {
			sound := d.soundPart(part)
			return sound.at.After(lostAt) && IsBeyond(sound.progress, depth)
		})
		if len(members) > 0 {
			d.mergeSet(members, r.Servers, depth, lostAt, r.ExpiresAt, now)
		}
		return
	}
	if d.soundPart(part).progress > 0 {
		return
	}
	if e := d.partEntryFor(part, now); e.count(now) == 0 && !e.inSet(now) {
		e.losses, e.explainedBy = nil, nil
		e.record(partLoss{server: r.Servers[0], at: lostAt, depth: depth})
	}
}
