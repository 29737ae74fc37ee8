package relayer_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/checker"
	"github.com/egretflow/egretflow/relayer"
	"github.com/egretflow/egretflow/reserver"
)

const (
	// heldRequests is the number of requests whose servers hold the response open just
	// below the bound of one, which is heldBytes.
	heldRequests = 40
	heldBytes    = 4<<20 - 1
	// responseBytes bounds all responses together.
	responseBytes = 16 << 20
)

// holdingServer sends what is asked for by the path, and keeps all connections open.
type holdingServer struct {
	sent sync.WaitGroup
	hold chan struct{}
}

func (h *holdingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	w.Header().Set("Request", "r1")
	w.Header().Set("Stamp", "s")
	switch r.URL.Path {
	case "/small":
		_, _ = io.WriteString(w, "small")
		return
	case "/body":
		_, _ = io.WriteString(w, strings.Repeat("b", heldBytes))
	case "/event":
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: e1\n\ndata: "+strings.Repeat("e", 256<<10-100))
	}
	_ = control.Flush()
	h.sent.Done()
	<-h.hold
}

// forwarding starts a Relayer with one server of each stage at the address. Prefills end at
// once.
func forwarding(t *testing.T, kind string, address netip.AddrPort, responses *reserver.Reserver) *relayer.Relayer {
	t.Helper()
	prefill := &scriptedServer{name: "prefill", stage: "prefill"}
	for range heldRequests {
		prefill.actions = append(prefill.actions, []string{"prefill"})
	}
	prefill.listen(t)
	return relayerWith(kind, prefill, address, responses)
}

// forwardingWith is like forwarding, with a prefill server at an address of its own.
func forwardingWith(t *testing.T, kind string, prefill, decode netip.AddrPort) *relayer.Relayer {
	t.Helper()
	return relayerWith(kind, &scriptedServer{name: "prefill", stage: "prefill", address: prefill}, decode, reserver.Unbounded())
}

func relayerWith(kind string, prefill *scriptedServer, address netip.AddrPort, responses *reserver.Reserver) *relayer.Relayer {
	s := &script{kind: kind, servers: []*scriptedServer{
		prefill, {name: "decode", stage: "decode", address: address}, {name: "service", stage: "service", address: address},
	}}
	return relayer.New(relayer.Config{
		Instance: "entry-1", Scheduler: &scriptedScheduler{script: s}, Recorder: discardRecorder{}, Checker: checker.New("entry-1", time.Now, discardRecorder{}, nil),
		Clock: time.Now, Rand: rand.New(rand.NewPCG(1, 1)), Dial: (&net.Dialer{}).DialContext,
		Dialect: scriptedDialect{}, Engines: &scriptedEngines{script: s}, Responses: responses,
	})
}

// callOf returns a call of a service or, for a stream, of a model.
func callOf(kind, path string) *relayer.Call {
	now, pool := time.Now(), &egretflow.Pool{Name: "p", Kind: egretflow.PoolKindService}
	if kind == "stream" || kind == "resumable" {
		pool.Kind = egretflow.PoolKindModel
	}
	return &relayer.Call{
		Work: &egretflow.Work{Request: "r1", Pool: "p", Idempotent: kind == "safe" || kind == "resumable", ArrivedAt: now, FirstTokenBy: now.Add(10 * time.Second), GiveUpBy: now.Add(10 * time.Second)},
		Pool: pool, Method: http.MethodPost, URL: &url.URL{Path: path}, Host: "h", Header: http.Header{},
		Terms: egretflow.RequestMetadata{ID: "r1"}, MaxAttempts: 1, EventGapTarget: time.Minute,
	}
}

// Guards against responses that stay below the bound of one each, and together use up the
// memory of the process, and against small responses that get no room beside them.
func TestHeldResponsesAreBoundedTogether(t *testing.T) {
	for _, test := range []struct{ kind, path string }{{"unsafe", "/body"}, {"stream", "/event"}} {
		t.Run(test.kind, func(t *testing.T) {
			h := &holdingServer{hold: make(chan struct{})}
			server := httptest.NewServer(h)
			defer server.Close()
			address := netip.MustParseAddrPort(server.Listener.Addr().String())
			budget := int64(responseBytes)
			if test.kind == "stream" {
				budget /= 8 // the events are smaller
			}
			r := forwarding(t, test.kind, address, reserver.New(budget, budget/4))
			ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
			defer cancel()
			before := heap()
			var calls sync.WaitGroup
			for range heldRequests {
				h.sent.Add(1)
				calls.Go(func() {
					err := forward(ctx, r, callOf(test.kind, test.path), httptest.NewRecorder())
					var refusal *egretflow.Refusal
					if errors.As(err, &refusal) && refusal.RunState == egretflow.RunStateNotRun {
						// It found no room and was not sent.
						h.sent.Done()
					}
				})
			}
			h.sent.Wait()
			time.Sleep(200 * time.Millisecond)
			if grown := heap() - before; grown > 2*budget {
				t.Errorf("%d held responses take %d bytes, want at most %d", heldRequests, grown, 2*budget)
			}
			w := httptest.NewRecorder()
			small := forwarding(t, "unsafe", address, reserver.Unbounded())
			if test.kind == "unsafe" {
				small = r
			}
			if err := forward(ctx, small, callOf("unsafe", "/small"), w); err != nil || w.Body.String() != "small" {
				t.Errorf("a small response beside them: %q, error %v", w.Body.String(), err)
			}
			close(h.hold)
			cancel()
			calls.Wait()
			r.Close()
		})
	}
}

func forward(ctx context.Context, r *relayer.Relayer, call *relayer.Call, w http.ResponseWriter) error {
	run := r.Forward
	if call.Pool.Kind == egretflow.PoolKindModel {
		run = r.ForwardStream
	}
	if _, err := run(ctx, call, w); err != nil {
		return fmt.Errorf("forward: %w", err)
	}
	return nil
}

// heap returns the bytes of live objects.
func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
