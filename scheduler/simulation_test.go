package scheduler

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/picker"
)

// The simulation drives a task in virtual time with simple engines: a prefill
// server computes one prompt after the other, a decode server runs as many
// requests as it has slots and queues the rest, a link transfers one KV cache
// after the other. A prefill result is kept for keepResult. Reports of load
// lag by reportLag.
const (
	keepResult = time.Second
	reportLag  = 500 * time.Millisecond
	gap        = 30 * time.Millisecond
	linkRate   = 4 << 30
	// pollInterval is the delay with which the simulated caller sees a result.
	pollInterval = 5 * time.Millisecond
)

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

type simEvents []simEvent

func (h simEvents) Len() int { return len(h) }
func (h simEvents) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || (h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq)
}
func (h simEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

type engine struct {
	spec      egretflow.Server
	busyUntil time.Time
	linkUntil time.Time
	running   int
	waiting   []func()
	// slow returns the factor by which the engine is slow at a time.
	slow func(at time.Duration) float64
}

func (e *engine) factor(at time.Duration) float64 {
	if e.slow == nil {
		return 1
	}
	return e.slow(at)
}

// outcome is what happened to one request.
type outcome struct {
	work    *egretflow.Work
	refused bool
	first   time.Time
}

func (o *outcome) inTime() bool { return !o.first.IsZero() && !o.first.After(o.work.FirstTokenBy) }

type simulation struct {
	t        *task
	begin    time.Time
	now      time.Time
	events   simEvents
	seq      int
	engines  map[egretflow.ServerName]*engine
	names    []egretflow.ServerName
	outcomes []*outcome
	// computed counts prompt tokens by second of completion.
	computed [64]int
	wasted   int
}

type violations struct{ list []string }

func (v *violations) Check(i egretflow.Invariant, holds bool, _ egretflow.RequestID, detail string) {
	if !holds {
		v.list = append(v.list, string(i)+": "+detail)
	}
}

func newSimulation(policy picker.Policy, prefill, decode int, checker egretflow.Checker) *simulation {
	begin := time.Unix(1000, 0)
	s := &simulation{begin: begin, now: begin, engines: map[egretflow.ServerName]*engine{}}
	s.t = newTask(Config{Instance: "i", Clock: func() time.Time { return s.now }, Rand: rand.New(rand.NewPCG(5, 6)), Recorder: fakeRecorder{}, Checker: checker, Policy: policy})
	tables := testTables(prefill, decode, 20)
	for n := range tables.Pools[0].Servers {
		spec := &tables.Pools[0].Servers[n]
		spec.LinkBytesPerSecond = linkRate
		s.engines[spec.Name] = &engine{spec: *spec}
		s.names = append(s.names, spec.Name)
	}
	tables.Pools[0].KVBytesPerToken = 100 << 10
	tables.Routes = []egretflow.Route{{Name: "r", Pool: "letters", Idempotent: true}}
	s.t.handle(tablesMessage{tables: tables})
	return s
}

func (s *simulation) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.seq, do})
}

// stream offers requests from a random sequence of its own, rate per second.
func (s *simulation) stream(seed uint64, from, to time.Duration, rate float64) {
	r := rand.New(rand.NewPCG(seed, 8))
	var arrive func()
	arrive = func() {
		if s.at() < to {
			s.after(time.Duration(r.ExpFloat64()/rate*float64(time.Second)), arrive)
			s.request(r)
		}
	}
	s.after(from, arrive)
}

// run processes all events; ticks and reports end after length.
func (s *simulation) run(length time.Duration) {
	var tick func()
	tick = func() {
		s.t.tick()
		if s.at() < length {
			s.after(tickInterval, tick)
		}
	}
	s.after(0, tick)
	for _, name := range s.names {
		s.after(0, func() { s.reportLoad(name, length) })
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now, s.t.now = e.at, e.at
		e.do()
	}
}

func (s *simulation) at() time.Duration { return s.now.Sub(s.begin) }

func (s *simulation) reportLoad(name egretflow.ServerName, length time.Duration) {
	e := s.engines[name]
	backlog := 0
	if e.busyUntil.After(s.now) {
		backlog = 1 + int(e.busyUntil.Sub(s.now)/(375*time.Millisecond))
	}
	load := &egretflow.LoadReport{Server: name, MeasuredAt: s.now, Running: e.running + backlog, Waiting: len(e.waiting)}
	s.after(reportLag, func() {
		s.t.observe(&egretflow.Observation{Kind: egretflow.ObservationLoad, Server: name, Load: load})
		if s.at() < length {
			s.reportLoad(name, length)
		}
	})
}

