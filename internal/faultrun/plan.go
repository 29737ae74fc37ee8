package faultrun

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// horizon is when the last fault ends and the last request is sent.
const horizon = 15 * time.Second

// requestKind says what a caller sends.
type requestKind string

// The kinds of requests.
const (
	kindStream requestKind = "Stream"
	kindPlain  requestKind = "Plain"
	kindCall   requestKind = "Call"
	kindOrder  requestKind = "Order"
)

// plannedRequest is one request with all its retries.
type plannedRequest struct {
	n    int
	at   time.Duration
	kind requestKind
	// instance is the first that is asked; retries go to the next ones.
	instance int
	tries    int
	// together sends all tries at once instead of after failures.
	together bool
	tokens   int
	// promptBytes is the length of the padding of the prompt.
	promptBytes int
	// cancelAfter ends the request from the caller's side; 0 for never.
	cancelAfter time.Duration
	// timeout sets X-Request-Deadline; 0 for none.
	timeout time.Duration
	// keyTime makes the Idempotency-Key one of UUID version 7; zero for a plain
	// key.
	keyTime time.Time
	// altered gives the last try of an order another body.
	altered bool
	// crashes puts the crash marker of the stand-in engines into the prompt.
	crashes bool
}

// marker is contained in the prompt or body and tells requests apart.
func (r *plannedRequest) marker() string { return fmt.Sprintf("request-%d-", r.n) }

// epoch is before the first request; synctest starts its clock there.
var epoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// key returns the Idempotency-Key.
func (r *plannedRequest) key() string {
	if r.keyTime.IsZero() {
		return r.marker()
	}
	return fmt.Sprintf("%012x", r.keyTime.UnixMilli())[:8] + "-" + fmt.Sprintf("%012x", r.keyTime.UnixMilli())[8:] +
		fmt.Sprintf("-7000-8000-%012x", r.n)
}

// fleetPlan is the size of the fleet.
type fleetPlan struct{ instances, prefill, decode, services int }

// plan is a whole run.
type plan struct {
	fleet    fleetPlan
	requests []plannedRequest
	faults   []plannedFault
}

// newPlan draws a run.
func newPlan(opts *Options) plan {
	rng := rand.New(rand.NewPCG(opts.Seed, 0xfa0175))
	p := plan{fleet: fleetPlan{
		instances: 3 + rng.IntN(3), prefill: 2 + rng.IntN(2), decode: 2 + rng.IntN(3), services: 2,
	}}
	for n := range 40 + rng.IntN(60) {
		p.requests = append(p.requests, drawRequest(rng, n, &p.fleet))
	}
	for range 2 + rng.IntN(14) {
		p.faults = append(p.faults, drawFault(rng, &p.fleet, opts.faultKinds()))
	}
	slices.SortStableFunc(p.faults, func(a, b plannedFault) int { return cmp.Compare(a.at, b.at) })
	return p
}

func drawRequest(rng *rand.Rand, n int, fleet *fleetPlan) plannedRequest {
	r := plannedRequest{
		n: n, at: between(rng, 0, horizon), instance: rng.IntN(fleet.instances), tries: 1 + rng.IntN(3),
		tokens: 1 + rng.IntN(120), promptBytes: rng.IntN(4000),
	}
	switch draw := rng.IntN(100); {
	case draw < 50:
		r.kind = kindStream
	case draw < 65:
		r.kind = kindPlain
	case draw < 78:
		r.kind = kindCall
	default:
		r.kind = kindOrder
		r.together = rng.IntN(4) == 0
		r.altered = !r.together && r.tries > 1 && rng.IntN(4) == 0
		if rng.IntN(2) == 0 {
			r.keyTime = epoch.Add(r.at)
		}
	}
	if rng.IntN(6) == 0 {
		r.cancelAfter = between(rng, 0, 3*time.Second)
		if r.kind == kindStream && rng.IntN(2) == 0 {
			r.tokens = longestTokens
		}
	}
	if rng.IntN(10) == 0 {
		r.timeout = between(rng, 100*time.Millisecond, 5*time.Second)
	}
	if (r.kind == kindStream || r.kind == kindPlain) && rng.IntN(40) == 0 {
		r.crashes, r.tries = true, 4
	}
	return r
}

func between(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}
