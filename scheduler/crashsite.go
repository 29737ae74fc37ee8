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
}

// crashSiteOf returns the suspects of the present crash of s.
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
	site = crashSite{at: t.now, suspects: map[uint64]bool{}}
	for _, id := range t.runningOn(s) {
		work := t.attempts[id].assignment.Work
		if work.Fingerprint != 0 && t.crashes.Verdict(work.Fingerprint, t.now) != crashdetector.Allow {
			site.suspects[work.Fingerprint] = true
		}
	}
	t.crashSites[s.Spec.Name] = site
	return site
}

// mayShareLoss reports whether another request may explain the crash of s, which ran a:
// another suspect was running there, or one may have been that this instance does not
// know of. An answer that had begun is another sign that it is not the cause.
func (t *task) mayShareLoss(a *attempt, s *picker.Server) bool {
	suspects := t.crashSiteOf(s).suspects
	fingerprint := a.assignment.Work.Fingerprint
	others := len(suspects)
	if suspects[fingerprint] {
		others--
	}
	return others > 0 || a.began || !t.schedulesAllRequests(a.pool)
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
