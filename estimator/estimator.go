// Package estimator estimates the speed of backend servers from the durations of
// their requests, and finds servers that are too slow or have failed (5.4).
//
// # Usage
//
//	group := estimator.NewGroup() // one per pool and role
//	server := group.Add()
//	if server.Observe(observed/expected, now) == estimator.ChangeSuspect {
//		// record it
//	}
//	expected = time.Duration(float64(nominal) * server.Slowness() * server.Factor())
//	server.ObserveWork(tokens, took.Seconds(), now)
//	group.Refresh(servers, now) // at intervals
//
// # Rules
//
//  1. A ratio is the observed time divided by the nominal time of the same work.
//     Each server has a fast average of its ratios, which adapts within about two
//     observations, and a slow average, which adapts within about twenty.
//  2. A server becomes suspect when its fast average exceeds SuspectRatio times
//     the median ratio of its group. If all servers of a group become slow, the
//     median rises as well, and no server stays suspect.
//  3. A suspect server is probed with one request at a time. The interval between
//     probes doubles with each probe. The server recovers when its fast average is
//     at most RecoverRatio times the median.
//  4. If a server fails, its fast average rises to a high value, so that it becomes
//     suspect whatever its speed was.
//  5. A server that answers with errors becomes suspect once its errors since the last
//     good answer are unlikely at the share of errors of its group, until its next
//     good answer. Its expected time stays as it is, so that work is not refused if
//     all servers are suspect. An error that comes quickly counts twice and does not
//     change the averages: a server that fails at once would look fast and get the
//     work of the others.
//  6. The lasting speed of a server is the median of samples that are spaced in
//     time. Until there are enough, the typical server of its group stands in for
//     it. Callers divide by it, so that a ratio is relative to the normal speed of
//     the server itself (docs/design/speeds.md).
package estimator

import (
	"math"
	"slices"
	"time"
)

const (
	// SuspectRatio times the median of the group is the fast average above which a
	// server becomes suspect (5.4).
	SuspectRatio = 2.0
	// RecoverRatio times the median of the group is the fast average at which a
	// suspect server recovers. It is lower than SuspectRatio so that a server near
	// the limit does not alternate between the two states.
	RecoverRatio = 1.5
	// FirstProbeDelay is the time until the first probe after a server becomes suspect.
	FirstProbeDelay = time.Second
	// MaxProbeInterval is the maximum interval between probes.
	MaxProbeInterval = 8 * time.Second

	// QuickErrorRatio is the ratio to the nominal time below which an error is quick: the
	// server did not do the work.
	QuickErrorRatio = 0.5

	// overdueProbeIntervals is the number of probe intervals for which a due probe
	// waits for a suitable request before it is overdue.
	overdueProbeIntervals = 8

	// fastWeight and slowWeight are the weights of a new observation in the fast and
	// the slow exponential moving average.
	fastWeight = 0.5
	slowWeight = 0.05
	// maxRatio is the upper bound of one ratio, so that a single stall loses its
	// effect on the fast average within about five observations.
	maxRatio = 20.0
	// minRatio is the lower bound of one ratio. It prevents a single very fast
	// request from directing all work to its server.
	minRatio = 0.25
	// recentRatios is the number of recent ratios from which the median is computed.
	recentRatios = 64
	// minRatios is the minimum number of ratios for a median. With fewer ratios the
	// median is 1, the nominal speed of the tables.
	minRatios = 8
	// medianInterval is the number of observations between two computations of the
	// median.
	medianInterval = 8
	// failedRatio times the median of the group is the minimum of the fast average of
	// a server that has just failed. A failure yields no measured ratio.
	failedRatio = 10.0

	// errorEvidenceLimit is the evidence from which on a server counts as failing, about
	// ln 1,000. The evidence of an error is the negative logarithm of the share of errors
	// in the group, so that errors in a row reach the limit if they occur by chance once
	// in 1,000 times.
	errorEvidenceLimit = 6.9
	// minErrorShare is the least share of errors that is assumed. At that share, three errors
	// in a row, or two quick ones, reach the limit.
	minErrorShare = 0.05
	// errorShareWeight is the weight of a new answer in the share of errors.
	errorShareWeight = 1.0 / 64
	// quickErrorWeight is the evidence of a quick error as a multiple of that of
	// another one.
	quickErrorWeight = 2.0
)

