package simulator

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/egretflow/egretflow"
)

// Traffic describes the requests of one caller.
type Traffic struct {
	Caller egretflow.CallerName
	// Zone labels the requests; the scheduler does not see it.
	Zone string
	// Rate is the mean number of requests/s from From to To.
	Rate     float64
	From, To time.Duration
	// Importances and PromptTokens are drawn with equal probability.
	Importances  []egretflow.Importance
	PromptTokens []int
	// Patience is how long callers wait for a first token, and Deadline how long
	// for the whole response.
	Patience, Deadline time.Duration
	// Returns is how often a caller returns after a refusal, at the time that it was
	// told, or at once if AtOnce is true.
	Returns int
	AtOnce  bool
}

// Traffic returns the traffic that the request belongs to.
func (o *Outcome) Traffic() *Traffic { return o.traffic }

// AddTraffic adds Poisson arrivals. Equal seeds give equal arrivals and requests.
func (s *Simulation) AddTraffic(seed uint64, t Traffic) {
	r := rand.New(rand.NewPCG(seed, 9))
	next := func() time.Duration { return time.Duration(r.ExpFloat64() / t.Rate * float64(time.Second)) }
	var arrive func()
	arrive = func() {
		if s.Elapsed() < t.To {
			s.send(s.newOutcome(&t, r))
			s.schedule(next(), arrive)
		}
	}
	s.schedule(t.From+next(), arrive)
}

func (s *Simulation) newOutcome(t *Traffic, r *rand.Rand) *Outcome {
	n := len(s.Outcomes)
	return &Outcome{traffic: t, Work: &egretflow.Work{
		Request: egretflow.RequestID(fmt.Sprint(n)), Caller: t.Caller, Route: "r", Pool: "model",
		Importance: t.Importances[r.IntN(len(t.Importances))], Idempotent: true, Fingerprint: uint64(n + 1),
		PromptTokens: t.PromptTokens[r.IntN(len(t.PromptTokens))], MaxTokens: 30 + r.IntN(50),
		ArrivedAt: s.now, FirstTokenBy: s.now.Add(FirstTokenTarget), GiveUpBy: s.now.Add(t.Patience), Deadline: s.now.Add(t.Deadline),
	}}
}

// refused records a refusal. The caller returns if its traffic says so.
func (s *Simulation) refused(o *Outcome, err error) {
	var refusal *egretflow.Refusal
	if !errors.As(err, &refusal) {
		panic(fmt.Sprintf("request %s ended without a refusal: %v", o.Work.Request, err))
	}
	o.Refusals = append(o.Refusals, Refusal{At: s.now, RetryAt: refusal.RetryAt})
	if o.traffic == nil || len(o.Refusals) > o.traffic.Returns {
		return
	}
	delay := refusal.RetryAt.Sub(s.now)
	if o.traffic.AtOnce {
		delay = pollInterval
	}
	s.schedule(delay, func() { s.resend(o) })
}

// resend sends the request of a caller that returns, unless its deadline has passed.
func (s *Simulation) resend(o *Outcome) {
	if !s.now.Before(o.Work.Deadline) {
		return
	}
	work := *o.Work
	work.ArrivedAt, work.AfterRefusal = s.now, true
	if work.GiveUpBy = s.now.Add(o.traffic.Patience); work.GiveUpBy.After(work.Deadline) {
		work.GiveUpBy = work.Deadline
	}
	o.Work = &work
	s.poll(s.stepper.Acquire(o.Work), o)
}

// RemoveServers takes the servers for which remove returns true out of the tables at
// the given time. What runs there goes on.
func (s *Simulation) RemoveServers(at time.Duration, remove func(*egretflow.Server) bool) {
	s.schedule(at, func() {
		tables := *s.tables
		pool := tables.Pools[0]
		pool.Servers = nil
		for _, server := range tables.Pools[0].Servers {
			if !remove(&server) {
				pool.Servers = append(pool.Servers, server)
			}
		}
		tables.Pools = []egretflow.Pool{pool}
		tables.Revision++
		s.tables = &tables
		s.stepper.Apply(s.tables)
	})
}
