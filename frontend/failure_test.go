package frontend_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/stub/fault"
)

// midStream is the time after its start at which a 30-token answer is in progress.
const midStream = 400 * time.Millisecond

// TestDecodeFailures guards against answers that are incomplete, repeated or
// changed because the decode server or its connection fails during the answer
// (4.8, 4.9).
func TestDecodeFailures(t *testing.T) {
	decode := host(hostDecode, 1)
	tests := []struct {
		name string
		fail func(env *testEnv)
		// sameServer is true if the answer must continue on the same server.
		sameServer bool
		observed   egretflow.ObservationKind
		within     time.Duration
	}{
		{"ServerDies", func(env *testEnv) { env.net.Cut(decode) }, false, egretflow.ObservationCrashed, 2 * time.Second},
		{"ServerRestarts", func(env *testEnv) {
			env.net.Cut(decode)
			env.net.Restore(decode)
			env.engines["decode-1"].Faults.Add(fault.Fault{Kind: fault.Crash, Count: 1})
		}, false, egretflow.ObservationCrashed, 2 * time.Second},
		{"ConnectionResets", func(env *testEnv) { env.net.Reset(decode) }, true, "", 1500 * time.Millisecond},
		{"ConnectionStalls", func(env *testEnv) { env.net.Silence(decode) }, true, "", 2 * time.Second},
		{"ServerUnreachable", func(env *testEnv) { env.net.Partition(decode, host(hostInstance, 1)) }, false, egretflow.ObservationSilent, 5 * time.Second},
		{"ServerStalls", func(env *testEnv) { env.engines["decode-1"].Faults.Add(fault.Fault{Kind: fault.Stall}) }, false, egretflow.ObservationSilent, 5 * time.Second},
		{"ServerSlow", func(env *testEnv) { env.engines["decode-1"].Faults.Add(fault.Fault{Kind: fault.Slow, Factor: 25}) }, true, "", 20 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(env *testEnv) {
				t := env.t
				done := env.start(chat(30, true))
				time.Sleep(midStream)
				tt.fail(env)
				resp := <-done
				env.checkComplete(resp, 30)
				if resp.took > tt.within {
					t.Errorf("answer took %v, want at most %v", resp.took, tt.within)
				}
				i := env.instances[0]
				if sameServer := i.scheduler.acquired == 1; sameServer != tt.sameServer {
					t.Errorf("%d attempts were made; same server: %v, want %v", i.scheduler.acquired, sameServer, tt.sameServer)
				}
				if tt.observed != "" && !i.scheduler.hasObserved(tt.observed, "decode-1") {
					t.Errorf("%s of decode-1 was not observed: %v", tt.observed, i.scheduler.observed)
				}
				env.engines["decode-1"].Faults.Clear()
				env.net.Heal(decode, host(hostInstance, 1))
				env.checkFreed()
			})
		})
	}
}

// TestAbortAfterOutage guards against memory that an engine holds for a request
// which has continued elsewhere: its old connection went silent, so the engine
// cannot see that it ended, and the engine refuses aborts for longer than
// requests are retried (4.10, I1).
func TestAbortAfterOutage(t *testing.T) {
	run(t, func(env *testEnv) {
		const outage = 8 * time.Second
		ctx, cancel := context.WithCancel(env.t.Context())
		defer cancel()
		go func() { _, _ = env.do(ctx, chat(5000, true)) }()
		time.Sleep(midStream)
		env.net.Silence(host(hostDecode, 1))
		env.engines["decode-1"].Faults.Add(fault.Fault{Kind: fault.Outage, Until: time.Now().Add(outage)})
		time.Sleep(outage)
		cancel()
		env.checkFreed()
	})
}

// TestPlainAnswerContinues guards against a plain answer without the text from
// before the failure of its decode server.
func TestPlainAnswerContinues(t *testing.T) {
	run(t, func(env *testEnv) {
		t := env.t
		done := env.start(chat(30, false))
		time.Sleep(midStream)
		env.net.Cut(host(hostDecode, 1))
		if resp := <-done; !strings.Contains(string(resp.body), wantText(30)) {
			t.Errorf("answer is %s", resp.body)
		}
		env.checkFreed()
	})
}

