package scheduler

import (
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/crashdetector"
	"github.com/egretflow/egretflow/picker"
)

// crashSitePeriod is how long reports of the crash of a server belong to the same crash.
const crashSitePeriod = 2 * time.Second

// crashSite holds the crash suspects that were running on a server when it crashed. Each
// request reports the crash by itself, and is charged and released while others have yet
// to report.
type crashSite struct {
	at time.Time
	// suspects holds the fingerprints of the requests that were charged with another
	// loss before.
	suspects map[uint64]bool
	// running holds the suspicions, before this crash, of the attempts.
	running map[egretflow.AttemptID]crashdetector.Suspicion
}

// crashSiteOf returns the present crash of s.
func (t *task) crashSiteOf(s *picker.Server) crashSite {
	site, ok := t.crashSites[s.Spec.Name]
	if ok && t.now.Sub(site.at) < crashSitePeriod {
		return site
	}
	for name, old := range t.crashSites {
		if t.now.Sub(old.at) >= crashSitePeriod {
			delete(t.crashSites, name)
		}
	}
	site = crashSite{at: t.now, suspects: map[uint64]bool{}, running: map[egretflow.AttemptID]crashdetector.Suspicion{}}
	unreported := t.unreportedParts()
	for _, id := range t.runningOn(s) {
		work, progress := t.attempts[id].assignment.Work, t.attempts[id].progress
		isUnreported := func(part egretflow.PartHash) bool {
			depth, ok := unreported[part]
			return ok && !crashdetector.IsBeyond(progress, depth)
		}
		site.running[id] = t.crashes.SuspicionOf(work.Parts, progress, isUnreported, t.now)
		if work.Fingerprint != 0 && t.crashes.Verdict(work.Fingerprint, t.now) != crashdetector.Allow {
			site.suspects[work.Fingerprint] = true
		}
	}
	t.crashSites[s.Spec.Name] = site
	return site
}

// unreportedParts returns the parts of the attempts that have yet to report the crash of
// their server, which others have reported, with the largest progress of their answers.
func (t *task) unreportedParts() map[egretflow.PartHash]int {
	parts := map[egretflow.PartHash]int{}
	for _, site := range t.crashSites {
		for id := range site.running {
			a, running := t.attempts[id]
			if !running || a.crashed {
				continue
			}
			for _, part := range a.assignment.Work.Parts {
				parts[part] = max(parts[part], a.progress)
			}
		}
	}
	return parts
}

// explains reports whether another attempt on the server explains that it crashed while
// it ran the attempt with the given id.
func (c crashSite) explains(id egretflow.AttemptID) bool {
	for other, s := range c.running {
		if other != id && s.Explains(c.running[id]) {
			return true
		}
	}
	return false
}

// convicts reports whether another attempt on the server than the one with the given id is
// known to crash servers.
func (c crashSite) convicts(id egretflow.AttemptID) bool {
	for other, s := range c.running {
		if other != id && s.Convicts() {
			return true
		}
	}
	return false
}

// mayShareLoss reports whether another request may explain the crash at site of the server
// that ran a: another suspect was running there, or one may have been that this instance
// does not know of. An answer that had begun is another sign that it is not the cause.
func (t *task) mayShareLoss(a *attempt, site crashSite) bool {
	suspects := site.suspects
	fingerprint := a.assignment.Work.Fingerprint
	others := len(suspects)
	if suspects[fingerprint] {
		others--
	}
	return others > 0 || a.progress > 0 || !t.schedulesAllRequests(a.pool)
}

// schedulesAllRequests reports whether this instance schedules all requests of p, rather
// than one of several instances.
func (t *task) schedulesAllRequests(p *pool) bool {
	switch t.sharing() {
	case picker.SharingGrants:
		return false
	case picker.SharingCoordinated:
		return p.picker.Kind() == egretflow.PoolKindModel
	}
	return true
}
