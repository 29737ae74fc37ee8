package simulator

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/picker"
)

// engine is the state of one server.
type engine struct {
	name      egretflow.ServerName
	busyUntil time.Time
	linkUntil time.Time
	running   int
	waiting   []func()
}

func (s *Simulation) addEngine(prefix string, n int, role egretflow.Role, slots int) egretflow.Server {
	e := &engine{name: egretflow.ServerName(fmt.Sprint(prefix, n))}
	s.engines = append(s.engines, e)
	s.byName[e.name] = e
	return egretflow.Server{
		Name: e.name, Address: netip.MustParseAddrPort("127.0.0.1:1"), FailureDomain: "a", Role: role, Slots: slots,
		Blocks: 4000, PrefillTokensPerSecond: PrefillRate, LinkBytesPerSecond: LinkRate,
	}
}

// scaled returns d times the factor by which e is slow now.
func (s *Simulation) scaled(e *engine, d time.Duration) time.Duration {
	if s.cfg.Slow == nil {
		return d
	}
	return time.Duration(float64(d) * s.cfg.Slow(e.name, s.At()))
}

func perSecond(amount, rate int) time.Duration {
	return time.Duration(float64(amount) / float64(rate) * float64(time.Second))
}

// occupy returns the end of work that starts when until has passed.
func (s *Simulation) occupy(until *time.Time, took time.Duration) time.Time {
	if until.Before(s.now) {
		*until = s.now
	}
	*until = until.Add(took)
	return *until
}

// reportLoad reports the load of now after the lag.
func (s *Simulation) reportLoad(e *engine, length time.Duration) {
	load := &egretflow.LoadReport{Server: e.name, MeasuredAt: s.now, Running: e.running, Waiting: len(e.waiting)}
	if e.busyUntil.After(s.now) {
		load.Running += 1 + int(e.busyUntil.Sub(s.now)/perSecond(MeanPrompt, PrefillRate))
	}
	s.after(ReportLag, func() {
		s.stepper.Observe(egretflow.Observation{Kind: egretflow.ObservationLoad, Server: e.name, Load: load})
		if s.At() < length {
			s.reportLoad(e, length)
		}
	})
}

// prefill runs the prefill of a.
func (s *Simulation) prefill(a *egretflow.Assignment, o *Outcome) {
	e := s.byName[a.Prefill.Name]
	begin, replaced := s.now, false
	done := s.occupy(&e.busyUntil, s.scaled(e, perSecond(o.Work.PromptTokens, PrefillRate)))
	s.after(done.Sub(s.now), func() {
		if replaced {
			return
		}
		s.Computed[int(s.At().Seconds())] += o.Work.PromptTokens
		s.stepper.Observe(egretflow.Observation{
			Kind: egretflow.ObservationPrefillDone, Server: e.name, Attempt: a.Attempt,
			StartedAt: begin, EndedAt: s.now, Tokens: o.Work.PromptTokens,
		})
		s.stepper.Release(egretflow.Release{Attempt: a.Attempt, PrefillOnly: true})
		s.transfer(a, o)
	})
	if s.cfg.Policy != picker.PolicyJoint {
		return
	}
	s.after(2*a.PrefillBy.Sub(begin), func() {
		if s.now.Before(done) {
			replaced = true
			s.Wasted += o.Work.PromptTokens
			e.busyUntil = s.now
			s.poll(s.stepper.Replace(a), o, a.Attempt)
		}
	})
}

// transfer starts once the decode engine has room; by then the result of the
// prefill may be gone.
func (s *Simulation) transfer(a *egretflow.Assignment, o *Outcome) {
	e := s.byName[a.Decode.Name]
	begin := s.now
	start := func() {
		if s.now.Sub(begin) > KeepResult {
			s.Wasted += o.Work.PromptTokens
			s.stepper.Release(egretflow.Release{Attempt: a.Attempt})
			return
		}
		e.running += a.Slots
		end := s.occupy(&e.linkUntil, perSecond(o.Work.PromptTokens*KVBytes, LinkRate))
		s.after(end.Sub(s.now), func() {
			s.stepper.Observe(egretflow.Observation{
				Kind: egretflow.ObservationTransferDone, Server: a.Prefill.Name, Attempt: a.Attempt,
				StartedAt: begin, EndedAt: s.now.Add(s.scaled(e, Gap)),
			})
			s.decode(e, a, o, o.Work.MaxTokens)
		})
	}
	if e.running+a.Slots > DecodeSlots || len(e.waiting) > 0 {
		e.waiting = append(e.waiting, start)
		return
	}
	start()
}

// decode generates the tokens that are left and reports them in steps.
func (s *Simulation) decode(e *engine, a *egretflow.Assignment, o *Outcome, left int) {
	begin, tokens, step := s.now, min(ReportTokens, left), s.scaled(e, Gap)
	if o.FirstToken.IsZero() {
		o.FirstToken = s.now.Add(step)
	}
	s.after(time.Duration(tokens)*step, func() {
		s.stepper.Observe(egretflow.Observation{
			Kind: egretflow.ObservationTokens, Server: e.name, Attempt: a.Attempt,
			StartedAt: begin, EndedAt: s.now, Tokens: tokens,
		})
		if left > tokens {
			s.decode(e, a, o, left-tokens)
			return
		}
		s.stepper.Release(egretflow.Release{Attempt: a.Attempt})
		e.running -= a.Slots
		for len(e.waiting) > 0 && e.running < DecodeSlots {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			next()
		}
	})
}
