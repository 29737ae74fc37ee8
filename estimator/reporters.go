package estimator

import (
	"slices"

	"github.com/egretflow/egretflow"
)

const (
	// keptReports is the number of servers of which the last ratio is kept for a
	// reporter.
	keptReports = 8
	// minReportedServers is the least number of servers from which a reporter's
	// own slowness is told from that of the servers.
	minReportedServers = 3
	// minReporterSlowness is the ratio to the other reporters below which a
	// reporter counts as no slower than they are.
	minReporterSlowness = 1.3
	// maxReporters bounds the reporters that are kept.
	maxReporters = 1024
)

// Reporters tells instances that are slow themselves from slow servers: a slow
// instance reports long times from all servers. The zero value knows no reporter.
type Reporters struct {
	byName map[egretflow.InstanceName]*reporter
	sorted []float64
}

type reporter struct {
	reports []report
	// slowness is the median ratio of the reports.
	slowness float64
}

// report is the newest ratio that a reporter observed of a server.
type report struct {
	server egretflow.ServerName
	ratio  float64
}

// Observe records the ratio that an instance observed of a server, relative to what
// all instances observe.
func (r *Reporters) Observe(from egretflow.InstanceName, server egretflow.ServerName, ratio float64) {
	if from == "" {
		return
	}
	known := r.byName[from]
	if known == nil {
		if r.byName == nil || len(r.byName) >= maxReporters {
			r.byName = map[egretflow.InstanceName]*reporter{}
		}
		known = &reporter{slowness: 1}
		r.byName[from] = known
	}
	known.add(report{server, ratio})
	known.slowness = r.median(known.reports)
}

// add replaces the report of the same server, or the oldest one.
func (r *reporter) add(newest report) {
	same := func(old report) bool { return old.server == newest.server }
	if n := slices.IndexFunc(r.reports, same); n >= 0 {
		r.reports = slices.Delete(r.reports, n, n+1)
	} else if len(r.reports) == keptReports {
		r.reports = slices.Delete(r.reports, 0, 1)
	}
	r.reports = append(r.reports, newest)
}

// median returns the median ratio of reports about enough servers, and otherwise 1.
func (r *Reporters) median(reports []report) float64 {
	if len(reports) < minReportedServers {
		return 1
	}
	r.sorted = r.sorted[:0]
	for _, report := range reports {
		r.sorted = append(r.sorted, report.ratio)
	}
	slices.Sort(r.sorted)
	return r.sorted[(len(r.sorted)-1)/2]
}

// Slowness returns the factor by which the times that an instance reports are too
// long because it is slow itself; 1 if it is not.
func (r *Reporters) Slowness(from egretflow.InstanceName) float64 {
	known := r.byName[from]
	if known == nil || known.slowness < minReporterSlowness {
		return 1
	}
	return known.slowness
}
