// Package simulator runs the decisions of one scheduler against simple engines
// in virtual time, to compare policies in milliseconds and with the same result
// each time. Its figures are those of the model below, not of engines.
//
// # Usage
//
//	s := simulator.New(simulator.Config{Policy: picker.PolicyJoint, Prefill: 4, Decode: 4})
//	s.Stream(1, 0, 30*time.Second, 16) // 16 requests/s
//	s.Run(40 * time.Second)
//	goodput := s.Share(func(*simulator.Outcome) bool { return true })
//
// # Rules
//
//  1. A prefill server computes one prompt after the other at PrefillRate.
//  2. A decode server runs as many requests as it has slots and queues the
//     rest. The result of a prefill is lost when it waits longer than
//     KeepResult.
//  3. A link transfers one KV cache after the other at LinkRate.
//  4. Load reports lag by ReportLag. Output is reported every ReportTokens.
//  5. As in the request path, a first token that takes HedgeFactor times as long
//     as expected is hedged, and a prefill that takes PatienceFactor times as
//     long is replaced. The baseline policies do neither.
package simulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/picker"
	"github.com/egretflow/egretflow/scheduler"
)

// The model of the engines and of the requests.
const (
	// PrefillRate in tokens/s.
	PrefillRate = 10_000
	// MeanPrompt in tokens; prompts have 1,000, 2,000, 4,000 or 8,000.
	MeanPrompt = 3750
	// KeepResult is how long a prefill server keeps a result.
	KeepResult = time.Second
	// ReportLag is the interval and the age of load reports.
	ReportLag = 500 * time.Millisecond
	// Gap is the time between output tokens.
	Gap = 30 * time.Millisecond
	// ReportTokens is the number of output tokens between two reports.
	ReportTokens = 10
	// LinkRate in bytes/s and KVBytes per prompt token.
	LinkRate = 4 << 30
	KVBytes  = 100 << 10
	// HedgeFactor and PatienceFactor are those of the request path.
	HedgeFactor    = 2
	PatienceFactor = 4
	// Target is the first-token target of all requests.
	Target = 2 * time.Second
	// DecodeSlots is the number of slots of a decode server.
	DecodeSlots = 20
	// PrefillSlots is the number of slots of a prefill server.
	PrefillSlots = 4

	minPatience  = 400 * time.Millisecond
	pollInterval = 5 * time.Millisecond
)

// Config holds the settings of a Simulation.
type Config struct {
	Policy picker.Policy
	// Prefill and Decode are numbers of servers, named p0.. and d0..
	Prefill int
	Decode  int
	// Slow returns the factor by which a server is slow at a time; nil for 1.
	Slow func(server egretflow.ServerName, at time.Duration) float64
}

// Outcome is what happened to one request.
type Outcome struct {
	Work *egretflow.Work
	// FirstToken is zero when the request was refused or lost.
	FirstToken time.Time
	runs       []*run
}

// InTime reports whether the first token met its target.
func (o *Outcome) InTime() bool {
	return !o.FirstToken.IsZero() && !o.FirstToken.After(o.Work.FirstTokenBy)
}

// Simulation is one run. It is not safe for concurrent use.
type Simulation struct {
	// Outcomes lists all requests by arrival.
	Outcomes []*Outcome
	// Computed counts prompt tokens by second of completion.
	Computed []int
	// Wasted counts prompt tokens whose result was not used.
	Wasted int
	// Violations lists the invariants that did not hold.
	Violations []string

	cfg     Config
	stepper *scheduler.Stepper
	begin   time.Time
	now     time.Time
	events  events
	seq     int
	engines []*engine
	byName  map[egretflow.ServerName]*engine
}

// New returns a simulation at time 0.
func New(cfg Config) *Simulation {
	begin := time.Unix(1000, 0)
	s := &Simulation{cfg: cfg, begin: begin, now: begin, byName: map[egretflow.ServerName]*engine{}}
	s.stepper = scheduler.NewStepper(scheduler.Config{
		Instance: "simulated", Clock: func() time.Time { return s.now }, Rand: rand.New(rand.NewPCG(5, 6)),
		Recorder: s, Checker: s, Policy: cfg.Policy,
	})
	pool := egretflow.Pool{Name: "model", Kind: egretflow.PoolKindModel, KVBytesPerToken: KVBytes, TokenGap: egretflow.Duration(Gap)}
	for n := range cfg.Prefill {
		pool.Servers = append(pool.Servers, s.addEngine("p", n, egretflow.RolePrefill, PrefillSlots))
	}
	for n := range cfg.Decode {
		pool.Servers = append(pool.Servers, s.addEngine("d", n, egretflow.RoleDecode, DecodeSlots))
	}
	s.stepper.Apply(&egretflow.Tables{
		Revision: 1, Pools: []egretflow.Pool{pool},
		Routes: []egretflow.Route{{Name: "r", Pool: "model", Idempotent: true}},
	})
	return s
}

