package frontend_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/authenticator"
	"github.com/egretflow/egretflow/checker"
	"github.com/egretflow/egretflow/explainer"
	"github.com/egretflow/egretflow/frontend"
	"github.com/egretflow/egretflow/internal/pipenet"
	"github.com/egretflow/egretflow/internal/stub/engine"
	"github.com/egretflow/egretflow/internal/stub/service"
	"github.com/egretflow/egretflow/recorder"
	"github.com/egretflow/egretflow/relayer"
)

const (
	prompt   = "Write a short letter to the depot."
	tokenGap = 20 * time.Millisecond
	settled  = 5 * time.Second
)

// world is a pool of stand-in engines and services with entry instances on an
// in-memory network in virtual time.
type world struct {
	t         *testing.T
	net       *pipenet.Network
	tables    *egretflow.Tables
	engines   map[egretflow.ServerName]*engine.Engine
	services  map[egretflow.ServerName]*service.Service
	claimer   *fakeClaimer
	instances []*instance
	limits    frontend.Limits
	tls       *tls.Config
	// traceparent is the header that a scripted server got last.
	traceparent string
}

// instance is one entry instance.
type instance struct {
	host      netip.Addr
	scheduler *fakeScheduler
	frontend  *frontend.Frontend
	explainer *explainer.Explainer
	metrics   *recorder.Metrics
	checker   *checker.Checker
	stop      func()
}

func host(kind, n int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, byte(kind), byte(n)}) }

// Kinds of hosts.
const (
	hostClient = iota
	hostInstance
	hostPrefill
	hostDecode
	hostService
)

// run runs f in a world with two servers of each role and two instances.
func run(t *testing.T, f func(w *world), limits ...frontend.Limits) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{
			t: t, net: pipenet.New(time.Now), engines: map[egretflow.ServerName]*engine.Engine{},
			services: map[egretflow.ServerName]*service.Service{}, claimer: newFakeClaimer(),
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		w.tables = &egretflow.Tables{Revision: 1, Pools: []egretflow.Pool{
			{Name: "letters", Kind: egretflow.PoolKindModel, Model: "letter-writers", TokenGap: egretflow.Duration(tokenGap)},
			{Name: "desk", Kind: egretflow.PoolKindService},
		}, Routes: routes()}
		for n := 1; n <= 2; n++ {
			w.addEngine(ctx, egretflow.RolePrefill, hostPrefill, n)
			w.addEngine(ctx, egretflow.RoleDecode, hostDecode, n)
			w.addService(ctx, n)
		}
		if len(limits) > 0 {
			w.limits = limits[0]
		}
		for n := 1; n <= 2; n++ {
			w.addInstance(n, w.limits)
		}
		defer func() {
			cancel()
			for _, i := range w.instances {
				i.stop()
				i.scheduler.check(t)
			}
			time.Sleep(time.Minute)
			synctest.Wait()
		}()
		f(w)
	})
}

func routes() []egretflow.Route {
	target := egretflow.Duration(1100 * time.Millisecond)
	return []egretflow.Route{
		{Name: "letters", Callers: []egretflow.CallerName{"vonwiller", "kilimanjaro"}, Models: []egretflow.ModelName{"letter-writers"}, Pool: "letters", Importance: egretflow.ImportanceHigh, Idempotent: true, FirstTokenTarget: target},
		{Name: "private", Callers: []egretflow.CallerName{"kilimanjaro"}, Models: []egretflow.ModelName{"private-model"}, Pool: "letters", Importance: egretflow.ImportanceHigh, Idempotent: true, FirstTokenTarget: target},
		{Name: "prices", Callers: []egretflow.CallerName{"vonwiller"}, PathPrefix: "/prices", Pool: "desk", Importance: egretflow.ImportanceNormal, Idempotent: true, FirstTokenTarget: target},
		{Name: "orders", Callers: []egretflow.CallerName{"vonwiller"}, PathPrefix: "/orders", Pool: "desk", Importance: egretflow.ImportanceCritical, FirstTokenTarget: target},
	}
}

func (w *world) serve(ctx context.Context, address netip.AddrPort, server *http.Server) {
	ln, err := w.net.Listen(address)
	if err != nil {
		w.t.Fatal(err)
	}
	go server.Serve(ln) //nolint:errcheck // it ends with the world
	context.AfterFunc(ctx, func() { _ = server.Close() })
}

