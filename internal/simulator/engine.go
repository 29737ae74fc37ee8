package simulator

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/picker"
)

// failureDomains are those of the servers, in turn.
var failureDomains = []egretflow.FailureDomain{"a", "b", "c"}

// engine is the state of one prefill or decode server.
type engine struct {
	name egretflow.ServerName
	// busyUntil is when the last queued prefill ends, linkUntil when the last
	// queued transfer over the link ends.
	busyUntil time.Time
	linkUntil time.Time
	// prefills is the number of prompts that are queued or being computed.
	prefills int
	// running is the number of decode slots in use; waiting is the queue for
	// them.
	running int
	waiting []func()
}

func (s *Simulation) addEngine(prefix string, n int, role egretflow.Role, slots int) egretflow.Server {
	e := &engine{name: egretflow.ServerName(fmt.Sprint(prefix, n))}
	s.engines = append(s.engines, e)
	s.byName[e.name] = e
	server := egretflow.Server{
		Name: e.name, Address: netip.MustParseAddrPort("127.0.0.1:1"), FailureDomain: failureDomains[n%len(failureDomains)], Role: role, Slots: slots,
		Blocks: 4000, PrefillTokensPerSecond: PrefillRate, LinkBytesPerSecond: LinkRate,
	}
	switch {
	case s.cfg.Unrated:
		// Without blocks the capacity is counted in slots.
		server.Blocks, server.PrefillTokensPerSecond = 0, 0
	case s.cfg.Rated != nil:
		server.PrefillTokensPerSecond = int(PrefillRate * s.cfg.Rated(e.name))
	}
	return server
}

// scaled returns d times the current slowdown of e.
func (s *Simulation) scaled(e *engine, d time.Duration) time.Duration {
	if s.cfg.Slow == nil {
		return d
	}
	return time.Duration(float64(d) * s.cfg.Slow(e.name, s.Elapsed()))
}

func perSecond(amount, rate int) time.Duration {
	return time.Duration(float64(amount) / float64(rate) * float64(time.Second))
}

// extendBusy queues work of the given duration behind the time until, moves
// until to its end, and returns the new end.
func (s *Simulation) extendBusy(until *time.Time, d time.Duration) time.Time {
	if until.Before(s.now) {
		*until = s.now
	}
	*until = until.Add(d)
	return *until
}

// reportLoad sends the current load of e to the scheduler after ReportLag, then
// reports again until length has elapsed.
func (s *Simulation) reportLoad(e *engine, length time.Duration) {
	load := &egretflow.LoadReport{Server: e.name, MeasuredAt: s.now, Running: e.running + e.prefills, Waiting: len(e.waiting)}
	s.schedule(ReportLag, func() {
		s.stepper.Observe(egretflow.Observation{Kind: egretflow.ObservationLoad, Server: e.name, Load: load})
		if s.Elapsed() < length {
			s.reportLoad(e, length)
		}
	})
}

// attempt is one attempt of a request.
type attempt struct {
	outcome    *Outcome
	assignment *egretflow.Assignment
	startedAt  time.Time
	// released reports whether the attempt was released; decoding whether it
	// occupies slots of the decode engine.
	released bool
	decoding bool
	// prefillEnd is when the prefill ends unless it is cancelled;
	// prefillDuration is its duration without queueing.
	prefillEnd      time.Time
	prefillDuration time.Duration
}

// startAttempt runs an attempt. Under PolicyJoint the first attempt is hedged
// if its first token takes HedgeFactor times as long as expected.
func (s *Simulation) startAttempt(a *egretflow.Assignment, o *Outcome) {
	r := &attempt{outcome: o, assignment: a, startedAt: s.now}
	o.attempts = append(o.attempts, r)
	s.prefill(r)
	if len(o.attempts) > 1 || s.cfg.Policy != picker.PolicyJoint {
		return
	}
	s.schedule(HedgeFactor*a.FirstTokenAt.Sub(s.now), func() {
		if o.FirstToken.IsZero() && !r.released {
			work := *o.Work
			work.Hedge = true
			work.Avoid = []egretflow.ServerName{a.Prefill.Name, a.Decode.Name}
			s.poll(s.stepper.Acquire(&work), o)
		}
	})
}

// prefill runs the prefill of r. Under PolicyJoint it is replaced if it takes
// ReplaceFactor times as long as expected, but not before minReplaceDelay.
func (s *Simulation) prefill(r *attempt) {
	e := s.byName[r.assignment.Prefill.Name]
	begin, work := s.now, r.outcome.Work
	r.prefillDuration = s.scaled(e, perSecond(work.PromptTokens, PrefillRate))
	doneAt := s.extendBusy(&e.busyUntil, r.prefillDuration)
	r.prefillEnd = doneAt
	e.prefills++
	s.schedule(doneAt.Sub(s.now), func() {
		if r.released || !r.prefillEnd.Equal(doneAt) {
			return
		}
		e.prefills--
		s.ComputedTokens[int(s.Elapsed().Seconds())] += work.PromptTokens
		s.Computed[e.name] += work.PromptTokens
		s.stepper.Observe(egretflow.Observation{
			Kind: egretflow.ObservationPrefillDone, Server: e.name, Attempt: r.assignment.Attempt,
			StartedAt: begin, EndedAt: s.now, Tokens: work.PromptTokens,
		})
		s.stepper.Release(egretflow.Release{Attempt: r.assignment.Attempt, PrefillOnly: true})
		s.transfer(r)
	})
	if s.cfg.Policy != picker.PolicyJoint {
		return
	}
	s.schedule(max(minReplaceDelay, ReplaceFactor*r.assignment.PrefillBy.Sub(begin)), func() {
		if !r.released && r.prefillEnd.Equal(doneAt) && s.now.Before(doneAt) {
			s.replacePrefill(r)
		}
	})
}

