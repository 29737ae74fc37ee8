// Package simulator runs one scheduler against simple models of engines in
// virtual time. It compares policies within milliseconds and returns the same
// result each time. The results hold for the model below, not for real engines.
//
// # Usage
//
//	s := simulator.New(simulator.Config{Policy: picker.PolicyJoint, Prefill: 4, Decode: 4})
//	s.AddArrivals(1, 0, 30*time.Second, 16) // 16 requests/s
//	s.Run(40 * time.Second)
//	goodput := s.InTimeShare(func(*simulator.Outcome) bool { return true })
//
// # Rules
//
//  1. A prefill server computes one prompt after the other at PrefillRate.
//  2. A decode server runs as many requests as it has slots and queues the
//     rest. The result of a prefill is lost if the request waits longer than
//     PrefillRetention in this queue.
//  3. A link transfers one KV cache after the other at LinkRate.
//  4. Load reports are delayed by ReportLag. Output tokens are reported in groups
//     of ReportTokens.
//  5. As in the request path, a request is hedged if its first token takes
//     HedgeFactor times as long as expected, and a prefill is replaced if it takes
//     ReplaceFactor times as long. The baseline policies do neither.
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

// Parameters of the engines and of the requests.
const (
	// PrefillRate is the speed of a prefill server in tokens/s.
	PrefillRate = 10_000
	// MeanPromptTokens is the mean length of a prompt. Prompts have 1,000,
	// 2,000, 4,000 or 8,000 tokens.
	MeanPromptTokens = 3750
	// PrefillRetention is how long a prefill server keeps the result of a
	// prefill.
	PrefillRetention = time.Second
	// ReportLag is the interval of load reports and their age at arrival.
	ReportLag = 500 * time.Millisecond
	// TokenGap is the time between output tokens of a request.
	TokenGap = 30 * time.Millisecond
	// ReportTokens is the number of output tokens between two token reports.
	ReportTokens = 10
	// LinkRate is the speed of a link in bytes/s; KVBytesPerToken is the size
	// of the KV cache per prompt token.
	LinkRate        = 4 << 30
	KVBytesPerToken = 100 << 10
	// HedgeFactor and ReplaceFactor are those of the request path (rule 5).
	HedgeFactor   = 2
	ReplaceFactor = 4
	// FirstTokenTarget is the first-token target of all requests.
	FirstTokenTarget = 2 * time.Second
	// DecodeSlots is the number of slots of a decode server.
	DecodeSlots = 20
	// PrefillSlots is the number of slots of a prefill server.
	PrefillSlots = 4

	// minReplaceDelay is the minimum time before a prefill is replaced.
	minReplaceDelay = 400 * time.Millisecond
	// pollInterval is the interval at which results of the scheduler are polled.
	pollInterval = 5 * time.Millisecond
)

// Config configures a Simulation.
type Config struct {
	Policy picker.Policy
	// Prefill and Decode are the numbers of servers. The servers are named p0,
	// p1, ... and d0, d1, ...
	Prefill int
	Decode  int
	// Slow returns the factor by which work of a server takes longer at a time
	// since the start. A nil Slow means 1.
	Slow func(server egretflow.ServerName, at time.Duration) float64
	// Organisations are those of the tables.
	Organisations []egretflow.Organisation
	// Unrated leaves the rates of the servers out of the tables, so that they are
	// learned, as by the coordinator of a shard.
	Unrated bool
	// Rated returns the lasting speed of a server that the tables give, as a multiple
	// of PrefillRate. A nil Rated means 1.
	Rated func(server egretflow.ServerName) float64
}

// Outcome is the result of one request.
type Outcome struct {
	Work *egretflow.Work
	// FirstToken is when the first token arrived; zero if the request was
	// refused or lost.
	FirstToken time.Time
	// Refusals lists the refusals of the request, of which the last one ended it if it
	// has no first token.
	Refusals []Refusal
	// FirstOffer is when the caller sent the request for the first time.
	FirstOffer time.Time
	attempts   []*attempt
	traffic    *Traffic
}

// Refusal says when a request was refused, and when its caller was told to return.
type Refusal struct{ At, RetryAt time.Time }

// InTime reports whether the first token met its target.
func (o *Outcome) InTime() bool {
	return !o.FirstToken.IsZero() && !o.FirstToken.After(o.Work.FirstTokenBy) && len(o.Refusals) == 0
}

// Simulation is one simulated run. It is not safe for concurrent use.
type Simulation struct {
	// Outcomes lists all requests in the order of arrival.
	Outcomes []*Outcome
	// ComputedTokens counts computed prompt tokens by the second in which the
	// prefill ended.
	ComputedTokens []int
	// WastedTokens counts prompt tokens whose prefill result was not used.
	WastedTokens int
	// Generated counts the output tokens of each decode server, and Computed the
	// prompt tokens of each prefill server.
	Generated map[egretflow.ServerName]int
	Computed  map[egretflow.ServerName]int
	// Reserved holds how long the decode slots of a server were reserved before each
	// first token.
	Reserved map[egretflow.ServerName][]time.Duration
	// Violations lists the violations of invariants that the scheduler
	// reported.
	Violations []string

	cfg     Config
	tables  *egretflow.Tables
	stepper *scheduler.Stepper
	begin   time.Time
	now     time.Time
	events  events
	seq     int
	engines []*engine
	byName  map[egretflow.ServerName]*engine
}