func (w *world) addEngine(ctx context.Context, role egretflow.Role, kind, n int) {
	address := netip.AddrPortFrom(host(kind, n), 8000)
	name := egretflow.ServerName(fmt.Sprintf("%s-%d", strings.ToLower(string(role)), n))
	transport := &http.Transport{DialContext: w.net.Dialer(address.Addr())}
	context.AfterFunc(ctx, transport.CloseIdleConnections)
	e := engine.New(engine.Config{
		Name: string(name), Role: role, Address: address, TokenGap: tokenGap, PrefillTokensPerSecond: 200,
		LinkBytesPerSecond: 1 << 20, KVBytesPerToken: 4 << 10, Client: &http.Client{Transport: transport},
	})
	w.engines[name] = e
	w.tables.Pools[0].Servers = append(w.tables.Pools[0].Servers, egretflow.Server{
		Name: name, Address: address, FailureDomain: "moshi-lab", Role: role, Slots: 20, Blocks: 4000,
	})
	w.serve(ctx, address, &http.Server{Handler: e, ConnContext: e.Faults.ConnContext})
}

func (w *world) addService(ctx context.Context, n int) {
	address := netip.AddrPortFrom(host(hostService, n), 8000)
	name := egretflow.ServerName(fmt.Sprintf("desk-%d", n))
	s := service.New(service.Config{Name: string(name), Latency: 10 * time.Millisecond})
	w.services[name] = s
	w.tables.Pools[1].Servers = append(w.tables.Pools[1].Servers, egretflow.Server{
		Name: name, Address: address, FailureDomain: "moshi-lab", Role: egretflow.RoleService, Slots: 20,
	})
	w.serve(ctx, address, &http.Server{Handler: s, ConnContext: s.Faults.ConnContext})
}

// serveTLS adds a third instance that serves callers over TLS.
func (w *world) serveTLS(config *tls.Config) {
	w.tls = config
	w.addInstance(3, w.limits)
}

func (w *world) addInstance(n int, limits frontend.Limits) {
	i := &instance{host: host(hostInstance, n), scheduler: newFakeScheduler(w.tables, n), explainer: explainer.New(1000, nil)}
	var err error
	if i.metrics, err = recorder.New(); err != nil {
		w.t.Fatal(err)
	}
	rnd := rand.New(rand.NewPCG(7, uint64(n)))
	i.checker = checker.New("entry", time.Now, i.explainer, i.metrics.InvariantViolated)
	r := relayer.New(relayer.Config{
		Scheduler: i.scheduler, Recorder: i.explainer, Checker: i.checker, Claimer: w.claimer, Clock: time.Now,
		Rand: rnd, Dial: w.net.Dialer(i.host),
	})
	i.frontend = frontend.New(frontend.Config{
		Relayer: r, Tables: func() *egretflow.Tables { return w.tables }, Recorder: i.explainer, Checker: i.checker,
		Callers: authenticator.Static(map[string]string{"key-v": "vonwiller", "key-k": "kilimanjaro"}),
		Metrics: i.metrics, Clock: time.Now, Rand: rand.New(rand.NewPCG(8, uint64(n))), Limits: limits, TLS: w.tls,
	})
	ln, err := w.net.Listen(netip.AddrPortFrom(i.host, 80))
	if err != nil {
		w.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := i.frontend.Serve(ctx, ln); err != nil {
			w.t.Errorf("serve instance %d: %v", n, err)
		}
		r.Close()
	}()
	i.stop = func() { cancel(); <-done }
	w.instances = append(w.instances, i)
}

// dial connects a client to an instance.
func (w *world) dial(instance int) net.Conn {
	c, err := w.net.Dialer(host(hostClient, 1))(w.t.Context(), "tcp", netip.AddrPortFrom(host(hostInstance, instance), 80).String())
	if err != nil {
		w.t.Fatal(err)
	}
	return c
}

// request describes a request of a test.
type request struct {
	instance int // 1 by default
	method   string
	path     string
	key      string
	header   map[string]string
	body     string
}

