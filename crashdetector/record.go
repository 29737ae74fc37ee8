package crashdetector

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/egretflow/egretflow"
)

// Verdicts returns the number of changes of verdicts that this Detector made itself, or
// contributed a loss to, and did not only learn from peers or a record.
func (d *Detector) Verdicts() uint64 { return d.verdicts }

// Record returns the verdicts that must outlast this process. Those with the most losses
// are kept if there are too many.
func (d *Detector) Record(now time.Time) egretflow.CrashRecord {
	var r egretflow.CrashRecord
	for key, e := range d.entries {
		if now.Before(e.expiresAt) && e.losses() >= MaxLosses {
			r.Verdicts = append(r.Verdicts, egretflow.CrashVerdict{
				Fingerprint: key, Servers: slices.Clone(e.servers[e.cleared:]), Shared: e.shared, ExpiresAt: e.expiresAt,
			})
		}
	}
	d.dropExpiredSets(now)
	for _, s := range d.sets {
		r.Verdicts = append(r.Verdicts, egretflow.CrashVerdict{
			Parts: slices.SortedFunc(maps.Keys(s.members), cmp.Compare[egretflow.PartHash]), Servers: slices.Clone(s.servers), Depth: s.depth, ExpiresAt: s.expiresAt,
		})
	}
	r.Trim(now)
	return r
}

// Restore adds the verdicts of a record. Those that have expired, or that expire later
// than one of now would, because another clock was ahead, are left out or shortened.
func (d *Detector) Restore(r egretflow.CrashRecord, now time.Time) {
	for n := range r.Verdicts {
		v := &r.Verdicts[n]
		expiresAt := v.ExpiresAt
		if limit := now.Add(RejectFor); expiresAt.After(limit) {
			expiresAt = limit
		}
		if !now.Before(expiresAt) || len(v.Servers) == 0 {
			continue
		}
		if len(v.Parts) == 0 {
			d.mergeRequest(&egretflow.CrashReport{Fingerprint: v.Fingerprint, Servers: v.Servers, Shared: v.Shared, ExpiresAt: expiresAt}, now)
			continue
		}
		d.mergeSet(v.Parts, v.Servers, v.Depth, expiresAt.Add(-RejectFor), expiresAt, now)
	}
}