// New returns a simulation at its start, without requests.
func New(cfg Config) *Simulation {
	begin := time.Unix(1000, 0)
	s := &Simulation{
		cfg: cfg, begin: begin, now: begin, byName: map[egretflow.ServerName]*engine{},
		Generated: map[egretflow.ServerName]int{}, Computed: map[egretflow.ServerName]int{},
		Reserved: map[egretflow.ServerName][]time.Duration{},
	}
	pool := egretflow.Pool{Name: "model", Kind: egretflow.PoolKindModel, KVBytesPerToken: KVBytesPerToken, TokenGap: egretflow.Duration(TokenGap)}
	if cfg.Unrated {
		pool.TokenGap, pool.EventTokens = 0, 1
	}
	for n := range cfg.Prefill {
		pool.Servers = append(pool.Servers, s.addEngine("p", n, egretflow.RolePrefill, PrefillSlots))
	}
	for n := range cfg.Decode {
		pool.Servers = append(pool.Servers, s.addEngine("d", n, egretflow.RoleDecode, DecodeSlots))
	}
	s.tables = &egretflow.Tables{
		Revision: 1, Pools: []egretflow.Pool{pool}, Organisations: cfg.Organisations,
		Routes: []egretflow.Route{{Name: "r", Pool: "model", Idempotent: true}},
	}
	s.stepper = s.newStepper()
	return s
}

func (s *Simulation) newStepper() *scheduler.Stepper {
	cfg := scheduler.Config{
		Instance: "simulated", Clock: func() time.Time { return s.now }, Rand: rand.New(rand.NewPCG(5, 6)),
		Recorder: s, Checker: s, Policy: s.cfg.Policy,
	}
	if s.cfg.Unrated {
		cfg.Sharing = picker.SharingCoordinated
	}
	stepper := scheduler.NewStepper(cfg)
	stepper.Apply(s.tables)
	return stepper
}

// Record implements egretflow.Recorder. It drops the event.
func (s *Simulation) Record(egretflow.Event) {}

// Check implements egretflow.Checker. It records a violation if holds is false.
func (s *Simulation) Check(i egretflow.Invariant, holds bool, _ egretflow.RequestID, detail string) {
	if !holds {
		s.Violations = append(s.Violations, string(i)+": "+detail)
	}
}

// Elapsed returns the virtual time since the start.
func (s *Simulation) Elapsed() time.Duration { return s.now.Sub(s.begin) }

// ArrivalOffset returns the arrival time of a request, counted from the start.
func (s *Simulation) ArrivalOffset(o *Outcome) time.Duration { return o.Work.ArrivedAt.Sub(s.begin) }

// AddArrivals adds Poisson arrivals with a mean rate in requests/s from one
// time to another. Equal seeds give equal arrivals and requests.
func (s *Simulation) AddArrivals(seed uint64, from, to time.Duration, rate float64) {
	r := rand.New(rand.NewPCG(seed, 8))
	var arrive func()
	arrive = func() {
		if s.Elapsed() < to {
			s.schedule(time.Duration(r.ExpFloat64()/rate*float64(time.Second)), arrive)
			s.sendRequest(r)
		}
	}
	s.schedule(from, arrive)
}

// Run processes all events. Scheduler ticks and load reports end after length,
// which should leave the last requests time to end.
func (s *Simulation) Run(length time.Duration) {
	s.ComputedTokens = make([]int, int(length.Seconds())+60)
	var tick func()
	tick = func() {
		s.stepper.Tick()
		if s.Elapsed() < length {
			s.schedule(scheduler.TickInterval, tick)
		}
	}
	s.schedule(0, tick)
	for _, e := range s.engines {
		s.schedule(0, func() { s.reportLoad(e, length) })
	}
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.do()
	}
}

// sendRequest sends one request of random importance, caller and size to the
// scheduler.
func (s *Simulation) sendRequest(r *rand.Rand) {
	shares := []egretflow.Importance{"Critical", "Critical", "High", "High", "High", "Normal", "Normal", "Normal", "Low", "Low"}
	n := len(s.Outcomes)
	o := &Outcome{Work: &egretflow.Work{
		Request: egretflow.RequestID(fmt.Sprint(n)), Caller: egretflow.CallerName(fmt.Sprint(r.IntN(5))), Route: "r", Pool: "model",
		Importance: shares[r.IntN(len(shares))], Idempotent: true, Fingerprint: uint64(n + 1),
		PromptTokens: []int{1000, 2000, 4000, 8000}[r.IntN(4)], MaxTokens: 30 + r.IntN(50),
		ArrivedAt: s.now, FirstTokenBy: s.now.Add(FirstTokenTarget),
	}}
	s.send(o)
}

// send sends a request for the first time.
func (s *Simulation) send(o *Outcome) {
	o.FirstOffer = s.now
	s.Outcomes = append(s.Outcomes, o)
	s.poll(s.stepper.Acquire(o.Work), o)
}

// poll waits for the result of w, as a caller of Acquire does, and starts an
// attempt unless the request was refused.
func (s *Simulation) poll(w *scheduler.PendingAssignment, o *Outcome) {
	a, done, err := w.Result()
	switch {
	case !done:
		s.schedule(pollInterval, func() { s.poll(w, o) })
	case err == nil:
		s.startAttempt(a, o)
	case len(o.attempts) == 0:
		s.refused(o, err)
	}
}

// InTimeShare returns the share of requests whose first token met the target,
// among the requests for which keep returns true.
func (s *Simulation) InTimeShare(keep func(o *Outcome) bool) float64 {
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

// ComputedBetween returns the number of prompt tokens computed in the seconds
// [from, to).
func (s *Simulation) ComputedBetween(from, to int) int {
	sum := 0
	for _, n := range s.ComputedTokens[from:to] {
		sum += n
	}
	return sum
}

func (s *Simulation) schedule(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{s.now.Add(d), s.seq, do})
}

// event is an action at a time. Events at the same time run in the order of
// seq.
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