func chat(tokens int, stream bool) request {
	body, _ := json.Marshal(map[string]any{
		"model": "letter-writers", "stream": stream, "max_tokens": tokens, "stream_options": map[string]any{"include_usage": true},
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	return request{body: string(body)}
}

func (r request) with(key, value string) request {
	header := map[string]string{key: value}
	for k, v := range r.header {
		header[k] = v
	}
	r.header = header
	return r
}

// response is an HTTP response with the body that arrived.
type response struct {
	*http.Response
	body []byte
	// cut says that the body ended with an error.
	cut bool
	// took is the time to the end of the body.
	took time.Duration
}

// do sends a request on a connection of its own.
func (w *world) do(ctx context.Context, r request) (*response, error) {
	started := time.Now()
	if r.method == "" {
		r.method = http.MethodPost
	}
	if r.path == "" {
		r.path = "/v1/chat/completions"
	}
	if r.key == "" {
		r.key = "key-v"
	}
	address := netip.AddrPortFrom(host(hostInstance, max(1, r.instance)), 80)
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+address.String()+r.path, strings.NewReader(r.body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+r.key)
	for key, value := range r.header {
		req.Header.Set(key, value)
	}
	transport := &http.Transport{DialContext: w.net.Dialer(host(hostClient, 1)), DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return &response{Response: resp, body: body, cut: err != nil, took: time.Since(started)}, nil
}

func (w *world) must(r request) *response {
	w.t.Helper()
	resp, err := w.do(w.t.Context(), r)
	if err != nil {
		w.t.Fatal(err)
	}
	return resp
}

// start sends a request in the background.
func (w *world) start(r request) <-chan *response {
	done := make(chan *response, 1)
	go func() {
		resp, err := w.do(w.t.Context(), r)
		if err != nil {
			w.t.Errorf("send request: %v", err)
		}
		done <- resp
	}()
	return done
}

// event is one server-sent event of an answer.
type event struct{ id, data string }

func events(body []byte) []event {
	var list []event
	var e event
	lines := bufio.NewScanner(bytes.NewReader(body))
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			e.id = id
		} else if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			e.data = data
		} else if lines.Text() == "" && e.data != "" {
			list = append(list, e)
			e = event{}
		}
	}
	return list
}

type chunk struct {
	ID      string
	Choices []struct {
		Delta        struct{ Content string }
		Text         string
		FinishReason string `json:"finish_reason"`
		Message      struct{ Content string }
	}
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
	}
	Error *struct {
		Code     string
		RunState string `json:"run_state"`
		Message  string
	}
}

// text joins the text of the events.
func text(t *testing.T, list []event) string {
	t.Helper()
	var b strings.Builder
	for _, e := range list {
		if e.data == "[DONE]" {
			continue
		}
		var c chunk
		if err := json.Unmarshal([]byte(e.data), &c); err != nil {
			t.Fatalf("event %q: %v", e.data, err)
		}
		for _, choice := range c.Choices {
			b.WriteString(choice.Delta.Content + choice.Text)
		}
	}
	return b.String()
}

func wantText(tokens int) string {
	return engine.AnswerText(engine.PromptText([]engine.Message{{Role: "user", Content: prompt}}), 1, tokens)
}

// checkWhole checks that a streamed answer is complete and exact (4.7).
func (w *world) checkWhole(resp *response, tokens int) {
	t := w.t
	t.Helper()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d: %s", resp.StatusCode, resp.body)
	}
	list := events(resp.body)
	if got, want := text(t, list), wantText(tokens); got != want {
		t.Fatalf("answer is %q, want %q; body: %s", got, want, resp.body)
	}
	if len(list) < 3 || list[len(list)-1].data != "[DONE]" {
		t.Fatalf("the answer does not end with [DONE]: %s", resp.body)
	}
	finishes, usages := 0, 0
	for _, e := range list[:len(list)-1] {
		var c chunk
		_ = json.Unmarshal([]byte(e.data), &c)
		if len(c.Choices) > 0 && c.Choices[0].FinishReason != "" {
			finishes++
		}
		if c.Usage != nil {
			usages++
			if c.Usage.CompletionTokens != tokens {
				t.Errorf("usage has %d tokens, want %d", c.Usage.CompletionTokens, tokens)
			}
		}
	}
	if finishes != 1 || usages != 1 {
		t.Errorf("answer has %d finish reasons and %d usages, want 1 and 1", finishes, usages)
	}
}

// checkFreed checks that nothing is held for ended requests (I1).
func (w *world) checkFreed() {
	w.t.Helper()
	time.Sleep(settled)
	for name, e := range w.engines {
		if s := e.Stats(); s.SlotsInUse != 0 || s.BlocksInUse != 0 || s.Waiting != 0 {
			w.t.Errorf("engine %s holds %d slots, %d blocks and %d waiting requests", name, s.SlotsInUse, s.BlocksInUse, s.Waiting)
		}
	}
	for _, i := range w.instances {
		i.scheduler.check(w.t)
	}
}

// readStatus reads the status of the next response of a connection.
func readStatus(w *world, c net.Conn) int {
	w.t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		w.t.Fatalf("read response: %v", err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// send writes to a connection, which may have been closed by the other side.
func send(c net.Conn, format string, args ...any) { _, _ = fmt.Fprintf(c, format, args...) }
