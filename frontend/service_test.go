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

// executions returns how often the services ran requests with this idempotency key.
func (env *testEnv) executions(key string) int {
	n := 0
	for _, s := range env.services {
		n += s.Stats().Executions[key]
	}
	return n
}

// TestServiceCall guards against calls that reach the service with a changed method,
// path, query, key or body.
func TestServiceCall(t *testing.T) {
	run(t, func(env *testEnv) {
		resp := env.mustDo(request{
			method: http.MethodPut, path: "/prices/a%2Fb/?x=1&y=%20", body: "some body",
			header: map[string]string{"Idempotency-Key": "price-1"},
		})
		var got service.Answer
		if err := json.Unmarshal(resp.body, &got); err != nil {
			env.t.Fatalf("status %d: %s", resp.StatusCode, resp.body)
		}
		want := service.Answer{
			Server: got.Server, Execution: 1, Method: http.MethodPut, Path: "/prices/a%2Fb/?x=1&y=%20", Key: "price-1",
			BodyHash: fmt.Sprintf("%016x", xxhash.Sum64String("some body")),
		}
		if got != want {
			env.t.Errorf("the service saw %+v, want %+v", got, want)
		}
		if state := resp.Header.Get("Egretflow-Run-State"); state != "Ran" {
			env.t.Errorf("run state is %q", state)
		}
	})
}

// TestFailedCall guards against an empty response with status 200, instead of a
// refusal, to a call that no server answers.
func TestFailedCall(t *testing.T) {
	for _, kind := range []fault.Kind{fault.Outage, fault.Stall} {
		t.Run(string(kind), func(t *testing.T) {
			run(t, func(env *testEnv) {
				for _, s := range env.services {
					s.Faults.Add(fault.Fault{Kind: kind})
				}
				resp := env.mustDo(request{path: "/prices/a"})
				if resp.StatusCode < http.StatusInternalServerError || resp.Header.Get("Egretflow-Run-State") != "MayHaveRun" {
					env.t.Errorf("status %d, run state %q", resp.StatusCode, resp.Header.Get("Egretflow-Run-State"))
				}
				for _, s := range env.services {
					s.Faults.Clear()
				}
			})
		})
	}
}

// TestIdempotentCall guards against idempotent calls that fail because a server
// fails before the first byte of its answer.
func TestIdempotentCall(t *testing.T) {
	for name, fail := range map[string]func(env *testEnv){
		"Gone":       func(env *testEnv) { env.net.Cut(host(hostService, 1)) },
		"LostAnswer": func(env *testEnv) { env.services["desk-1"].Faults.Add(fault.Fault{Kind: fault.LostAnswer, Count: 1}) },
		"Outage":     func(env *testEnv) { env.services["desk-1"].Faults.Add(fault.Fault{Kind: fault.Outage}) },
		"Stall":      func(env *testEnv) { env.services["desk-1"].Faults.Add(fault.Fault{Kind: fault.Stall}) },
		"Partition":  func(env *testEnv) { env.net.Partition(host(hostService, 1), host(hostInstance, 1)) },
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(env *testEnv) {
				fail(env)
				resp := env.mustDo(request{path: "/prices/1"})
				if resp.StatusCode != http.StatusOK || resp.took > 6*time.Second {
					env.t.Errorf("status %d after %v: %s", resp.StatusCode, resp.took, resp.body)
				}
				var got service.Answer
				if err := json.Unmarshal(resp.body, &got); err != nil || got.Path != "/prices/1" {
					env.t.Errorf("response is %q, %v", resp.body, err)
				}
				env.services["desk-1"].Faults.Clear()
				env.net.Heal(host(hostService, 1), host(hostInstance, 1))
			})
		})
	}
}

