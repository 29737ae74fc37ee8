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

// world is a follower with prefill engines on an in-memory network.
type world struct {
	t        *testing.T
	hosts    *stubtest.Hosts
	engines  []*engine.Engine
	follower *Follower
	mu       sync.Mutex
	observed []egretflow.Observation
}

func host(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 1, byte(n)}) }

// withWorld runs f in virtual time after the streams were started.
func withWorld(t *testing.T, engines int, gapChance float64, f func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, hosts: stubtest.New(t)}
		shares := []slicer.Share{{Server: &egretflow.Server{Name: "decode", Role: egretflow.RoleDecode}, Kind: egretflow.PoolKindModel}}
		for n := range engines {
			e := engine.New(engine.Config{Role: egretflow.RolePrefill, EventGapChance: gapChance})
			address := netip.AddrPortFrom(host(n), 80)
			w.hosts.Serve(address.String(), e, e.Faults)
			w.engines = append(w.engines, e)
			shares = append(shares, slicer.Share{Kind: egretflow.PoolKindModel, Server: &egretflow.Server{
				Name: egretflow.ServerName(fmt.Sprintf("p%d", n)), Address: address, Role: egretflow.RolePrefill,
			}})
		}
		w.follower = New(Config{
			Client: w.hosts.Client("10.0.0.9"), Clock: time.Now, Rand: rand.New(rand.NewPCG(1, 1)),
			Sink: func(o egretflow.Observation) {
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

// prompts lets an engine compute prompts that share nothing.
func (w *world) prompts(n int, from, to int) {
	for k := from; k < to; k++ {
		text := strings.Repeat(fmt.Sprintf("%04d", k), 256)
		r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(fmt.Sprintf(`{"prompt": %q, "max_tokens": 1}`, text)))
		w.engines[n].ServeHTTP(httptest.NewRecorder(), r)
	}
}

// takeObserved returns what the sink got since the last call.
func (w *world) takeObserved() []egretflow.Observation {
	synctest.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	observed := w.observed
	w.observed = nil
	return observed
}

// events waits for late events and returns what the sink got since the last
// call.
func (w *world) events() []egretflow.CacheEvent {
	time.Sleep(2*engine.DefaultReportLag + IdleTimeout)
	var events []egretflow.CacheEvent
	for _, o := range w.takeObserved() {
		events = append(events, o.Cache...)
	}
	return events
}

func (w *world) wantSequences(events []egretflow.CacheEvent, want ...uint64) {
	w.t.Helper()
	var got []uint64
	for _, e := range events {
		got = append(got, e.Sequence)
	}
	if !slices.Equal(got, want) {
		w.t.Errorf("sequence numbers %v, want %v", got, want)
	}
}

// Guards against a message to the scheduler per event, and against one before
// the lag of the events.
func TestEventsAreLateAndBatched(t *testing.T) {
	withWorld(t, 2, -1, func(w *world) {
		w.prompts(0, 0, 20)
		time.Sleep(engine.DefaultReportLag / 2)
		if early := w.takeObserved(); len(early) != 0 {
			t.Errorf("%d observations before the lag", len(early))
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

// Guards against a lost event that the picker cannot see as a gap.
func TestGapsArePassedOn(t *testing.T) {
	withWorld(t, 1, 0.3, func(w *world) {
		w.prompts(0, 0, 20)
		events := w.events()
		if len(events) == 0 || len(events) == 20 || events[len(events)-1].Sequence <= uint64(len(events)) {
			t.Errorf("events %+v, want some missing", events)
		}
	})
}

// Guards against events that are lost or repeated when a connection ends or
// stops delivering, and against a resume that is taken for a restart.
func TestResume(t *testing.T) {
	for name, end := range map[string]func(w *world){
		"silent connection": func(w *world) { w.hosts.Network.Silence(host(0)) },
		"reset": func(w *world) {
			w.hosts.Network.Cut(host(0))
			w.hosts.Network.Restore(host(0))
		},
	} {
		t.Run(name, func(t *testing.T) {
			withWorld(t, 1, -1, func(w *world) {
				w.prompts(0, 0, 3)
				w.wantSequences(w.events(), 1, 2, 3)
				end(w)
				w.prompts(0, 3, 5)
				w.wantSequences(w.events(), 4, 5)
			})
		})
	}
}

// Guards against an index that goes on to hold what an engine lost when it
// restarted, whether the follower resumes or found nobody listening.
func TestEngineRestart(t *testing.T) {
	for name, refused := range map[string]bool{"resumed": false, "refused": true} {
		t.Run(name, func(t *testing.T) {
			withWorld(t, 1, -1, func(w *world) {
				w.prompts(0, 0, 3)
				w.wantSequences(w.events(), 1, 2, 3)
				if refused {
					w.hosts.Network.Cut(host(0))
				}
				r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(`{"prompt": "CRASH-MARKER", "max_tokens": 1}`))
				func() {
					// The stand-in ends the connection of the crashing request.
					defer func() { _ = recover() }()
					w.engines[0].ServeHTTP(httptest.NewRecorder(), r)
				}()
				w.hosts.Network.Silence(host(0))
				time.Sleep(2 * engine.DefaultRestartAfter)
				w.hosts.Network.Restore(host(0))
				events := w.events()
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

// Guards against more streams than MaxOpen, and against streams that stay open
// for servers that left the slice.
func TestOpenStreamsAreBounded(t *testing.T) {
	withWorld(t, MaxOpen+8, -1, func(w *world) {
		if open := w.hosts.Network.OpenConns(); open != 2*MaxOpen {
			t.Errorf("%d connection ends, want %d", open, 2*MaxOpen)
		}
		w.follower.SetServers(nil)
		time.Sleep(time.Second)
		synctest.Wait()
		if open := w.hosts.Network.OpenConns(); open != 0 {
			t.Errorf("%d connection ends after the servers left", open)
		}
	})
}

// Guards against one engine whose events use up the budget of all.
func TestBusiestServerRests(t *testing.T) {
	withWorld(t, 2, -1, func(w *world) {
		for k := range 40 {
			w.prompts(0, 100*k, 100*(k+1))
		}
		_ = w.events()
		w.prompts(0, 0, 5)
		w.prompts(1, 0, 5)
		w.wantSequences(w.events(), 1, 2, 3, 4, 5)
		time.Sleep(RestPeriod)
		if got := w.events(); len(got) == 0 {
			t.Error("the server is not followed again after its rest")
		}
	})
}
