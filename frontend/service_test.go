package frontend_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/stub/fault"
	"github.com/egretflow/egretflow/internal/stub/service"
)

func order(key string) request {
	return request{path: "/orders/new?desk=3", header: map[string]string{"Idempotency-Key": key}, body: `{"item": "paper"}`}
}

// runs returns how often the services ran a key.
func (w *world) runs(key string) int {
	n := 0
	for _, s := range w.services {
		n += s.Stats().Executions[key]
	}
	return n
}

// TestServiceCall guards against parts of a call that are lost on the way.
func TestServiceCall(t *testing.T) {
	run(t, func(w *world) {
		resp := w.must(request{
			method: http.MethodPut, path: "/prices/a%2Fb/?x=1&y=%20", body: "some body",
			header: map[string]string{"Idempotency-Key": "price-1"},
		})
		var got service.Answer
		if err := json.Unmarshal(resp.body, &got); err != nil {
			w.t.Fatalf("status %d: %s", resp.StatusCode, resp.body)
		}
		want := service.Answer{
			Server: got.Server, Execution: 1, Method: http.MethodPut, Path: "/prices/a%2Fb/?x=1&y=%20", Key: "price-1",
			BodyHash: fmt.Sprintf("%016x", xxhash.Sum64String("some body")),
		}
		if got != want {
			w.t.Errorf("the service saw %+v, want %+v", got, want)
		}
		if state := resp.Header.Get("Egretflow-Run-State"); state != "Ran" {
			w.t.Errorf("run state is %q", state)
		}
	})
}

// TestFailedCall guards against an empty response with status 200 in the place
// of the rejection of a call that no server answers.
func TestFailedCall(t *testing.T) {
	for _, kind := range []fault.Kind{fault.Outage, fault.Stall} {
		t.Run(string(kind), func(t *testing.T) {
			run(t, func(w *world) {
				for _, s := range w.services {
					s.Faults.Add(fault.Fault{Kind: kind})
				}
				resp := w.must(request{path: "/prices/a"})
				if resp.StatusCode < http.StatusInternalServerError || resp.Header.Get("Egretflow-Run-State") != "MayHaveRun" {
					w.t.Errorf("status %d, run state %q", resp.StatusCode, resp.Header.Get("Egretflow-Run-State"))
				}
				for _, s := range w.services {
					s.Faults.Clear()
				}
			})
		})
	}
}

// TestIdempotentCall guards against lost calls when a server fails before the
// first byte.
func TestIdempotentCall(t *testing.T) {
	for name, fail := range map[string]func(w *world){
		"Gone":       func(w *world) { w.net.Cut(host(hostService, 1)) },
		"LostAnswer": func(w *world) { w.services["desk-1"].Faults.Add(fault.Fault{Kind: fault.LostAnswer, Count: 1}) },
		"Outage":     func(w *world) { w.services["desk-1"].Faults.Add(fault.Fault{Kind: fault.Outage}) },
		"Stall":      func(w *world) { w.services["desk-1"].Faults.Add(fault.Fault{Kind: fault.Stall}) },
		"Partition":  func(w *world) { w.net.Partition(host(hostService, 1), host(hostInstance, 1)) },
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(w *world) {
				fail(w)
				resp := w.must(request{path: "/prices/1"})
				if resp.StatusCode != http.StatusOK || resp.took > 6*time.Second {
					w.t.Errorf("status %d after %v: %s", resp.StatusCode, resp.took, resp.body)
				}
				var got service.Answer
				if err := json.Unmarshal(resp.body, &got); err != nil || got.Path != "/prices/1" {
					w.t.Errorf("response is %q, %v", resp.body, err)
				}
				w.services["desk-1"].Faults.Clear()
				w.net.Heal(host(hostService, 1), host(hostInstance, 1))
			})
		})
	}
}