// TestPrefillFailures guards against requests that fail because their prefill
// server fails. The request keeps its slot on the decode server (section 13).
func TestPrefillFailures(t *testing.T) {
	prefill := host(hostPrefill, 1)
	tests := []struct {
		name string
		// before is called before the request is sent, and during 20 ms after,
		// while its prefill runs.
		before, during func(env *testEnv)
		observed       egretflow.ObservationKind
		within         time.Duration
	}{
		{"Gone", func(env *testEnv) { env.net.Cut(prefill) }, nil, egretflow.ObservationCrashed, 1500 * time.Millisecond},
		{"Dies", nil, func(env *testEnv) { env.net.Cut(prefill) }, egretflow.ObservationCrashed, 1500 * time.Millisecond},
		{"LosesAnswer", nil, func(env *testEnv) { env.net.Reset(prefill) }, egretflow.ObservationFailed, 1500 * time.Millisecond},
		{"Silent", nil, func(env *testEnv) { env.net.Silence(prefill) }, egretflow.ObservationSilent, 2 * time.Second},
		{"Stalls", func(env *testEnv) { env.engines["prefill-1"].Faults.Add(fault.Fault{Kind: fault.Stall}) }, nil, egretflow.ObservationSilent, 2 * time.Second},
		{"Unreachable", func(env *testEnv) { env.net.Partition(prefill, host(hostInstance, 1)) }, nil, "", 3 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(env *testEnv) {
				t := env.t
				if tt.before != nil {
					tt.before(env)
				}
				done := env.start(chat(10, true))
				time.Sleep(20 * time.Millisecond)
				if tt.during != nil {
					tt.during(env)
				}
				resp := <-done
				env.checkComplete(resp, 10)
				if resp.took > tt.within {
					t.Errorf("answer took %v, want at most %v", resp.took, tt.within)
				}
				i := env.instances[0]
				if i.scheduler.acquired != 1 {
					t.Errorf("%d attempts were made, want 1 with another prefill server", i.scheduler.acquired)
				}
				if tt.observed != "" && !i.scheduler.hasObserved(tt.observed, "prefill-1") {
					t.Errorf("%s of prefill-1 was not observed: %v", tt.observed, i.scheduler.observed)
				}
				env.engines["prefill-1"].Faults.Clear()
				env.net.Heal(prefill, host(hostInstance, 1))
				env.checkFreed()
			})
		})
	}
}

// TestExpiredPrefill guards against a request that fails because its decode server
// fetches the KV cache after the prefill server has dropped it.
func TestExpiredPrefill(t *testing.T) {
	run(t, func(env *testEnv) {
		// The decode request arrives after the prefill result has expired.
		env.net.SetDelay(host(hostInstance, 1), host(hostDecode, 1), time.Second)
		done := env.start(chat(10, true))
		time.Sleep(1200 * time.Millisecond)
		env.net.SetDelay(host(hostInstance, 1), host(hostDecode, 1), 0)
		env.checkComplete(<-done, 10)
		env.checkFreed()
	})
}

// TestStalledTransfer guards against a request that waits forever for a KV
// transfer, because its prefill and decode servers cannot reach each other (section
// 13).
func TestStalledTransfer(t *testing.T) {
	run(t, func(env *testEnv) {
		t := env.t
		env.net.Partition(host(hostPrefill, 1), host(hostDecode, 1))
		resp := env.mustDo(chat(10, true))
		env.checkComplete(resp, 10)
		if resp.took > 4*time.Second {
			t.Errorf("answer took %v, want at most 4s", resp.took)
		}
		env.net.Heal(host(hostPrefill, 1), host(hostDecode, 1))
		env.checkFreed()
	})
}