// replacePrefill moves the prefill of r to another server.
func (s *Simulation) replacePrefill(r *attempt) {
	s.discardPrefill(r)
	r.prefillEnd = time.Time{}
	s.stepper.Observe(egretflow.Observation{Kind: egretflow.ObservationSilent, Server: r.assignment.Prefill.Name, Attempt: r.assignment.Attempt})
	w := s.stepper.Replace(r.assignment)
	var poll func()
	poll = func() {
		a, done, err := w.Result()
		switch {
		case !done:
			s.schedule(pollInterval, poll)
		case r.released:
		case err != nil:
			s.endAttempt(r)
		default:
			r.assignment = a
			s.prefill(r)
		}
	}
	poll()
}

// discardPrefill counts the prefill of r as wasted and frees its server if it
// is still queued or running. In the model, prompts queued behind it do not
// start earlier.
func (s *Simulation) discardPrefill(r *attempt) {
	e := s.byName[r.assignment.Prefill.Name]
	if left := r.prefillEnd.Sub(s.now); left > 0 {
		e.busyUntil = e.busyUntil.Add(-min(left, r.prefillDuration))
		e.prefills--
	}
	s.WastedTokens += r.outcome.Work.PromptTokens
}

// transfer transfers the prefill result once the decode engine has free slots.
// The result is lost if that takes longer than PrefillRetention.
func (s *Simulation) transfer(r *attempt) {
	e := s.byName[r.assignment.Decode.Name]
	begin := s.now
	start := func() {
		if r.released {
			return
		}
		if s.now.Sub(begin) > PrefillRetention {
			s.WastedTokens += r.outcome.Work.PromptTokens
			s.endAttempt(r)
			return
		}
		e.running += r.assignment.Slots
		r.decoding = true
		end := s.extendBusy(&e.linkUntil, perSecond(r.outcome.Work.PromptTokens*KVBytesPerToken, LinkRate))
		s.schedule(end.Add(s.scaled(e, TokenGap)).Sub(s.now), func() { s.firstToken(r, begin) })
	}
	if e.running+r.assignment.Slots > DecodeSlots || len(e.waiting) > 0 {
		e.waiting = append(e.waiting, start)
		return
	}
	start()
}

// firstToken records the first token of a request, ends its other attempts and
// starts decoding.
func (s *Simulation) firstToken(r *attempt, begin time.Time) {
	if r.released {
		return
	}
	s.stepper.Observe(egretflow.Observation{
		Kind: egretflow.ObservationTransferDone, Server: r.assignment.Prefill.Name, Attempt: r.assignment.Attempt,
		StartedAt: begin, EndedAt: s.now,
	})
	r.outcome.FirstToken = s.now
	decode := r.assignment.Decode.Name
	s.Reserved[decode] = append(s.Reserved[decode], s.now.Sub(r.startedAt))
	for _, other := range r.outcome.attempts {
		if other != r && !other.released {
			s.discardPrefill(other)
			s.endAttempt(other)
		}
	}
	s.decode(r, r.outcome.Work.MaxTokens-1)
}

// decode generates the remaining output tokens and reports them in groups of
// ReportTokens.
func (s *Simulation) decode(r *attempt, left int) {
	e := s.byName[r.assignment.Decode.Name]
	begin, tokens := s.now, min(ReportTokens, left)
	s.schedule(time.Duration(tokens)*s.scaled(e, TokenGap), func() {
		s.stepper.Observe(egretflow.Observation{
			Kind: egretflow.ObservationTokens, Server: e.name, Attempt: r.assignment.Attempt,
			StartedAt: begin, EndedAt: s.now, Tokens: tokens,
		})
		s.Generated[e.name] += tokens
		if left > tokens {
			s.decode(r, left-tokens)
			return
		}
		s.endAttempt(r)
	})
}

// endAttempt releases r and starts waiting requests in the freed slots of its
// decode engine.
func (s *Simulation) endAttempt(r *attempt) {
	r.released = true
	s.stepper.Release(egretflow.Release{Attempt: r.assignment.Attempt})
	if !r.decoding {
		return
	}
	e := s.byName[r.assignment.Decode.Name]
	e.running -= r.assignment.Slots
	for len(e.waiting) > 0 && e.running < DecodeSlots {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		next()
	}
}
