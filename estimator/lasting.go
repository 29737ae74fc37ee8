package estimator

import (
	"math"
	"slices"
	"time"
)

const (
	// sampleTime is the time whose observations form one sample. A spell of
	// slowness is many observations of a busy server, but few samples.
	sampleTime = 500 * time.Millisecond
	// minSampleSeconds is the least observed time of a sample. Shorter ones say
	// more about the moments of observation than about the server.
	minSampleSeconds = 0.02
	// keptSamples is the number of samples from which the median is taken.
	keptSamples = 11
	// confidentSamples is the number of samples from which on the estimate does
	// not depend on the other servers.
	confidentSamples = 5
	// freshFor is the age up to which an estimate has its full confidence, and
	// forgottenAfter the age at which it has none.
	freshFor       = time.Minute
	forgottenAfter = 2 * time.Minute
	// typicalRange is the ratio to the typical server up to which a server counts
	// as typical.
	typicalRange = 1.2
)

// lastingEstimate estimates the time in seconds that a server takes for one unit of work,
// apart from spells of slowness (rule 5). The zero value knows nothing.
type lastingEstimate struct {
	// samples holds up to keptSamples samples. It is allocated with the first one, because
	// an instance never uses most of the servers that it knows.
	samples []sample
	// started counts the samples; the newest is at (started - 1) % keptSamples.
	started int
	// median is the median of the samples.
	median float64
	// observedAt is the time of the newest observation.
	observedAt time.Time
}

// sample is the work of sampleTime.
type sample struct {
	startedAt time.Time
	units     float64
	seconds   float64
}

// observe adds work of the given units that took the given time until now.
func (l *lastingEstimate) observe(units, seconds float64, now time.Time) {
	if units <= 0 || seconds < 0 {
		return
	}
	newest := l.newest()
	if newest == nil || newest.seconds >= minSampleSeconds && now.Sub(newest.startedAt) >= sampleTime {
		newest = l.startSample(now)
	}
	newest.units += units
	newest.seconds += seconds
	if now.After(l.observedAt) {
		l.observedAt = now
	}
	l.updateMedian()
}

// startSample replaces the oldest sample by an empty one.
func (l *lastingEstimate) startSample(now time.Time) *sample {
	if len(l.samples) < keptSamples {
		l.samples = append(l.samples, sample{})
	}
	l.started++
	newest := l.newest()
	*newest = sample{startedAt: now}
	return newest
}

// newest returns the newest sample, or nil if there is none.
func (l *lastingEstimate) newest() *sample {
	if l.started == 0 {
		return nil
	}
	return &l.samples[(l.started-1)%keptSamples]
}

func (l *lastingEstimate) updateMedian() {
	var buffer [keptSamples]float64
	times := buffer[:0]
	for _, s := range l.samples {
		if s.seconds >= minSampleSeconds {
			times = append(times, s.seconds/s.units)
		}
	}
	if len(times) == 0 {
		return
	}
	slices.Sort(times)
	middle := len(times) / 2
	l.median = times[middle]
	if len(times)%2 == 0 {
		l.median = (times[middle-1] + times[middle]) / 2
	}
}

// confidence returns the weight of the own samples against the typical server, from
// 0 to 1.
func (l *lastingEstimate) confidence(now time.Time) float64 {
	if l.median == 0 {
		return 0
	}
	age := now.Sub(l.observedAt)
	fresh := min(1, max(0, (forgottenAfter-age).Seconds()/(forgottenAfter-freshFor).Seconds()))
	return fresh * min(1, float64(l.started)/confidentSamples)
}

// relative returns the ratio of the time of the server to that of the typical
// server, which takes the given time.
func (l *lastingEstimate) relative(typical float64, now time.Time) float64 {
	confidence := l.confidence(now)
	if confidence == 0 || typical <= 0 {
		return 1
	}
	ratio := math.Pow(l.median/typical, confidence)
	if ratio < typicalRange && ratio > 1/typicalRange {
		return 1
	}
	return ratio
}

// Speed is the lasting speed of a server as it is explained to operators.
type Speed struct {
	// Relative is the speed as a multiple of that of the typical server of the
	// group.
	Relative float64
	// Confidence says from 0 to 1 how far the estimate rests on observations of
	// the server itself.
	Confidence float64
	// ObservedAt is the time of the newest observation; zero if there is none.
	ObservedAt time.Time
}

// ObserveWork records that the server took the given time for units of work, and
// updates its lasting speed. The typical speed of the group follows in Refresh.
func (s *Server) ObserveWork(units, seconds float64, now time.Time) {
	s.lasting.observe(units, seconds, now)
}

// Slowness returns the ratio of the lasting time per unit of work to that of the
// typical server of the group; 1 if it is not known to differ.
func (s *Server) Slowness() float64 { return s.slowness }

// LastingSpeed returns the lasting speed.
func (s *Server) LastingSpeed(now time.Time) Speed {
	return Speed{Relative: 1 / s.slowness, Confidence: s.lasting.confidence(now), ObservedAt: s.lasting.observedAt}
}

// Typical returns the time in seconds per unit of work of the typical server, and
// whether the lasting speeds of the servers differ. It is 0 if no server is known.
func (g *Group) Typical() (seconds float64, uneven bool) { return g.typical, g.uneven }

// Refresh updates the typical speed of the group from its servers, and their
// slowness. The servers that are missing from the list no longer count.
func (g *Group) Refresh(servers []*Server, now time.Time) {
	g.sorted = g.sorted[:0]
	for _, s := range servers {
		if s.lasting.confidence(now) > 0 {
			g.sorted = append(g.sorted, s.lasting.median)
		}
	}
	g.typical, g.uneven = 0, false
	if len(g.sorted) > 0 {
		slices.Sort(g.sorted)
		g.typical = g.sorted[len(g.sorted)/2]
	}
	for _, s := range servers {
		s.slowness = s.lasting.relative(g.typical, now)
		g.uneven = g.uneven || s.slowness != 1
	}
}