func (s *simulation) request(r *rand.Rand) {
	shares := []egretflow.Importance{"Critical", "Critical", "High", "High", "High", "Normal", "Normal", "Normal", "Low", "Low"}
	n := len(s.outcomes)
	work := &egretflow.Work{
		Request: egretflow.RequestID(fmt.Sprint(n)), Caller: egretflow.CallerName(fmt.Sprint(r.IntN(5))), Route: "r", Pool: "letters",
		Importance: shares[r.IntN(len(shares))], Idempotent: true, Fingerprint: uint64(n + 1),
		PromptTokens: []int{1000, 2000, 4000, 8000}[r.IntN(4)], MaxTokens: 30 + r.IntN(50),
		ArrivedAt: s.now, FirstTokenBy: s.now.Add(2 * time.Second),
	}
	o := &outcome{work: work}
	s.outcomes = append(s.outcomes, o)
	w := newWaiter(work, "")
	s.t.handle(acquireMessage{waiter: w})
	s.poll(w, o)
}

// poll waits for the result of w, as a caller of Acquire does.
func (s *simulation) poll(w *waiter, o *outcome) {
	switch {
	case !w.done:
		s.after(pollInterval, func() { s.poll(w, o) })
	case w.err != nil:
		o.refused = true
		if w.replaces != "" {
			s.t.release(egretflow.Release{Attempt: w.replaces})
		}
	default:
		s.prefill(w.assignment, o)
	}
}

// prefill runs the prefill of a. Like the request path, it asks for another
// prefill server when the prefill takes twice its expected time.
func (s *simulation) prefill(a *egretflow.Assignment, o *outcome) {
	e := s.engines[a.Prefill.Name]
	begin, replaced := s.now, false
	took := time.Duration(float64(o.work.PromptTokens) / float64(e.spec.PrefillTokensPerSecond) * e.factor(s.at()) * float64(time.Second))
	e.busyUntil = later(e.busyUntil, s.now).Add(took)
	done := e.busyUntil
	s.after(done.Sub(s.now), func() {
		if replaced {
			return
		}
		s.computed[int(s.at().Seconds())] += o.work.PromptTokens
		s.t.observe(&egretflow.Observation{Kind: egretflow.ObservationPrefillDone, Server: e.spec.Name, Attempt: a.Attempt, StartedAt: begin, EndedAt: s.now, Tokens: o.work.PromptTokens})
		s.t.release(egretflow.Release{Attempt: a.Attempt, PrefillOnly: true})
		s.transfer(a, o)
	})
	if s.t.joint() {
		s.after(2*a.PrefillBy.Sub(begin), func() {
			if s.now.Before(done) {
				replaced = true
				s.wasted += o.work.PromptTokens
				e.busyUntil = s.now
				w := newWaiter(o.work, a.Attempt)
				s.t.handle(acquireMessage{waiter: w})
				s.poll(w, o)
			}
		})
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// transfer starts once the decode engine has a slot; by then the result of the
// prefill may be gone.
func (s *simulation) transfer(a *egretflow.Assignment, o *outcome) {
	e := s.engines[a.Decode.Name]
	begin := s.now
	start := func() {
		if s.now.Sub(begin) > keepResult {
			s.wasted += o.work.PromptTokens
			s.t.release(egretflow.Release{Attempt: a.Attempt})
			return
		}
		e.running += a.Slots
		e.linkUntil = later(e.linkUntil, s.now).Add(time.Duration(float64(o.work.PromptTokens) * (100 << 10) / linkRate * float64(time.Second)))
		s.after(e.linkUntil.Sub(s.now), func() { s.decode(a, o) })
	}
	if e.running+a.Slots > e.spec.Slots || len(e.waiting) > 0 {
		e.waiting = append(e.waiting, start)
		return
	}
	start()
}

func (s *simulation) decode(a *egretflow.Assignment, o *outcome) {
	e := s.engines[a.Decode.Name]
	s.t.observe(&egretflow.Observation{Kind: egretflow.ObservationTransferDone, Server: e.spec.Name, Attempt: a.Attempt})
	begin, step := s.now, time.Duration(float64(gap)*e.factor(s.at()))
	o.first = s.now.Add(step)
	s.after(time.Duration(o.work.MaxTokens)*step, func() {
		s.t.observe(&egretflow.Observation{Kind: egretflow.ObservationTokens, Server: e.spec.Name, Attempt: a.Attempt, StartedAt: begin, EndedAt: s.now, Tokens: o.work.MaxTokens})
		s.t.release(egretflow.Release{Attempt: a.Attempt})
		e.running -= a.Slots
		for len(e.waiting) > 0 && e.running < e.spec.Slots {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			next()
		}
	})
}

// share returns the share of requests in time among those that keep selects.
func (s *simulation) share(keep func(o *outcome) bool) float64 {
	total, good := 0, 0
	for _, o := range s.outcomes {
		if keep(o) {
			total++
			if o.inTime() {
				good++
			}
		}
	}
	return float64(good) / float64(max(1, total))
}

// tokens returns the prompt tokens computed between two seconds.
func (s *simulation) tokens(from, to int) int {
	sum := 0
	for _, n := range s.computed[from:to] {
		sum += n
	}
	return sum
}

// firstTokens returns the sorted times to the first token.
func (s *simulation) firstTokens() []time.Duration {
	var times []time.Duration
	for _, o := range s.outcomes {
		if !o.first.IsZero() {
			times = append(times, o.first.Sub(o.work.ArrivedAt))
		}
	}
	slices.Sort(times)
	return times
}
