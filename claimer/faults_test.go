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

// TestMain fixes the seed of rapid, so that every run checks the same cases.
// Flags on the command line override it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20260704", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// plan is one random course of events.
type plan struct {
	seed      uint64
	instances int
	tries     []try
	kills     []event
	outages   []event
	cuts      []event
	// lossPercent is the part of the writes whose answer is lost, half of them
	// with a late effect.
	lossPercent int
	splitView   bool
}

type event struct {
	at, length time.Duration
	instance   int
}

// try is one try of a caller at one instance.
type try struct {
	key, instance int
	at            time.Duration
	// pause is the time between the ticket and the check of RunBy.
	pause time.Duration
	// end is Finish, Unknown, NotRun or Die.
	end string
}

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
	p.kills, p.outages, p.cuts = draw("kills"), draw("outages"), draw("cuts")
	return p
}

// history is what the callers of a plan saw.
type history struct {
	mu         sync.Mutex
	operations []porcupine.Operation
	runs       map[int]int
	start      time.Time
	unended    int64
}

// call runs one operation and records it. An operation whose answer nobody saw
// may take effect at any later time.
func (h *history) call(client, key int, op string, token func() string, do func() (string, bool)) {
	began := time.Since(h.start).Nanoseconds()
	output, seen := do()
	ended := time.Since(h.start).Nanoseconds()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !seen {
		h.unended++
		ended = int64(1<<62) + h.unended
	}
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: claimInput{key: key, op: op, token: token()}, Call: began, Output: output, Return: ended,
	})
}

// String lists the operations in the order of their calls.
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

// claimInput and an output of the form "Ticket", "Refused" or "Outcome <token>"
// describe an operation on a key.
type claimInput struct {
	key       int
	op, token string
}

// claimModel says which answers a single copy of the records could give. The
// state is Free, "Held <token>", "Done <token>" or Unknown.
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
		// A refused claim can stay behind, which blocks the key.
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

// run carries out the plan and returns the history.
func (p plan) run(t *testing.T) (*history, string) {
	f := newFleet(t, p.instances)
	rng := rand.New(rand.NewPCG(p.seed, 2))
	f.store.lose = func() (bool, time.Duration) {
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
	for _, e := range p.cuts {
		time.AfterFunc(e.at, func() { f.setCut(instanceName(e.instance), true) })
		time.AfterFunc(e.at+e.length, func() { f.setCut(instanceName(e.instance), false) })
	}
	var done sync.WaitGroup
	for n, tr := range p.tries {
		done.Go(func() {
			time.Sleep(tr.at)
			f.try(h, n, tr)
		})
	}
	done.Wait()
	time.Sleep(time.Minute) // until the last event of the plan
	f.stopAll()
	synctest.Wait()
	return h, f.checker.violated()
}

func (f *fleet) setCut(name egretflow.InstanceName, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[name] = cut
}

// try is what a caller and the instance that it reached do.
func (f *fleet) try(h *history, client int, tr try) {
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
	// A dead instance runs nothing; its claim stays.
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
			err = c.Finish(context.Background(), ticket, ordered(token()))
		case "NotRun":
			err = c.NotRun(context.Background(), ticket)
		default:
			err = c.Unknown(context.Background(), ticket)
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

// No course of deaths, pauses, outages, lost answers and cut connections may
// run a request twice, and the answers must be those of a single copy of the
// records.
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
