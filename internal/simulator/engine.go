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
	// prefills counts prompts that are not computed.
	prefills int
	running  int
	waiting  []func()
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
	load := &egretflow.LoadReport{Server: e.name, MeasuredAt: s.now, Running: e.running + e.prefills, Waiting: len(e.waiting)}
	s.after(ReportLag, func() {
		s.stepper.Observe(egretflow.Observation{Kind: egretflow.ObservationLoad, Server: e.name, Load: load})
		if s.At() < length {
			s.reportLoad(e, length)
		}
	})
}

// run is one attempt of a request.
type run struct {
	o *Outcome
	a *egretflow.Assignment
	// over says that the attempt was released, decoding that it holds slots of
	// the decode engine.
	over     bool
	decoding bool
	// doneAt is when the prefill ends if nothing cancels it, took its own time.
	doneAt time.Time
	took   time.Duration
}

// startRun runs an attempt. A first attempt is hedged when its first token
// takes HedgeFactor times as long as expected.
func (s *Simulation) startRun(a *egretflow.Assignment, o *Outcome) {
	r := &run{o: o, a: a}
	o.runs = append(o.runs, r)
	s.prefill(r)
	if len(o.runs) > 1 || s.cfg.Policy != picker.PolicyJoint {
		return
	}
	s.after(HedgeFactor*a.FirstTokenAt.Sub(s.now), func() {
		if o.FirstToken.IsZero() && !r.over {
			work := *o.Work
			work.Hedge = true
			work.Avoid = []egretflow.ServerName{a.Prefill.Name, a.Decode.Name}
			s.poll(s.stepper.Acquire(&work), o)
		}
	})
}

// prefill runs the prefill of r.
func (s *Simulation) prefill(r *run) {
	e := s.byName[r.a.Prefill.Name]
	begin, work := s.now, r.o.Work
	r.took = s.scaled(e, perSecond(work.PromptTokens, PrefillRate))
	doneAt := s.occupy(&e.busyUntil, r.took)
	r.doneAt = doneAt
	e.prefills++
	s.after(doneAt.Sub(s.now), func() {
		if r.over || !r.doneAt.Equal(doneAt) {
			return
		}
		e.prefills--
		s.Computed[int(s.At().Seconds())] += work.PromptTokens
		s.stepper.Observe(egretflow.Observation{
			Kind: egretflow.ObservationPrefillDone, Server: e.name, Attempt: r.a.Attempt,
			StartedAt: begin, EndedAt: s.now, Tokens: work.PromptTokens,
		})
		s.stepper.Release(egretflow.Release{Attempt: r.a.Attempt, PrefillOnly: true})
		s.transfer(r)
	})
	if s.cfg.Policy != picker.PolicyJoint {
		return
	}
	s.after(max(minPatience, PatienceFactor*r.a.PrefillBy.Sub(begin)), func() {
		if !r.over && r.doneAt.Equal(doneAt) && s.now.Before(doneAt) {
			s.replace(r)
		}
	})
}

// replace moves the prefill of r to another server.
func (s *Simulation) replace(r *run) {
	s.stopPrefill(r)
	r.doneAt = time.Time{}
	s.stepper.Observe(egretflow.Observation{Kind: egretflow.ObservationSilent, Server: r.a.Prefill.Name, Attempt: r.a.Attempt})
	w := s.stepper.Replace(r.a)
	var poll func()
	poll = func() {
		a, done, err := w.Result()
		switch {
		case !done:
			s.after(pollInterval, poll)
		case r.over:
		case err != nil:
			s.end(r)
		default:
			r.a = a
			s.prefill(r)
		}
	}
	poll()
}

// stopPrefill frees the engine of a prefill that is not used. Prompts that wait
// behind it do not move up in the model.
func (s *Simulation) stopPrefill(r *run) {
	e := s.byName[r.a.Prefill.Name]
	if left := r.doneAt.Sub(s.now); left > 0 {
		e.busyUntil = e.busyUntil.Add(-min(left, r.took))
		e.prefills--
	}
	s.Wasted += r.o.Work.PromptTokens
}

// transfer starts once the decode engine has room; by then the result of the
// prefill may be gone.
func (s *Simulation) transfer(r *run) {
	e := s.byName[r.a.Decode.Name]
	begin := s.now
	start := func() {
		if r.over {
			return
		}
		if s.now.Sub(begin) > KeepResult {
			s.Wasted += r.o.Work.PromptTokens
			s.end(r)
			return
		}
		e.running += r.a.Slots
		r.decoding = true
		end := s.occupy(&e.linkUntil, perSecond(r.o.Work.PromptTokens*KVBytes, LinkRate))
		s.after(end.Add(s.scaled(e, Gap)).Sub(s.now), func() { s.firstToken(r, begin) })
	}
	if e.running+r.a.Slots > DecodeSlots || len(e.waiting) > 0 {
		e.waiting = append(e.waiting, start)
		return
	}
	start()
}

// firstToken ends the other attempts of the request.
func (s *Simulation) firstToken(r *run, begin time.Time) {
	if r.over {
		return
	}
	s.stepper.Observe(egretflow.Observation{
		Kind: egretflow.ObservationTransferDone, Server: r.a.Prefill.Name, Attempt: r.a.Attempt,
		StartedAt: begin, EndedAt: s.now,
	})
	r.o.FirstToken = s.now
	for _, other := range r.o.runs {
		if other != r && !other.over {
			s.stopPrefill(other)
			s.end(other)
		}
	}
	s.decode(r, r.o.Work.MaxTokens-1)
}

// decode generates the tokens that are left and reports them in steps.
func (s *Simulation) decode(r *run, left int) {
	e := s.byName[r.a.Decode.Name]
	begin, tokens := s.now, min(ReportTokens, left)
	s.after(time.Duration(tokens)*s.scaled(e, Gap), func() {
		s.stepper.Observe(egretflow.Observation{
			Kind: egretflow.ObservationTokens, Server: e.name, Attempt: r.a.Attempt,
			StartedAt: begin, EndedAt: s.now, Tokens: tokens,
		})
		if left > tokens {
			s.decode(r, left-tokens)
			return
		}
		s.end(r)
	})
}

// end releases r and lets the next request into its decode engine.
func (s *Simulation) end(r *run) {
	r.over = true
	s.stepper.Release(egretflow.Release{Attempt: r.a.Attempt})
	if !r.decoding {
		return
	}
	e := s.byName[r.a.Decode.Name]
	e.running -= r.a.Slots
	for len(e.waiting) > 0 && e.running < DecodeSlots {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		next()
	}
}
