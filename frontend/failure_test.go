package frontend_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/stub/fault"
)

// midStream is a time at which a 30-token answer of the world has begun.
const midStream = 400 * time.Millisecond

// TestDecodeFailures guards against answers that are cut, repeated or changed
// when the decode server or its connection fails during the answer (4.8, 4.9).
func TestDecodeFailures(t *testing.T) {
	decode := host(hostDecode, 1)
	tests := []struct {
		name string
		fail func(w *world)
		// same says that the answer continues on the same server.
		same     bool
		observed egretflow.ObservationKind
		within   time.Duration
	}{
		{"ServerDies", func(w *world) { w.net.Cut(decode) }, false, egretflow.ObservationCrashed, 2 * time.Second},
		{"ServerRestarts", func(w *world) {
			w.net.Cut(decode)
			w.net.Restore(decode)
			w.engines["decode-1"].Faults.Add(fault.Fault{Kind: fault.Crash, Count: 1})
		}, false, egretflow.ObservationCrashed, 2 * time.Second},
		{"ConnectionResets", func(w *world) { w.net.Reset(decode) }, true, "", 1500 * time.Millisecond},
		{"ConnectionStalls", func(w *world) { w.net.Silence(decode) }, true, "", 2 * time.Second},
		{"ServerUnreachable", func(w *world) { w.net.Partition(decode, host(hostInstance, 1)) }, false, egretflow.ObservationSilent, 5 * time.Second},
		{"ServerStalls", func(w *world) { w.engines["decode-1"].Faults.Add(fault.Fault{Kind: fault.Stall}) }, false, egretflow.ObservationSilent, 5 * time.Second},
		{"ServerSlow", func(w *world) { w.engines["decode-1"].Faults.Add(fault.Fault{Kind: fault.Slow, Factor: 25}) }, true, "", 20 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(w *world) {
				t := w.t
				done := w.start(chat(30, true))
				time.Sleep(midStream)
				tt.fail(w)
				resp := <-done
				w.checkWhole(resp, 30)
				if resp.took > tt.within {
					t.Errorf("answer took %v, want at most %v", resp.took, tt.within)
				}
				i := w.instances[0]
				if same := i.scheduler.acquired == 1; same != tt.same {
					t.Errorf("%d attempts were made; same server: %v, want %v", i.scheduler.acquired, same, tt.same)
				}
				if tt.observed != "" && !i.scheduler.saw(tt.observed, "decode-1") {
					t.Errorf("%s of decode-1 was not observed: %v", tt.observed, i.scheduler.observed)
				}
				w.engines["decode-1"].Faults.Clear()
				w.net.Heal(decode, host(hostInstance, 1))
				w.checkFreed()
			})
		})
	}
}

// TestPlainAnswerContinues guards against a plain answer that lacks the part
// from before the failure.
func TestPlainAnswerContinues(t *testing.T) {
	run(t, func(w *world) {
		t := w.t
		done := w.start(chat(30, false))
		time.Sleep(midStream)
		w.net.Cut(host(hostDecode, 1))
		if resp := <-done; !strings.Contains(string(resp.body), wantText(30)) {
			t.Errorf("answer is %s", resp.body)
		}
		w.checkFreed()
	})
}

// TestPrefillFailures guards against requests that are lost with their prefill
// server. The decode place is kept (section 13).
func TestPrefillFailures(t *testing.T) {
	prefill := host(hostPrefill, 1)
	tests := []struct {
		name string
		// before and during are applied before the request, and 20 ms into its
		// prefill.
		before, during func(w *world)
		observed       egretflow.ObservationKind
		within         time.Duration
	}{
		{"Gone", func(w *world) { w.net.Cut(prefill) }, nil, egretflow.ObservationCrashed, 1500 * time.Millisecond},
		{"Dies", nil, func(w *world) { w.net.Cut(prefill) }, egretflow.ObservationCrashed, 1500 * time.Millisecond},
		{"LosesAnswer", nil, func(w *world) { w.net.Reset(prefill) }, egretflow.ObservationFailed, 1500 * time.Millisecond},
		{"Silent", nil, func(w *world) { w.net.Silence(prefill) }, egretflow.ObservationSilent, 2 * time.Second},
		{"Stalls", func(w *world) { w.engines["prefill-1"].Faults.Add(fault.Fault{Kind: fault.Stall}) }, nil, egretflow.ObservationSilent, 2 * time.Second},
		{"Unreachable", func(w *world) { w.net.Partition(prefill, host(hostInstance, 1)) }, nil, "", 3 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(w *world) {
				t := w.t
				if tt.before != nil {
					tt.before(w)
				}
				done := w.start(chat(10, true))
				time.Sleep(20 * time.Millisecond)
				if tt.during != nil {
					tt.during(w)
				}
				resp := <-done
				w.checkWhole(resp, 10)
				if resp.took > tt.within {
					t.Errorf("answer took %v, want at most %v", resp.took, tt.within)
				}
				i := w.instances[0]
				if i.scheduler.acquired != 1 {
					t.Errorf("%d attempts were made, want 1 with another prefill server", i.scheduler.acquired)
				}
				if tt.observed != "" && !i.scheduler.saw(tt.observed, "prefill-1") {
					t.Errorf("%s of prefill-1 was not observed: %v", tt.observed, i.scheduler.observed)
				}
				w.engines["prefill-1"].Faults.Clear()
				w.net.Heal(prefill, host(hostInstance, 1))
				w.checkFreed()
			})
		})
	}
}

