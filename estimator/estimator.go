// Package estimator judges the speed of backend servers from what their
// requests showed (5.4).
//
// # Usage
//
//	group := estimator.NewGroup() // one per pool and role
//	server := group.Add()
//	if server.Observe(observed/expected, now) == estimator.ChangeSuspect {
//		// record it
//	}
//	expected = time.Duration(float64(nominal) * server.Factor())
//
// # Rules
//
//  1. A ratio is observed time divided by the nominal time for the same work.
//     The fast average follows within two observations, the slow average within
//     about twenty.
//  2. A server is suspect while its fast average exceeds SuspectRatio times the
//     median of its group. In a fleet that is slow as a whole the median rises
//     with it and no server is suspect.
//  3. A suspect server is probed with one request at a time, at intervals that
//     double after each slow probe. It recovers below RecoverRatio times the
//     median.
//  4. A server that failed is suspect whatever its speed was.
package estimator

import (
	"slices"
	"time"
)

const (
	// SuspectRatio times the group median makes a server suspect (5.4).
	SuspectRatio = 2.0
	// RecoverRatio is lower than SuspectRatio so that a server near the limit
	// does not alternate.
	RecoverRatio = 1.5
	// FirstProbe is the time from the suspicion to the first probe.
	FirstProbe = time.Second
	// LastProbe bounds the interval between probes.
	LastProbe = 8 * time.Second

	// overdueIntervals is the number of further intervals that a probe waits for
	// a suitable request.
	overdueIntervals = 8

	fastWeight = 0.5
	slowWeight = 0.05
	// maxRatio bounds one observation: a single stall then ages out of the
	// fast average within about five observations.
	maxRatio = 20.0
	// minRatio keeps an observation that is too good from drawing all work.
	minRatio = 0.25
	// recentRatios is the number of observations that the median is taken of.
	recentRatios = 64
	// minMedian is the number of observations before the median counts; until
	// then the nominal speed of the tables is the measure.
	minMedian = 8
	// medianEvery is the number of observations between two sorts.
	medianEvery = 8
	// failedRatio stands for a server that did not answer at all.
	failedRatio = 10.0
)

// Change says what an observation changed.
type Change string

// The changes.
const (
	ChangeNone      Change = ""
	ChangeSuspect   Change = "Suspect"
	ChangeRecovered Change = "Recovered"
)

// Group is a set of servers that do the same work. It is not safe for
// concurrent use.
type Group struct {
	recent []float64
	next   int
	sorted []float64
	median float64
}

// NewGroup returns a group without observations.
func NewGroup() *Group { return &Group{median: 1} }

// Median returns the median ratio of the recent observations.
func (g *Group) Median() float64 { return g.median }

func (g *Group) add(ratio float64) {
	if len(g.recent) < recentRatios {
		g.recent = append(g.recent, ratio)
	} else {
		g.recent[g.next%recentRatios] = ratio
	}
	g.next++
	if g.next < minMedian || g.next%medianEvery != 0 {
		return
	}
	g.sorted = append(g.sorted[:0], g.recent...)
	slices.Sort(g.sorted)
	g.median = g.sorted[len(g.sorted)/2]
}

// Server is the speed of one server.
type Server struct {
	group    *Group
	fast     float64
	slow     float64
	suspect  bool
	probing  bool
	probeAt  time.Time
	interval time.Duration
}

// Add returns a server of nominal speed.
func (g *Group) Add() *Server { return &Server{group: g, fast: 1, slow: 1} }

// Factor scales nominal times to expected times. It rises with the fast average
// and falls with the slow one.
func (s *Server) Factor() float64 { return max(s.fast, s.slow) }

// RecoverFactor is the factor below which a suspect server recovers.
func (s *Server) RecoverFactor() float64 { return RecoverRatio * s.group.median }

// Suspect reports whether new work should avoid the server.
func (s *Server) Suspect() bool { return s.suspect }

// Observe takes the ratio of observed to nominal time of finished work.
func (s *Server) Observe(ratio float64, now time.Time) Change {
	ratio = min(max(ratio, minRatio), maxRatio)
	s.group.add(ratio)
	s.fast += fastWeight * (ratio - s.fast)
	s.slow += slowWeight * (ratio - s.slow)
	if s.probing {
		s.probing = false
		s.fast = ratio
	}
	return s.judge(now)
}

// Overdue takes the ratio that running work has already reached. It only ever
// raises the estimate.
func (s *Server) Overdue(ratio float64, now time.Time) Change {
	if ratio = min(ratio, maxRatio); ratio <= s.fast {
		return ChangeNone
	}
	s.fast = ratio
	return s.judge(now)
}

// Fail notes that the server refused a connection, broke one or went silent.
func (s *Server) Fail(now time.Time) Change {
	s.probing = false
	s.fast = max(s.fast, failedRatio*s.group.median)
	return s.judge(now)
}

func (s *Server) judge(now time.Time) Change {
	switch {
	case !s.suspect && s.fast > SuspectRatio*s.group.median:
		s.suspect, s.interval, s.probeAt = true, FirstProbe, now.Add(FirstProbe)
		return ChangeSuspect
	case s.suspect && s.fast <= RecoverRatio*s.group.median:
		s.suspect, s.probing = false, false
		s.slow = s.fast
		return ChangeRecovered
	}
	return ChangeNone
}

// ProbeDue reports whether one request may test a suspect server.
func (s *Server) ProbeDue(now time.Time) bool {
	return s.suspect && !now.Before(s.probeAt)
}

// ProbeOverdue reports whether a probe has been due for several intervals, so
// that a less suitable request should be taken.
func (s *Server) ProbeOverdue(now time.Time) bool {
	return s.suspect && !now.Before(s.probeAt.Add(overdueIntervals*s.interval))
}

// StartProbe notes that a request was sent to a suspect server. The next probe
// waits for the next interval even if this one never reports.
func (s *Server) StartProbe(now time.Time) {
	s.probing = true
	s.interval = min(2*s.interval, LastProbe)
	s.probeAt = now.Add(s.interval)
}
