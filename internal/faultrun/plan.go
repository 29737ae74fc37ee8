package faultrun

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// horizon is the time since the start of the run at which the last fault has
// ended and the last request has been sent.
const horizon = 15 * time.Second

// requestKind is the kind of request that a caller sends.
type requestKind string

// Kinds of requests: model requests with a streamed or a plain response, and
// idempotent (Call) or non-idempotent (Order) service calls.
const (
	kindStream requestKind = "Stream"
	kindPlain  requestKind = "Plain"
	kindCall   requestKind = "Call"
	kindOrder  requestKind = "Order"
)

// plannedRequest is one request of a caller together with its retries.
type plannedRequest struct {
	n    int
	at   time.Duration
	kind requestKind
	// instance is the index of the instance that gets the first try. Each retry
	// goes to the next instance.
	instance int
	tries    int
	// concurrent sends all tries of an order at once instead of one after the
	// other.
	concurrent bool
	tokens     int
	// promptBytes is the length of the padding in the prompt or body.
	promptBytes int
	// cancelAfter is when the caller cancels the request, counted from its
	// start; 0 means never.
	cancelAfter time.Duration
	// timeout sets X-Request-Deadline, counted from each try; 0 sets no header.
	timeout time.Duration
	// keyTime is the timestamp of an Idempotency-Key of UUID version 7. If it
	// is zero, the key is the marker of the request.
	keyTime time.Time
	// alterLastTry gives the last try of an order a different body.
	alterLastTry bool
	// crashesEngine puts the marker into the prompt that crashes a stand-in
	// engine.
	crashesEngine bool
}

// marker returns a text that is unique to the request and contained in its
// prompt or body.
func (r *plannedRequest) marker() string { return fmt.Sprintf("request-%d-", r.n) }

// epoch is the time at which synctest starts its clock, before the first
// request.
var epoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// key returns the Idempotency-Key of the request.
func (r *plannedRequest) key() string {
	if r.keyTime.IsZero() {
		return r.marker()
	}
	return fmt.Sprintf("%012x", r.keyTime.UnixMilli())[:8] + "-" + fmt.Sprintf("%012x", r.keyTime.UnixMilli())[8:] +
		fmt.Sprintf("-7000-8000-%012x", r.n)
}

// fleetPlan holds the numbers of instances and of backend servers by role.
type fleetPlan struct{ instances, prefill, decode, services int }

// plan is the fleet, the requests and the faults of one run.
type plan struct {
	fleet    fleetPlan
	requests []plannedRequest
	faults   []plannedFault
}

// newPlan returns the random plan that the seed of opts determines. Faults are
// ordered by time.
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
		r.concurrent = rng.IntN(4) == 0
		r.alterLastTry = !r.concurrent && r.tries > 1 && rng.IntN(4) == 0
		if rng.IntN(2) == 0 {
			r.keyTime = epoch.Add(r.at)
		}
	}
	if rng.IntN(6) == 0 {
		r.cancelAfter = between(rng, 0, 3*time.Second)
		if r.kind == kindStream && rng.IntN(2) == 0 {
			r.tokens = longestAnswerTokens
		}
	}
	if rng.IntN(10) == 0 {
		r.timeout = between(rng, 100*time.Millisecond, 5*time.Second)
	}
	if (r.kind == kindStream || r.kind == kindPlain) && rng.IntN(40) == 0 {
		r.crashesEngine, r.tries = true, 4
	}
	return r
}

func between(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}