// Record implements egretflow.Recorder.
func (s *Simulation) Record(egretflow.Event) {}

// Check implements egretflow.Checker.
func (s *Simulation) Check(i egretflow.Invariant, holds bool, _ egretflow.RequestID, detail string) {
	if !holds {
		s.Violations = append(s.Violations, string(i)+": "+detail)
	}
}

// At returns the time since the begin.
func (s *Simulation) At() time.Duration { return s.now.Sub(s.begin) }

// Arrived returns when the request of o arrived, from the begin.
func (s *Simulation) Arrived(o *Outcome) time.Duration { return o.Work.ArrivedAt.Sub(s.begin) }

// Stream offers rate requests/s at random between two times. Streams with the
// same seed offer the same requests.
func (s *Simulation) Stream(seed uint64, from, to time.Duration, rate float64) {
	r := rand.New(rand.NewPCG(seed, 8))
	var arrive func()
	arrive = func() {
		if s.At() < to {
			s.after(time.Duration(r.ExpFloat64()/rate*float64(time.Second)), arrive)
			s.request(r)
		}
	}
	s.after(from, arrive)
}

// Run processes all events. Ticks and reports end after length, which should
// leave time for the last requests.
func (s *Simulation) Run(length time.Duration) {
	s.Computed = make([]int, int(length.Seconds())+60)
	var tick func()
	tick = func() {
		s.stepper.Tick()
		if s.At() < length {
			s.after(scheduler.TickInterval, tick)
		}
	}
	s.after(0, tick)
	for _, e := range s.engines {
		s.after(0, func() { s.reportLoad(e, length) })
	}
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.do()
	}
}

// request offers one request of random importance, caller and size.
func (s *Simulation) request(r *rand.Rand) {
	shares := []egretflow.Importance{"Critical", "Critical", "High", "High", "High", "Normal", "Normal", "Normal", "Low", "Low"}
	n := len(s.Outcomes)
	o := &Outcome{Work: &egretflow.Work{
		Request: egretflow.RequestID(fmt.Sprint(n)), Caller: egretflow.CallerName(fmt.Sprint(r.IntN(5))), Route: "r", Pool: "model",
		Importance: shares[r.IntN(len(shares))], Idempotent: true, Fingerprint: uint64(n + 1),
		PromptTokens: []int{1000, 2000, 4000, 8000}[r.IntN(4)], MaxTokens: 30 + r.IntN(50),
		ArrivedAt: s.now, FirstTokenBy: s.now.Add(Target),
	}}
	s.Outcomes = append(s.Outcomes, o)
	s.poll(s.stepper.Acquire(o.Work), o)
}

// poll waits for the result of w, as a caller of Acquire does.
func (s *Simulation) poll(w *scheduler.PendingAssignment, o *Outcome) {
	a, done, err := w.Result()
	switch {
	case !done:
		s.after(pollInterval, func() { s.poll(w, o) })
	case err == nil:
		s.startRun(a, o)
	}
}

// Share returns the share of requests in time among those that keep selects.
func (s *Simulation) Share(keep func(o *Outcome) bool) float64 {
	total, good := 0, 0
	for _, o := range s.Outcomes {
		if keep(o) {
			total++
			if o.InTime() {
				good++
			}
		}
	}
	return float64(good) / float64(max(1, total))
}

// Tokens returns the prompt tokens computed between two seconds.
func (s *Simulation) Tokens(from, to int) int {
	sum := 0
	for _, n := range s.Computed[from:to] {
		sum += n
	}
	return sum
}

func (s *Simulation) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{s.now.Add(d), s.seq, do})
}

// event is something to do at a time; seq orders events at the same time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || (h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq)
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