// TestLostDecodeRequest guards against a decode server that counts as crashed, and
// a request that counts as the cause (5.6), because the request was lost on its way
// to the server.
func TestLostDecodeRequest(t *testing.T) {
	run(t, func(env *testEnv) {
		env.net.SetDelay(host(hostInstance, 1), host(hostDecode, 1), 50*time.Millisecond)
		done := env.start(chat(10, true))
		scheduler := env.instances[0].scheduler
		// Both ends of the connections to the caller and to decode-1 are open.
		for !scheduler.hasObserved(egretflow.ObservationPrefillDone, "prefill-1") || env.net.OpenConns() < 4 {
			time.Sleep(time.Millisecond)
		}
		env.net.Silence(host(hostDecode, 1))
		env.checkComplete(<-done, 10)
		if scheduler.hasObserved(egretflow.ObservationCrashed, "decode-1") {
			env.t.Error("a crash of decode-1 was observed")
		}
		if got := env.engines["decode-1"].Stats().Requests; got != 0 {
			env.t.Errorf("decode-1 got %d requests, so none was lost", got)
		}
		env.checkFreed()
	})
}

// TestAllServersLost guards against the run state NotRun for a request that may
// have run, and the opposite, when all servers of the pool fail (I4).
func TestAllServersLost(t *testing.T) {
	for name, tt := range map[string]struct {
		delay time.Duration
		want  string
	}{
		"BeforeStart": {0, `"run_state":"NotRun"`},
		"InPrefill":   {20 * time.Millisecond, `"run_state":"MayHaveRun"`},
		"InAnswer":    {midStream, `"run_state":"Ran"`},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(env *testEnv) {
				t := env.t
				var done <-chan *response
				if tt.delay > 0 {
					done = env.start(chat(30, true))
					time.Sleep(tt.delay)
				}
				for n := 1; n <= 2; n++ {
					env.net.Cut(host(hostPrefill, n))
					env.net.Cut(host(hostDecode, n))
				}
				if tt.delay == 0 {
					done = env.start(chat(30, true))
				}
				resp := <-done
				if !strings.Contains(string(resp.body), tt.want) || strings.Contains(string(resp.body), "[DONE]") {
					t.Errorf("body is %s, want it to contain %s", resp.body, tt.want)
				}
				env.checkFreed()
			})
		})
	}
}

// TestCancel guards against slots and memory that stay allocated to a request
// whose caller has disconnected, at any stage (4.10, I1).
func TestCancel(t *testing.T) {
	for _, after := range []time.Duration{0, time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond, 120 * time.Millisecond, 200 * time.Millisecond, midStream} {
		t.Run(after.String(), func(t *testing.T) {
			run(t, func(env *testEnv) {
				t := env.t
				ctx, cancel := context.WithTimeout(t.Context(), after)
				defer cancel()
				if resp, err := env.do(ctx, chat(1000, true)); err == nil && !resp.truncated {
					t.Errorf("request was not cancelled: %s", resp.body)
				}
				time.Sleep(200 * time.Millisecond)
				for name, e := range env.engines {
					if s := e.Stats(); s.SlotsInUse != 0 || s.BlocksInUse != 0 {
						t.Errorf("engine %s holds %d slots and %d blocks 200 ms after the cancellation", name, s.SlotsInUse, s.BlocksInUse)
					}
				}
				env.checkFreed()
			})
		})
	}
}

// TestHedgedRequest guards against a hedged request whose slower attempt is not
// cancelled, and against a second answer to the caller (I1, I2).
func TestHedgedRequest(t *testing.T) {
	for _, slow := range []egretflow.ServerName{"prefill-1", "decode-1"} {
		t.Run(string(slow), func(t *testing.T) {
			run(t, func(env *testEnv) {
				t := env.t
				scheduler := env.instances[0].scheduler
				scheduler.grantHedges = true
				env.engines[slow].Faults.Add(fault.Fault{Kind: fault.Slow, Factor: 50})
				resp := env.mustDo(chat(10, true))
				env.checkComplete(resp, 10)
				if scheduler.hedgesGranted != 1 || resp.took > time.Second {
					t.Errorf("%d hedges, answer after %v", scheduler.hedgesGranted, resp.took)
				}
				env.engines[slow].Faults.Clear()
				env.checkFreed()
			})
		})
	}
}