// TestCallOnce guards against duplicate runs of non-idempotent work, and
// against a wrong statement about whether it ran (I4, I5).
func TestCallOnce(t *testing.T) {
	desk := host(hostService, 1)
	tests := []struct {
		name   string
		fail   func(w *world)
		status int
		state  string
		claim  egretflow.ClaimState
		runs   int
	}{
		{"Served", func(*world) {}, 200, "Ran", egretflow.ClaimStateDone, 1},
		{"ServerGone", func(w *world) { w.net.Cut(desk) }, 200, "Ran", egretflow.ClaimStateDone, 1},
		{"LostAnswer", func(w *world) {
			w.services["desk-1"].Faults.Add(fault.Fault{Kind: fault.LostAnswer, Count: 1})
		}, 502, "MayHaveRun", egretflow.ClaimStateUnknown, 1},
		{"CrashBeforeRun", func(w *world) { w.services["desk-1"].Faults.Add(fault.Fault{Kind: fault.Crash, Count: 1}) }, 502, "MayHaveRun", egretflow.ClaimStateUnknown, 0},
		{"AllGone", func(w *world) { w.net.Cut(desk); w.net.Cut(host(hostService, 2)) }, 503, "NotRun", egretflow.ClaimStateNotRun, 0},
		{"Refused", func(w *world) {
			w.instances[0].scheduler.refusal = &egretflow.Refusal{Status: 503, Reason: egretflow.RefusalOverload, RunState: egretflow.RunStateNotRun}
		}, 503, "NotRun", egretflow.ClaimStateNotRun, 0},
		{"StoreDown", func(w *world) { w.claimer.down = true }, 503, "NotRun", "", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(w *world) {
				tt.fail(w)
				resp := w.must(order("key-1"))
				if resp.StatusCode != tt.status || resp.Header.Get("Egretflow-Run-State") != tt.state {
					w.t.Errorf("status %d, run state %q, want %d and %s: %s", resp.StatusCode, resp.Header.Get("Egretflow-Run-State"), tt.status, tt.state, resp.body)
				}
				if got := w.claimer.state("key-1"); got != tt.claim {
					w.t.Errorf("claim is %q, want %q", got, tt.claim)
				}
				if got := w.runs("key-1"); got != tt.runs {
					w.t.Errorf("the order ran %d times, want %d", got, tt.runs)
				}
			})
		})
	}
}

// TestRetryOfCaller guards against a second run for a caller that repeats its
// request, at any instance.
func TestRetryOfCaller(t *testing.T) {
	run(t, func(w *world) {
		first := w.must(order("key-1"))
		again := order("key-1")
		again.instance = 2
		if second := w.must(again); string(second.body) != string(first.body) || w.runs("key-1") != 1 {
			w.t.Errorf("the retry got %s, want %s; %d runs", second.body, first.body, w.runs("key-1"))
		}
	})
}

// TestCallerLeaves guards against an order whose outcome is lost because its
// caller disconnects (7.3).
func TestCallerLeaves(t *testing.T) {
	run(t, func(w *world) {
		w.services["desk-1"].Faults.Add(fault.Fault{Kind: fault.Slow, Factor: 100})
		ctx, cancel := context.WithTimeout(w.t.Context(), 200*time.Millisecond)
		defer cancel()
		if resp, err := w.do(ctx, order("key-1")); err == nil {
			w.t.Fatalf("status %d", resp.StatusCode)
		}
		time.Sleep(2 * time.Second)
		if state := w.claimer.state("key-1"); state != egretflow.ClaimStateDone || w.runs("key-1") != 1 {
			w.t.Errorf("claim is %q after %d runs", state, w.runs("key-1"))
		}
		if resp := w.must(order("key-1")); !strings.Contains(string(resp.body), `"Execution":1`) {
			w.t.Errorf("the retry got %s", resp.body)
		}
	})
}

// TestOnceOnBrokenConnection guards against the repeat by net/http of a request
// with an Idempotency-Key when a reused connection breaks.
func TestOnceOnBrokenConnection(t *testing.T) {
	run(t, func(w *world) {
		for n := range 20 {
			key := fmt.Sprintf("key-%d", n)
			for _, s := range w.services {
				s.Faults.Clear()
				if n%2 == 1 {
					s.Faults.Add(fault.Fault{Kind: fault.LostAnswer, Count: 1})
				}
			}
			w.must(request{path: "/prices/1"})
			bodyless := order(key)
			bodyless.body = ""
			w.must(bodyless)
			if runs := w.runs(key); runs > 1 {
				w.t.Errorf("order %s ran %d times", key, runs)
			}
		}
	})
}

// TestHedgedCall guards against a straggler that delays idempotent calls, and
// against a hedge of calls that must run once (5.4).
func TestHedgedCall(t *testing.T) {
	for path, hedges := range map[string]int{"/prices/1": 1, "/orders": 0} {
		t.Run(path, func(t *testing.T) {
			run(t, func(w *world) {
				w.instances[0].scheduler.hedges = true
				w.services["desk-1"].Faults.Add(fault.Fault{Kind: fault.Slow, Factor: 200})
				r := order("key-1")
				r.path = path
				resp := w.must(r)
				if resp.StatusCode != http.StatusOK || len(resp.body) == 0 {
					w.t.Errorf("status %d: %s", resp.StatusCode, resp.body)
				}
				if fast := resp.took < time.Second; fast != (hedges > 0) || w.instances[0].scheduler.hedged != hedges {
					w.t.Errorf("answer after %v with %d hedges, want %d", resp.took, w.instances[0].scheduler.hedged, hedges)
				}
			})
		})
	}
}