// TestNonIdempotentCallRunsOnce guards against a non-idempotent call that runs
// twice after a failure, and against a wrong run state in the answer (I4, I5).
func TestNonIdempotentCallRunsOnce(t *testing.T) {
	desk := host(hostService, 1)
	tests := []struct {
		name   string
		fail   func(env *testEnv)
		status int
		state  string
		claim  egretflow.ClaimState
		runs   int
	}{
		{"Served", func(*testEnv) {}, 200, "Ran", egretflow.ClaimStateDone, 1},
		{"ServerGone", func(env *testEnv) { env.net.Cut(desk) }, 200, "Ran", egretflow.ClaimStateDone, 1},
		{"LostAnswer", func(env *testEnv) {
			env.services["desk-1"].Faults.Add(fault.Fault{Kind: fault.LostAnswer, Count: 1})
		}, 502, "MayHaveRun", egretflow.ClaimStateUnknown, 1},
		{"CrashBeforeRun", func(env *testEnv) { env.services["desk-1"].Faults.Add(fault.Fault{Kind: fault.Crash, Count: 1}) }, 502, "MayHaveRun", egretflow.ClaimStateUnknown, 0},
		{"AllGone", func(env *testEnv) { env.net.Cut(desk); env.net.Cut(host(hostService, 2)) }, 503, "NotRun", egretflow.ClaimStateNotRun, 0},
		{"Refused", func(env *testEnv) {
			env.instances[0].scheduler.refusal = &egretflow.Refusal{Status: 503, Reason: egretflow.RefusalOverload, RunState: egretflow.RunStateNotRun}
		}, 503, "NotRun", egretflow.ClaimStateNotRun, 0},
		{"StoreDown", func(env *testEnv) { env.claimer.unavailable = true }, 503, "NotRun", "", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(env *testEnv) {
				tt.fail(env)
				resp := env.mustDo(order("key-1"))
				if resp.StatusCode != tt.status || resp.Header.Get("Egretflow-Run-State") != tt.state {
					env.t.Errorf("status %d, run state %q, want %d and %s: %s", resp.StatusCode, resp.Header.Get("Egretflow-Run-State"), tt.status, tt.state, resp.body)
				}
				if got := env.claimer.state("key-1"); got != tt.claim {
					env.t.Errorf("claim is %q, want %q", got, tt.claim)
				}
				if got := env.executions("key-1"); got != tt.runs {
					env.t.Errorf("the order ran %d times, want %d", got, tt.runs)
				}
			})
		})
	}
}

// TestCallerRetryRunsOnce guards against a second run when the caller repeats its
// request on another instance.
func TestCallerRetryRunsOnce(t *testing.T) {
	run(t, func(env *testEnv) {
		first := env.mustDo(order("key-1"))
		again := order("key-1")
		again.instance = 2
		if second := env.mustDo(again); string(second.body) != string(first.body) || env.executions("key-1") != 1 {
			env.t.Errorf("the retry got %s, want %s; %d runs", second.body, first.body, env.executions("key-1"))
		}
	})
}

// TestCallerDisconnect guards against a non-idempotent call whose outcome is not
// recorded because its caller disconnects before the answer (7.3).
func TestCallerDisconnect(t *testing.T) {
	run(t, func(env *testEnv) {
		env.services["desk-1"].Faults.Add(fault.Fault{Kind: fault.Slow, Factor: 100})
		ctx, cancel := context.WithTimeout(env.t.Context(), 200*time.Millisecond)
		defer cancel()
		if resp, err := env.do(ctx, order("key-1")); err == nil {
			env.t.Fatalf("status %d", resp.StatusCode)
		}
		time.Sleep(2 * time.Second)
		if state := env.claimer.state("key-1"); state != egretflow.ClaimStateDone || env.executions("key-1") != 1 {
			env.t.Errorf("claim is %q after %d runs", state, env.executions("key-1"))
		}
		if resp := env.mustDo(order("key-1")); !strings.Contains(string(resp.body), `"Execution":1`) {
			env.t.Errorf("the retry got %s", resp.body)
		}
	})
}

// TestNoRepeatOnBrokenConnection guards against a second run by net/http, which
// repeats a request with an Idempotency-Key when a reused connection breaks.
func TestNoRepeatOnBrokenConnection(t *testing.T) {
	run(t, func(env *testEnv) {
		for n := range 20 {
			key := fmt.Sprintf("key-%d", n)
			for _, s := range env.services {
				s.Faults.Clear()
				if n%2 == 1 {
					s.Faults.Add(fault.Fault{Kind: fault.LostAnswer, Count: 1})
				}
			}
			env.mustDo(request{path: "/prices/1"})
			bodyless := order(key)
			bodyless.body = ""
			env.mustDo(bodyless)
			if runs := env.executions(key); runs > 1 {
				env.t.Errorf("order %s ran %d times", key, runs)
			}
		}
	})
}

// TestHedgedCall guards against idempotent calls that wait for a slow server
// instead of being hedged, and against hedging calls that must run at most
// once (5.4).
func TestHedgedCall(t *testing.T) {
	for path, hedges := range map[string]int{"/prices/1": 1, "/orders": 0} {
		t.Run(path, func(t *testing.T) {
			run(t, func(env *testEnv) {
				env.instances[0].scheduler.grantHedges = true
				env.services["desk-1"].Faults.Add(fault.Fault{Kind: fault.Slow, Factor: 200})
				r := order("key-1")
				r.path = path
				resp := env.mustDo(r)
				if resp.StatusCode != http.StatusOK || len(resp.body) == 0 {
					env.t.Errorf("status %d: %s", resp.StatusCode, resp.body)
				}
				if fast := resp.took < time.Second; fast != (hedges > 0) || env.instances[0].scheduler.hedgesGranted != hedges {
					env.t.Errorf("answer after %v with %d hedges, want %d", resp.took, env.instances[0].scheduler.hedgesGranted, hedges)
				}
			})
		})
	}
}
