package claimer

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/egretflow/egretflow"
)

// TestMain sets a fixed seed for rapid, so that every run checks the same
// cases. Flags on the command line override it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20260704", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// plan is a random schedule of requests and faults.
type plan struct {
	seed           uint64
	instances      int
	tries          []try
	kills          []event
	outages        []event
	responseLosses []event
	// lossPercent is the percentage of writes whose response is lost. About half
	// of them take effect late.
	lossPercent int
	// splitView is true if instance 0 considers itself the only member.
	splitView bool
}

// event is a fault of an instance or, for outages, of the store.
type event struct {
	at, length time.Duration
	instance   int
}

// try is one request of a caller to one instance.
type try struct {
	key, instance int
	at            time.Duration
	// pause is the time from receiving the ticket to the check of RunBy.
	pause time.Duration
	// end is what the instance calls after the run, or Die for none: Finish,
	// Unknown, NotRun or Die.
	end string
}

// drawPlan draws a plan for two to five instances and four keys.
func drawPlan(t *rapid.T) plan {
	millis := func(low, high int, label string) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, label)) * time.Millisecond
	}
	p := plan{
		seed: rapid.Uint64().Draw(t, "seed"), instances: rapid.IntRange(2, 5).Draw(t, "instances"),
		lossPercent: rapid.SampledFrom([]int{0, 10, 50}).Draw(t, "loss"), splitView: rapid.Bool().Draw(t, "split"),
	}
	for range rapid.IntRange(5, 40).Draw(t, "tries") {
		p.tries = append(p.tries, try{
			key: rapid.IntRange(0, 3).Draw(t, "key"), instance: rapid.IntRange(0, p.instances-1).Draw(t, "at"),
			at:    millis(0, 20_000, "time"),
			pause: rapid.SampledFrom([]time.Duration{0, 0, 20 * time.Millisecond, 2 * time.Second, 90 * time.Second}).Draw(t, "pause"),
			end:   rapid.SampledFrom([]string{"Finish", "Finish", "Unknown", "NotRun", "NotRun", "Die"}).Draw(t, "end"),
		})
	}
	draw := func(label string) []event {
		var events []event
		for range rapid.IntRange(0, 3).Draw(t, label) {
			events = append(events, event{
				at: millis(0, 20_000, "time"), length: millis(10, 8000, "length"),
				instance: rapid.IntRange(0, p.instances-1).Draw(t, "instance"),
			})
		}
		return events
	}
	p.kills, p.outages, p.responseLosses = draw("kills"), draw("outages"), draw("cuts")
	return p
}

// history records the calls and results of a plan, and the runs of each key.
type history struct {
	mu         sync.Mutex
	operations []porcupine.Operation
	runs       map[int]int
	start      time.Time
	unanswered int64
}

// call runs one operation and records it. An operation without a known result
// may take effect at any later time, so its return time is set after all
// others.
func (h *history) call(client, key int, op string, token func() string, do func() (string, bool)) {
	began := time.Since(h.start).Nanoseconds()
	output, seen := do()
	ended := time.Since(h.start).Nanoseconds()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !seen {
		h.unanswered++
		ended = int64(1<<62) + h.unanswered
	}
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: claimInput{key: key, op: op, token: token()}, Call: began, Output: output, Return: ended,
	})
}

