package cachefollower

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/stub/engine"
	"github.com/egretflow/egretflow/internal/stub/stubtest"
	"github.com/egretflow/egretflow/slicer"
)

// fixture is a Follower with prefill engines on an in-memory network.
type fixture struct {
	t        *testing.T
	hosts    *stubtest.Hosts
	engines  []*engine.Engine
	follower *Follower
	mu       sync.Mutex
	observed []egretflow.Observation
}

func host(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 1, byte(n)}) }

// runWithFixture runs f in virtual time after the streams were started. gapChance
// is the probability that an engine loses an event; negative for never.
func runWithFixture(t *testing.T, engines int, gapChance float64, f func(w *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		w := &fixture{t: t, hosts: stubtest.New(t)}
		shares := []slicer.ServerShare{{Server: &egretflow.Server{Name: "decode", Role: egretflow.RoleDecode}, Kind: egretflow.PoolKindModel}}
		for n := range engines {
			e := engine.New(engine.Config{Role: egretflow.RolePrefill, EventLossProbability: gapChance})
			address := netip.AddrPortFrom(host(n), 80)
			w.hosts.Serve(address.String(), e, e.Faults)
			w.engines = append(w.engines, e)
			shares = append(shares, slicer.ServerShare{Kind: egretflow.PoolKindModel, Server: &egretflow.Server{
				Name: egretflow.ServerName(fmt.Sprintf("p%d", n)), Address: address, Role: egretflow.RolePrefill,
			}})
		}
		w.follower = New(Config{
			Client: w.hosts.Client("10.0.0.9"), Clock: time.Now, Rand: rand.New(rand.NewPCG(1, 1)),
			Observe: func(o egretflow.Observation) {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.observed = append(w.observed, o)
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = w.follower.Run(ctx)
		}()
		w.follower.SetServers(shares)
		time.Sleep(time.Duration(engines+1) * TickInterval)
		f(w)
		cancel()
		<-ended
	})
}

// computePrompts sends engine n the prompts with the numbers [from, to), which
// have no common prefix.
func (w *fixture) computePrompts(n int, from, to int) {
	for k := from; k < to; k++ {
		text := strings.Repeat(fmt.Sprintf("%04d", k), 256)
		r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(fmt.Sprintf(`{"prompt": %q, "max_tokens": 1}`, text)))
		w.engines[n].ServeHTTP(httptest.NewRecorder(), r)
	}
}

// takeObserved returns the observations that the sink received since the last
// call.
func (w *fixture) takeObserved() []egretflow.Observation {
	synctest.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	observed := w.observed
	w.observed = nil
	return observed
}

// takeEvents waits for delayed events and for the end of idle streams, and returns
// the events that the sink received since the last call.
func (w *fixture) takeEvents() []egretflow.CacheEvent {
	time.Sleep(2*engine.DefaultReportLag + IdleTimeout)
	var events []egretflow.CacheEvent
	for _, o := range w.takeObserved() {
		events = append(events, o.Cache...)
	}
	return events
}

func (w *fixture) wantSequences(events []egretflow.CacheEvent, want ...uint64) {
	w.t.Helper()
	var got []uint64
	for _, e := range events {
		got = append(got, e.Sequence)
	}
	if !slices.Equal(got, want) {
		w.t.Errorf("sequence numbers %v, want %v", got, want)
	}
}

// Guards against one observation per event, which would load the scheduler, and
// against events before the engines' reporting delay.
func TestEventsAreLateAndBatched(t *testing.T) {
	runWithFixture(t, 2, -1, func(w *fixture) {
		w.computePrompts(0, 0, 20)
		time.Sleep(engine.DefaultReportLag / 2)
		if early := w.takeObserved(); len(early) != 0 {
			t.Errorf("%d observations before the reporting delay", len(early))
		}
		time.Sleep(engine.DefaultReportLag)
		observed := w.takeObserved()
		if len(observed) != 1 || observed[0].Server != "p0" || observed[0].Kind != egretflow.ObservationCache || len(observed[0].Cache) != 20 {
			t.Fatalf("observations %+v", observed)
		}
		if e := observed[0].Cache[0]; e.Type != egretflow.CacheEventStored || len(e.Hashes) != 1 {
			t.Errorf("event %+v", e)
		}
	})
}