// Change is the change of a server's state that an observation caused.
type Change string

const (
	// ChangeNone means that the state did not change.
	ChangeNone Change = ""
	// ChangeSuspect means that the server became suspect.
	ChangeSuspect Change = "Suspect"
	// ChangeRecovered means that the server is no longer suspect.
	ChangeRecovered Change = "Recovered"
)

// Group is a set of servers that do the same kind of work. It holds their recent
// ratios. A Group and its servers are not safe for concurrent use.
type Group struct {
	// recent is a ring buffer of the last recentRatios ratios.
	recent []float64
	// next counts all ratios; modulo recentRatios it is the next index in recent.
	next int
	// sorted is the buffer for the values of which a median is taken.
	sorted []float64
	median float64
	// typical is the time in seconds per unit of work of the typical server. uneven
	// reports whether a server differs from it.
	typical float64
	uneven  bool
	// errorShare is the moving average of the share of errors in the answers.
	errorShare float64
}

// NewGroup returns a group without servers, whose median is 1.
func NewGroup() *Group { return &Group{median: 1} }

// Median returns the median of the recent ratios of all servers of the group, or 1
// if there are too few.
func (g *Group) Median() float64 { return g.median }

// add records a ratio and updates the median at intervals.
func (g *Group) add(ratio float64) {
	if len(g.recent) < recentRatios {
		g.recent = append(g.recent, ratio)
	} else {
		g.recent[g.next%recentRatios] = ratio
	}
	g.next++
	if g.next < minRatios || g.next%medianInterval != 0 {
		return
	}
	g.sorted = append(g.sorted[:0], g.recent...)
	slices.Sort(g.sorted)
	g.median = g.sorted[len(g.sorted)/2]
}

// Server is the estimate of the speed of one server.
type Server struct {
	group *Group
	// fast and slow are exponential moving averages of the ratios.
	fast    float64
	slow    float64
	suspect bool
	// probing reports whether a probe was sent and no result was observed yet.
	probing bool
	// probeAt is when the next probe is due, and interval the current interval
	// between probes.
	probeAt  time.Time
	interval time.Duration
	// errorEvidence is the evidence of the errors since the last good answer, and failing
	// reports whether it has reached errorEvidenceLimit.
	errorEvidence float64
	failing       bool
	lasting       lastingEstimate
	// slowness is that of the last Group.Refresh.
	slowness float64
}

// Add returns a new server of the group, with nominal speed.
func (g *Group) Add() *Server { return &Server{group: g, fast: 1, slow: 1, slowness: 1} }

// Factor returns the factor by which the expected time of work exceeds its nominal
// time. It is the larger of both averages, so it rises with the fast average and
// falls with the slow one.
func (s *Server) Factor() float64 { return max(s.fast, s.slow) }

// RecoverFactor returns the fast average at which a suspect server recovers.
func (s *Server) RecoverFactor() float64 { return RecoverRatio * s.group.median }

// Suspect reports whether the server is suspect, so that new work other than probes
// should avoid it.
func (s *Server) Suspect() bool { return s.suspect || s.failing }

// Observe records the ratio of observed to nominal time of finished work. The first
// ratio after StartProbe replaces the fast average.
func (s *Server) Observe(ratio float64, now time.Time) Change {
	wasSuspect := s.Suspect()
	s.errorEvidence, s.failing = 0, false
	s.group.errorShare -= errorShareWeight * s.group.errorShare
	if change := s.observeRatio(ratio, now); change != ChangeNone || !wasSuspect || s.suspect {
		return change
	}
	return ChangeRecovered
}