// TestExpiredPrefill guards against a request that fails because the decode
// server fetched the KV cache too late.
func TestExpiredPrefill(t *testing.T) {
	run(t, func(w *world) {
		// The way of the decode request takes longer than the result is kept.
		w.net.SetDelay(host(hostInstance, 1), host(hostDecode, 1), time.Second)
		done := w.start(chat(10, true))
		time.Sleep(1200 * time.Millisecond)
		w.net.SetDelay(host(hostInstance, 1), host(hostDecode, 1), 0)
		w.checkWhole(<-done, 10)
		w.checkFreed()
	})
}

// TestStalledTransfer guards against a request that waits for a KV transfer that
// never ends (section 13).
func TestStalledTransfer(t *testing.T) {
	run(t, func(w *world) {
		t := w.t
		w.net.Partition(host(hostPrefill, 1), host(hostDecode, 1))
		resp := w.must(chat(10, true))
		w.checkWhole(resp, 10)
		if resp.took > 4*time.Second {
			t.Errorf("answer took %v, want at most 4s", resp.took)
		}
		w.net.Heal(host(hostPrefill, 1), host(hostDecode, 1))
		w.checkFreed()
	})
}

// TestLostDecodeRequest guards against a server that is taken for crashed, and
// its request for the cause (5.6), because a request to it was lost on the way.
func TestLostDecodeRequest(t *testing.T) {
	run(t, func(w *world) {
		w.net.SetDelay(host(hostInstance, 1), host(hostDecode, 1), 50*time.Millisecond)
		done := w.start(chat(10, true))
		for w.net.OpenConns() < 6 {
			time.Sleep(time.Millisecond)
		}
		w.net.Silence(host(hostDecode, 1))
		w.checkWhole(<-done, 10)
		if i := w.instances[0]; i.scheduler.saw(egretflow.ObservationCrashed, "decode-1") {
			w.t.Error("a crash of decode-1 was observed")
		}
		if got := w.engines["decode-1"].Stats().Requests; got != 0 {
			w.t.Errorf("decode-1 got %d requests, so none was lost", got)
		}
		w.checkFreed()
	})
}

// TestNoServerLeft guards against a claim of NotRun for work that ran, and
// against the opposite (I4).
func TestNoServerLeft(t *testing.T) {
	for name, tt := range map[string]struct {
		delay time.Duration
		want  string
	}{
		"BeforeStart": {0, `"run_state":"NotRun"`},
		"InPrefill":   {20 * time.Millisecond, `"run_state":"MayHaveRun"`},
		"InAnswer":    {midStream, `"run_state":"Ran"`},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(w *world) {
				t := w.t
				var done <-chan *response
				if tt.delay > 0 {
					done = w.start(chat(30, true))
					time.Sleep(tt.delay)
				}
				for n := 1; n <= 2; n++ {
					w.net.Cut(host(hostPrefill, n))
					w.net.Cut(host(hostDecode, n))
				}
				if tt.delay == 0 {
					done = w.start(chat(30, true))
				}
				resp := <-done
				if !strings.Contains(string(resp.body), tt.want) || strings.Contains(string(resp.body), "[DONE]") {
					t.Errorf("body is %s, want it to contain %s", resp.body, tt.want)
				}
				w.checkFreed()
			})
		})
	}
}

// TestCancel guards against slots and memory that stay allocated to a request
// whose caller is gone, at any stage (4.10, I1).
func TestCancel(t *testing.T) {
	for _, after := range []time.Duration{0, time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond, 120 * time.Millisecond, 200 * time.Millisecond, midStream} {
		t.Run(after.String(), func(t *testing.T) {
			run(t, func(w *world) {
				t := w.t
				ctx, cancel := context.WithTimeout(t.Context(), after)
				defer cancel()
				if resp, err := w.do(ctx, chat(1000, true)); err == nil && !resp.cut {
					t.Errorf("request was not cancelled: %s", resp.body)
				}
				time.Sleep(200 * time.Millisecond)
				for name, e := range w.engines {
					if s := e.Stats(); s.SlotsInUse != 0 || s.BlocksInUse != 0 {
						t.Errorf("engine %s holds %d slots and %d blocks 200 ms after the cancellation", name, s.SlotsInUse, s.BlocksInUse)
					}
				}
				w.checkFreed()
			})
		})
	}
}

// TestHedge guards against a hedge that leaves its loser running, and against a
// second answer to the caller (I1, I2).
func TestHedge(t *testing.T) {
	for _, slow := range []egretflow.ServerName{"prefill-1", "decode-1"} {
		t.Run(string(slow), func(t *testing.T) {
			run(t, func(w *world) {
				t := w.t
				scheduler := w.instances[0].scheduler
				scheduler.hedges = true
				w.engines[slow].Faults.Add(fault.Fault{Kind: fault.Slow, Factor: 50})
				resp := w.must(chat(10, true))
				w.checkWhole(resp, 10)
				if scheduler.hedged != 1 || resp.took > time.Second {
					t.Errorf("%d hedges, answer after %v", scheduler.hedged, resp.took)
				}
				w.engines[slow].Faults.Clear()
				w.checkFreed()
			})
		})
	}
}