// Guards against sequence numbers that are assigned anew, so that the picker
// cannot detect events that an engine lost.
func TestGapsArePassedOn(t *testing.T) {
	runWithFixture(t, 1, 0.3, func(w *fixture) {
		w.computePrompts(0, 0, 20)
		events := w.takeEvents()
		if len(events) == 0 || len(events) == 20 || events[len(events)-1].Sequence <= uint64(len(events)) {
			t.Errorf("events %+v, want some missing", events)
		}
	})
}

// Guards against events that are lost or repeated when a connection is reset or
// stops delivering, and against a resumed stream that is mistaken for a restart of
// the engine.
func TestResumeWithoutLossOrRepeat(t *testing.T) {
	for name, end := range map[string]func(w *fixture){
		"silent connection": func(w *fixture) { w.hosts.Network.Silence(host(0)) },
		"reset": func(w *fixture) {
			w.hosts.Network.Cut(host(0))
			w.hosts.Network.Restore(host(0))
		},
	} {
		t.Run(name, func(t *testing.T) {
			runWithFixture(t, 1, -1, func(w *fixture) {
				w.computePrompts(0, 0, 3)
				w.wantSequences(w.takeEvents(), 1, 2, 3)
				end(w)
				w.computePrompts(0, 3, 5)
				w.wantSequences(w.takeEvents(), 4, 5)
			})
		})
	}
}

// Guards against a picker that keeps the cache contents that an engine lost in a
// restart, whether the follower resumes its stream or its connection is refused
// meanwhile.
func TestEngineRestartClearsCache(t *testing.T) {
	for name, refused := range map[string]bool{"resumed": false, "refused": true} {
		t.Run(name, func(t *testing.T) {
			runWithFixture(t, 1, -1, func(w *fixture) {
				w.computePrompts(0, 0, 3)
				w.wantSequences(w.takeEvents(), 1, 2, 3)
				if refused {
					w.hosts.Network.Cut(host(0))
				}
				r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(`{"prompt": "CRASH-MARKER", "max_tokens": 1}`))
				func() {
					// The stub engine panics to abort the crashing request.
					defer func() { _ = recover() }()
					w.engines[0].ServeHTTP(httptest.NewRecorder(), r)
				}()
				w.hosts.Network.Silence(host(0))
				time.Sleep(2 * engine.DefaultRestartAfter)
				w.hosts.Network.Restore(host(0))
				events := w.takeEvents()
				if !refused {
					w.wantSequences(events, 0, 1)
				} else if len(events) < 2 || events[0].Sequence != 0 || events[len(events)-1].Sequence != 1 {
					t.Errorf("events %+v", events)
				}
				for _, e := range events {
					if e.Type != egretflow.CacheEventCleared {
						t.Errorf("event %+v", e)
					}
				}
			})
		})
	}
}

// Guards against more streams than MaxOpenStreams, and against streams that stay
// open for servers that left the slice.
func TestOpenStreamsAreBounded(t *testing.T) {
	runWithFixture(t, MaxOpenStreams+8, -1, func(w *fixture) {
		if open := w.hosts.Network.OpenConns(); open != 2*MaxOpenStreams {
			t.Errorf("%d connection ends, want %d", open, 2*MaxOpenStreams)
		}
		w.follower.SetServers(nil)
		time.Sleep(time.Second)
		synctest.Wait()
		if open := w.hosts.Network.OpenConns(); open != 0 {
			t.Errorf("%d connection ends after the servers left", open)
		}
	})
}

// Guards against one engine whose events use up the byte limit of all, and against
// a pause that never ends.
func TestBusiestServerIsPaused(t *testing.T) {
	runWithFixture(t, 2, -1, func(w *fixture) {
		for k := range 40 {
			w.computePrompts(0, 100*k, 100*(k+1))
		}
		_ = w.takeEvents()
		w.computePrompts(0, 0, 5)
		w.computePrompts(1, 0, 5)
		w.wantSequences(w.takeEvents(), 1, 2, 3, 4, 5)
		time.Sleep(PausePeriod)
		if got := w.takeEvents(); len(got) == 0 {
			t.Error("the server is not followed again after its pause")
		}
	})
}