// observeRatio updates the averages, and the suspect state that follows from them.
func (s *Server) observeRatio(ratio float64, now time.Time) Change {
	ratio = min(max(ratio, minRatio), maxRatio)
	s.group.add(ratio)
	s.fast += fastWeight * (ratio - s.fast)
	s.slow += slowWeight * (ratio - s.slow)
	if s.probing {
		s.probing = false
		s.fast = ratio
	}
	return s.updateSuspect(now)
}

// ObserveOverdue records the ratio that unfinished work has already reached. It
// never lowers the estimate.
func (s *Server) ObserveOverdue(ratio float64, now time.Time) Change {
	if ratio = min(ratio, maxRatio); ratio <= s.fast {
		return ChangeNone
	}
	s.fast = ratio
	return s.updateSuspect(now)
}

// ObserveFailure records that the server refused or broke a connection, or
// stalled.
func (s *Server) ObserveFailure(now time.Time) Change {
	s.probing = false
	s.fast = max(s.fast, failedRatio*s.group.median)
	return s.updateSuspect(now)
}

// ObserveError records that work ended with an error that the server stated, after the
// given ratio to the nominal time.
func (s *Server) ObserveError(ratio float64, now time.Time) Change {
	s.group.errorShare += errorShareWeight * (1 - s.group.errorShare)
	evidence := -math.Log(max(minErrorShare, s.group.errorShare))
	quick := ratio < QuickErrorRatio
	if quick {
		evidence *= quickErrorWeight
	}
	s.errorEvidence += evidence
	if s.errorEvidence >= errorEvidenceLimit && !s.failing {
		s.probing, s.failing = false, true
		if s.suspect {
			return ChangeNone
		}
		s.delayProbe(now)
		return ChangeSuspect
	}
	if quick || s.failing {
		return ChangeNone
	}
	return s.observeRatio(ratio, now)
}

// delayProbe sets the time of the first probe of a server that becomes suspect.
func (s *Server) delayProbe(now time.Time) {
	s.interval, s.probeAt = FirstProbeDelay, now.Add(FirstProbeDelay)
}

// updateSuspect updates the suspect state from the fast average.
func (s *Server) updateSuspect(now time.Time) Change {
	switch {
	case !s.suspect && s.fast > SuspectRatio*s.group.median:
		s.suspect = true
		if s.failing {
			return ChangeNone
		}
		s.delayProbe(now)
		return ChangeSuspect
	case s.suspect && s.fast <= RecoverRatio*s.group.median:
		s.suspect, s.probing = false, false
		s.slow = s.fast
		if s.failing {
			return ChangeNone
		}
		return ChangeRecovered
	}
	return ChangeNone
}

// ProbeDue reports whether the server is suspect and one request may probe it.
func (s *Server) ProbeDue(now time.Time) bool {
	return s.Suspect() && !now.Before(s.probeAt)
}

// ProbeOverdue reports whether a probe has been due for overdueProbeIntervals, so that
// a less suitable request should be used for it.
func (s *Server) ProbeOverdue(now time.Time) bool {
	return s.Suspect() && !now.Before(s.probeAt.Add(overdueProbeIntervals*s.interval))
}

// AcceptsAnyProbe reports whether a request that must not be repeated may be the probe,
// too: the server answers, though with errors, and its probe is overdue. Otherwise a
// server that gets only such requests would stay suspect.
func (s *Server) AcceptsAnyProbe(now time.Time) bool {
	return s.failing && !s.suspect && s.ProbeOverdue(now)
}

// StartProbe records that a request was sent to a suspect server as a probe. The next
// probe is due after the doubled interval, even if this one has no result.
func (s *Server) StartProbe(now time.Time) {
	s.probing = true
	s.interval = min(2*s.interval, MaxProbeInterval)
	s.probeAt = now.Add(s.interval)
}