// String returns the operations in the order of their calls.
func (h *history) String() string {
	slices.SortFunc(h.operations, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	var lines []string
	for _, op := range h.operations {
		in := op.Input.(claimInput)
		lines = append(lines, fmt.Sprintf("\n%v to %v: try %d key %d %s %s: %v",
			time.Duration(op.Call), time.Duration(op.Return), op.ClientId, in.key, in.op, in.token, op.Output))
	}
	return strings.Join(lines, "")
}

// claimInput is the input of an operation on a key. The output of Begin is
// "Ticket", "Refused" or "Outcome <token>", that of the others "Ok" or "Error".
type claimInput struct {
	key       int
	op, token string
}

// claimModel is the sequential specification of the operations on one key. The
// state is "Free", "Held <token>", "Done <token>" or "Unknown".
var claimModel = (&porcupine.NondeterministicModel{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[int][]porcupine.Operation{}
		for _, op := range ops {
			key := op.Input.(claimInput).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{"Free"} },
	Step: func(state, input, output any) []any {
		return claimStep(state.(string), input.(claimInput), output.(string))
	},
}).ToModel()

// claimStep returns the possible next states, or none if the output is
// impossible in the given state.
func claimStep(state string, in claimInput, out string) []any {
	held := "Held " + in.token
	next := map[string]string{"Finish": "Done " + in.token, "NotRun": "Free", "Unknown": "Unknown"}
	switch {
	case in.op == "Begin" && out == "Ticket":
		if state == "Free" {
			return []any{held}
		}
		return nil
	case in.op == "Begin" && strings.HasPrefix(out, "Outcome "):
		if state == "Done "+strings.TrimPrefix(out, "Outcome ") {
			return []any{state}
		}
		return nil
	case in.op == "Begin":
		// The record of a refused claim can remain and block the key.
		if state == "Free" {
			return []any{state, "Unknown"}
		}
		return []any{state}
	case state == held && out == "Ok":
		return []any{next[in.op]}
	case state == held:
		return []any{state, next[in.op]}
	case out == "Ok":
		return nil
	}
	return []any{state}
}

// run executes the plan and returns the history and the violated invariants.
func (p plan) run(t *testing.T) (*history, string) {
	f := newFleet(t, p.instances)
	rng := rand.New(rand.NewPCG(p.seed, 2))
	f.store.loseResponse = func() (bool, time.Duration) {
		return rng.IntN(100) < p.lossPercent, time.Duration(rng.IntN(2)*rng.IntN(3000)) * time.Millisecond
	}
	if p.splitView {
		f.views[instanceName(0)] = []egretflow.InstanceName{instanceName(0)}
	}
	h := &history{runs: map[int]int{}, start: time.Now()}
	for _, e := range p.kills {
		time.AfterFunc(e.at, func() { f.kill(instanceName(e.instance)) })
	}
	for _, e := range p.outages {
		time.AfterFunc(e.at, func() { f.store.setOutage(true) })
		time.AfterFunc(e.at+e.length, func() { f.store.setOutage(false) })
	}
	for _, e := range p.responseLosses {
		time.AfterFunc(e.at, func() { f.setLosesResponses(instanceName(e.instance), true) })
		time.AfterFunc(e.at+e.length, func() { f.setLosesResponses(instanceName(e.instance), false) })
	}
	var done sync.WaitGroup
	for n, tr := range p.tries {
		done.Go(func() {
			time.Sleep(tr.at)
			f.runTry(h, n, tr)
		})
	}
	done.Wait()
	time.Sleep(time.Minute) // until after the last event of the plan
	f.stopAll()
	synctest.Wait()
	return h, f.checker.summary()
}

func (f *fleet) setLosesResponses(name egretflow.InstanceName, lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.losesResponses[name] = lost
}

// runTry executes one try: Begin, the pause, and the call that ends the ticket.
// A ticket that has expired by then is passed to MarkNotRun.
func (f *fleet) runTry(h *history, client int, tr try) {
	c := f.claimer(instanceName(tr.instance))
	alive := func() bool { return c.ctx.Err() == nil }
	key := keyAt(h.start, tr.key)
	if tr.key == 3 {
		key.Key = "plain"
	}
	var ticket *egretflow.ClaimTicket
	token := func() string {
		if ticket == nil {
			return ""
		}
		return ticket.Claim.Token
	}
	h.call(client, tr.key, "Begin", token, func() (string, bool) {
		got, outcome, err := c.Begin(context.Background(), key, time.Time{})
		switch {
		case err != nil:
			return "Refused", true
		case outcome != nil:
			return "Outcome " + string(outcome.Body), true
		}
		ticket = got
		return "Ticket", true
	})
	if ticket == nil {
		return
	}
	time.Sleep(tr.pause)
	// An instance that was killed does not run the request; its claim remains.
	if !alive() || tr.end == "Die" && tr.pause > 0 {
		return
	}
	late := time.Now().After(ticket.RunBy)
	end := tr.end
	if late {
		end = "NotRun"
	}
	if end != "NotRun" {
		h.mu.Lock()
		h.runs[tr.key]++
		h.mu.Unlock()
	}
	if end == "Die" {
		return
	}
	h.call(client, tr.key, end, token, func() (string, bool) {
		var err error
		switch end {
		case "Finish":
			err = c.Finish(context.Background(), ticket, createdOutcome(token()))
		case "NotRun":
			err = c.MarkNotRun(context.Background(), ticket)
		default:
			err = c.MarkUnknown(context.Background(), ticket)
		}
		if errors.Is(err, egretflow.ErrUncertain) || errors.Is(err, egretflow.ErrUnavailable) {
			return "Error", false
		}
		if err != nil {
			return "Error", true
		}
		return "Ok", true
	})
}

// Guards against a second run of a request and against results that are not
// linearizable, under random kills, pauses, store outages, lost responses of
// the store and of peers, and differing views of the members.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		var failure string
		synctest.Test(t, func(t *testing.T) {
			h, violations := p.run(t)
			for key, runs := range h.runs {
				if runs > 1 {
					failure = fmt.Sprintf("key %d ran %d times", key, runs)
				}
			}
			failure += violations
			if !porcupine.CheckOperations(claimModel, h.operations) {
				failure += " history is not linearizable: " + h.String()
			}
		})
		if failure != "" {
			rt.Fatalf("%s", failure)
		}
	})
}
