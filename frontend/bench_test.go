package frontend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/authenticator"
	"github.com/egretflow/egretflow/checker"
	"github.com/egretflow/egretflow/explainer"
	"github.com/egretflow/egretflow/frontend"
	"github.com/egretflow/egretflow/recorder"
	"github.com/egretflow/egretflow/relayer"
)

const benchBody = `{"model":"letter-writers","stream":true,"messages":[{"role":"user","content":"Write a short letter."}]}`

// benchEngine answers a prefill at once, and a decode with one event at the start
// and one for each value received from tokens, until tokens is closed.
type benchEngine struct{ tokens chan struct{} }

func (e *benchEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	body, _ := io.ReadAll(r.Body)
	if strings.Contains(string(body), `"do_remote_decode":true`) {
		write(w, `{"id":%q,"usage":{"prompt_tokens":9},"kv_transfer_params":{"do_remote_prefill":true}}`, id)
		return
	}
	flusher := w.(http.Flusher)
	head := fmt.Sprintf(`{"id":%q,"object":"chat.completion.chunk","created":1796364002,"model":"letter-writers","choices":[`, id)
	n := 0
	next := true
	for ; next; _, next = <-e.tokens {
		n++
		write(w, "id: %d\ndata: %s{\"index\":0,\"delta\":{\"content\":\"w4f28d572 \"},\"finish_reason\":null}]}\n\n", n, head)
		flusher.Flush()
	}
	write(w, "data: %s{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: %s],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", head, head, n)
}

func write(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }

func listen(b *testing.B, h http.Handler) netip.AddrPort {
	b.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: h}
	go server.Serve(ln) //nolint:errcheck // it ends with the benchmark
	b.Cleanup(func() { _ = server.Close() })
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// benchInstance starts an instance that uses the engine for prefill and decode, and
// returns its address.
func benchInstance(b *testing.B, engine netip.AddrPort) netip.AddrPort {
	b.Helper()
	tables := &egretflow.Tables{Routes: routes()[:1], Pools: []egretflow.Pool{{
		Name: "letters", Kind: egretflow.PoolKindModel, TokenGap: egretflow.Duration(time.Hour),
		Servers: []egretflow.Server{{Name: "p", Address: engine, Role: egretflow.RolePrefill}, {Name: "d", Address: engine, Role: egretflow.RoleDecode}},
	}}}
	scheduler := newFakeScheduler(tables, 1)
	scheduler.firstToken = time.Hour
	events := explainer.New(100, nil)
	metrics, err := recorder.New()
	if err != nil {
		b.Fatal(err)
	}
	check := checker.New("entry", time.Now, events, nil)
	rnd := rand.New(rand.NewPCG(1, 1))
	r := relayer.New(relayer.Config{Scheduler: scheduler, Recorder: events, Checker: check, Clock: time.Now, Rand: rnd, Dial: (&net.Dialer{}).DialContext})
	f := frontend.New(frontend.Config{
		Relayer: r, Tables: func() *egretflow.Tables { return tables }, Recorder: events, Checker: check, Metrics: metrics,
		Callers: authenticator.StaticKeys(map[string]string{"key-v": "vonwiller"}), Clock: time.Now, Rand: rnd,
		Limits: frontend.Limits{MaxStreams: 10000},
	})
	return listen(b, f)
}

func openStream(b *testing.B, ctx context.Context, address netip.AddrPort) io.ReadCloser { //nolint:revive // b comes before ctx
	b.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+"/v1/chat/completions", strings.NewReader(benchBody))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer key-v")
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		b.Fatal(err)
	}
	if resp.StatusCode != http.StatusOK {
		b.Fatalf("status %d", resp.StatusCode)
	}
	return resp.Body
}

// cpuTime returns the CPU time of this process in user and kernel mode.
func cpuTime() (user, system time.Duration) {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano()), time.Duration(u.Stime.Nano())
}

// BenchmarkRelay measures the CPU time of this process per event on real sockets:
// with the caller connected to the engine (Direct), or to an instance that relays
// the answers of the engine (Relayed). The difference is the cost of the relay. The
// engine writes events as fast as it can (Burst), or 20 per millisecond, which is
// about the rate of section 1.5 (Steady), or each event after the previous one has
// arrived, so that the process sleeps and wakes up for each (Single).
func BenchmarkRelay(b *testing.B) {
	for _, pace := range []string{"Burst", "Steady", "Single"} {
		for _, variant := range []string{"Direct", "Relayed"} {
			b.Run(pace+variant, func(b *testing.B) { benchRelay(b, pace, variant == "Relayed") })
		}
	}
}

func benchRelay(b *testing.B, pace string, relayed bool) {
	const streams, perTick = 400, 20
	single := pace == "Single"
	engine := &benchEngine{tokens: make(chan struct{})}
	address := listen(b, engine)
	if relayed {
		address = benchInstance(b, address)
	}
	arrived := make(chan struct{}, 1)
	var readers sync.WaitGroup
	for range streams {
		body := openStream(b, b.Context(), address)
		readers.Go(func() {
			lines := bufio.NewScanner(body)
			for lines.Scan() {
				if single && strings.HasPrefix(lines.Text(), "id: ") {
					arrived <- struct{}{}
				}
			}
		})
		if single {
			<-arrived
		}
	}
	b.ResetTimer()
	user, system := cpuTime()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for n := range b.N {
		engine.tokens <- struct{}{}
		if single {
			<-arrived
		} else if pace == "Steady" && n%perTick == 0 {
			<-tick.C
		}
	}
	userEnd, systemEnd := cpuTime()
	b.ReportMetric(float64((userEnd-user).Nanoseconds())/1000/float64(b.N), "user-us/event")
	b.ReportMetric(float64((systemEnd-system).Nanoseconds())/1000/float64(b.N), "kernel-us/event")
	go func() {
		// The end of a relayed answer also has ids, so readers send to arrived.
		for range arrived {
		}
	}()
	close(engine.tokens)
	readers.Wait()
	close(arrived)
}

// BenchmarkOpenStreams measures the memory of this process per open stream, with
// the caller connected to the engine (Direct) or to an instance (Relayed).
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 400
	for _, name := range []string{"Direct", "Relayed"} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				engine := &benchEngine{tokens: make(chan struct{})}
				address := listen(b, engine)
				if name == "Relayed" {
					address = benchInstance(b, address)
				}
				ctx, cancel := context.WithCancel(b.Context())
				before := memoryInUse()
				for range streams {
					openStream(b, ctx, address)
				}
				b.ReportMetric(float64(memoryInUse()-before)/streams, "B/stream")
				cancel()
				close(engine.tokens)
			}
		})
	}
}

// memoryInUse returns the bytes of heap and stack in use after a garbage collection.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
