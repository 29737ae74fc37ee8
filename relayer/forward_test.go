package relayer_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/checker"
	"github.com/egretflow/egretflow/relayer"
)

// A script tells what servers do with the requests that reach them, in order,
// and what the caller must get. Its lines:
//
//	# why: the failure that the script guards against
//	route kind=safe|unsafe|stream|resumable attempts=N
//	server NAME stage=service|prefill|decode [preempts=yes]
//	on NAME ACTION...        one line per request that reaches the server
//	want status=N body=TEXT|cut runs=NAME:N,... notrun=true|false
//
// Actions: ok [body], status N [body], notrun, reset (before any answer),
// truncate, unframed [body], unframedreset, foreign (an answer of another
// request), garbage, late MS, early (answers before it reads the body), silent,
// prefill, events A-B [cut|reset], full (refuses to hold), refuse (nobody
// listens).
type script struct {
	kind     string
	attempts int
	servers  []*scriptedServer
	want     map[string]string
}

type scriptedServer struct {
	name, stage string
	mu          sync.Mutex
	actions     [][]string
	runs        int
	// preempts says that the server pauses its stream after the first event.
	preempts bool
	freed    int
	dropped  int
	address  netip.AddrPort
	from     []string
}

func TestForwardScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/forward/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			t.Parallel()
			readScript(t, file).run(t)
		})
	}
}

func readScript(t *testing.T, file string) *script {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	s := &script{attempts: 1, want: map[string]string{}}
	for line := range strings.Lines(string(data)) {
		words := strings.Fields(line)
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		values := map[string]string{}
		for _, w := range words[1:] {
			if key, value, ok := strings.Cut(w, "="); ok {
				values[key] = value
			}
		}
		switch words[0] {
		case "route":
			s.kind = values["kind"]
			if values["attempts"] != "" {
				s.attempts, _ = strconv.Atoi(values["attempts"])
			}
		case "server":
			s.servers = append(s.servers, &scriptedServer{name: words[1], stage: values["stage"], preempts: values["preempts"] != ""})
		case "on":
			server := s.server(words[1])
			server.actions = append(server.actions, words[2:])
		case "want":
			for key, value := range values {
				s.want[key] = value
			}
		default:
			t.Fatalf("%s: unknown line %q", file, line)
		}
	}
	return s
}

func (s *script) server(name string) *scriptedServer {
	for _, server := range s.servers {
		if server.name == name {
			return server
		}
	}
	panic("unknown server " + name)
}

// run plays the script and checks what the caller and the servers saw.
func (s *script) run(t *testing.T) {
	for _, server := range s.servers {
		server.listen(t)
	}
	scheduler := &scriptedScheduler{script: s}
	r := relayer.New(relayer.Config{
		Instance: "entry-1", Scheduler: scheduler, Recorder: discard{}, Checker: checker.New("entry-1", time.Now, discard{}, nil),
		Clock: time.Now, Rand: rand.New(rand.NewPCG(1, 1)), Dial: (&net.Dialer{}).DialContext,
		Dialect: scriptedDialect{}, Engines: &scriptedEngines{script: s},
	})
	defer r.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
	defer cancel()
	now := time.Now()
	pool := &egretflow.Pool{Name: "p", Kind: egretflow.PoolKindService}
	call := &relayer.Call{
		Work: &egretflow.Work{
			Request: "r1", Pool: "p", Idempotent: s.kind == "safe" || s.kind == "resumable", ArrivedAt: now, FirstTokenBy: now.Add(100 * time.Millisecond),
			PromptTokens: 100, MaxTokens: 10,
		},
		Pool: pool, Method: http.MethodPost, URL: &url.URL{Path: "/a/b"}, Host: "h", Header: http.Header{},
		Body: []byte(strings.Repeat("b", 20<<10)), Terms: egretflow.Terms{ID: "r1"}, MaxAttempts: s.attempts, EventGapTarget: 100 * time.Millisecond,
	}
	w := httptest.NewRecorder()
	forward := r.Forward
	if s.kind == "stream" || s.kind == "resumable" {
		pool.Kind, pool.HoldTTL = egretflow.PoolKindModel, egretflow.Duration(time.Second)
		forward = r.ForwardStream
	}
	result, err := forward(ctx, call, w)
	s.check(t, w, result, err)
	r.Close()
	if n := scheduler.held(); n != 0 {
		t.Errorf("%d places are still held", n)
	}
}

func (s *script) check(t *testing.T, w *httptest.ResponseRecorder, result relayer.Result, err error) {
	t.Helper()
	var refusal *egretflow.Refusal
	isRefusal := errors.As(err, &refusal)
	if want := s.want["status"]; want != "" {
		status := w.Code
		if isRefusal && !result.Started {
			status = refusal.Status
		}
		if strconv.Itoa(status) != want {
			t.Errorf("status %d (error %v), want %s", status, err, want)
		}
	}
	if want := s.want["body"]; want == "cut" {
		if !result.Started || err == nil {
			t.Errorf("the answer is not cut: started %v, error %v", result.Started, err)
		}
	} else if want != "" && (err != nil || flat(w.Body.String()) != want) {
		t.Errorf("body %q, error %v; want %q", w.Body.String(), err, want)
	}
	if want := s.want["notrun"]; want != "" && (!isRefusal || strconv.FormatBool(refusal.RunState == egretflow.RunStateNotRun) != want) {
		t.Errorf("refusal %v, want not run %s", err, want)
	}
	for pair := range strings.SplitSeq(s.want["runs"], ",") {
		if name, count, ok := strings.Cut(pair, ":"); ok && strconv.Itoa(s.server(name).counted()) != count {
			t.Errorf("server %s ran the request %d times, want %s", name, s.server(name).counted(), count)
		}
	}
	if from := s.want["from"]; from != "" {
		name, id, _ := strings.Cut(from, ":")
		if seen := s.server(name).asked(); len(seen) == 0 || seen[len(seen)-1] != id {
			t.Errorf("server %s was asked to continue after %v, want %s", name, seen, id)
		}
	}
}

func (v *scriptedServer) listen(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	v.address = netip.MustParseAddrPort(ln.Addr().String())
	if len(v.actions) > 0 && v.actions[0][0] == "refuse" {
		_ = ln.Close()
		return
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go v.serve(conn)
		}
	}()
}

func (v *scriptedServer) next() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.actions) == 0 {
		return []string{"unexpected"}
	}
	action := v.actions[0]
	v.actions = v.actions[1:]
	return action
}

func (v *scriptedServer) counted() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.runs
}

// asked lists from which event on the server was asked, by request.
func (v *scriptedServer) asked() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]string(nil), v.from...)
}

func (v *scriptedServer) ran() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.runs++
}

func (v *scriptedServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	req, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	action := v.next()
	word := func(n int) string {
		if n < len(action) {
			return action[n]
		}
		return ""
	}
	if action[0] != "early" {
		_, _ = io.Copy(io.Discard, req.Body)
	}
	v.mu.Lock()
	v.from = append(v.from, req.Header.Get("After"))
	v.mu.Unlock()
	head := func(status int, extra string) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\nRequest: r1\r\n%s", status, extra)
	}
	whole := func(status int, body string) {
		_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head(status, ""), len(body), body)
	}
	reset := func() {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	switch action[0] {
	case "ok":
		v.ran()
		whole(200, word(1))
	case "late":
		ms, _ := strconv.Atoi(word(1))
		time.Sleep(time.Duration(ms) * time.Millisecond)
		v.ran()
		whole(200, word(2))
	case "status":
		v.ran()
		status, _ := strconv.Atoi(word(1))
		whole(status, word(2))
	case "notrun":
		_, _ = fmt.Fprintf(conn, "%sNot-Run: 1\r\nContent-Length: 0\r\n\r\n", head(503, ""))
	case "reset":
		v.ran()
		reset()
	case "truncate":
		v.ran()
		_, _ = fmt.Fprintf(conn, "%sContent-Length: 100\r\n\r\npart", head(200, ""))
	case "unframed":
		v.ran()
		_, _ = fmt.Fprintf(conn, "%sConnection: close\r\n\r\n%s", head(200, ""), word(1))
	case "unframedreset":
		v.ran()
		_, _ = fmt.Fprintf(conn, "%sConnection: close\r\n\r\npart", head(200, ""))
		time.Sleep(50 * time.Millisecond)
		reset()
	case "foreign":
		v.ran()
		_, _ = fmt.Fprint(conn, "HTTP/1.1 200 X\r\nRequest: r2\r\nContent-Length: 5\r\n\r\nother")
	case "garbage":
		v.ran()
		_, _ = fmt.Fprint(conn, "\x16\x03\x01 no answer\r\n\r\n")
	case "early":
		whole(413, word(1))
		time.Sleep(100 * time.Millisecond)
	case "silent":
		v.ran()
		time.Sleep(5 * time.Second)
	case "prefill":
		_, _ = fmt.Fprintf(conn, "%sContent-Length: 2\r\n\r\nk1", head(200, ""))
	case "events":
		v.ran()
		v.stream(conn, head, word(1), word(2))
		if word(2) == "reset" {
			reset()
		}
	default:
		whole(599, strings.Join(action, " "))
	}
}

// stream sends the events A to B, ended as an answer in chunks unless it is cut.
func (v *scriptedServer) stream(conn net.Conn, head func(int, string) string, span, end string) {
	first, last, _ := strings.Cut(span, "-")
	from, _ := strconv.Atoi(first)
	to, _ := strconv.Atoi(last)
	_, _ = fmt.Fprint(conn, head(200, "Transfer-Encoding: chunked\r\n"), "\r\n")
	for n := from; n <= to; n++ {
		event := fmt.Sprintf("id: %d\ndata: e%d\n\n", n, n)
		_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		if v.preempts && n == from {
			time.Sleep(1200 * time.Millisecond)
		}
	}
	if end == "cut" {
		part := "id: 99\nda"
		_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(part), part)
		time.Sleep(50 * time.Millisecond)
	}
	if end == "" {
		_, _ = fmt.Fprint(conn, "0\r\n\r\n")
	}
	if end == "reset" {
		time.Sleep(50 * time.Millisecond)
	}
}

// scriptedScheduler gives the servers in the order of the script, without those
// to be avoided.
type scriptedScheduler struct {
	script *script
	mu     sync.Mutex
	nextID int
	places map[egretflow.AttemptID]bool
}

func (s *scriptedScheduler) held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.places)
}

func (s *scriptedScheduler) pick(work *egretflow.Work, stage string) *egretflow.Server {
	for _, v := range s.script.servers {
		avoided := false
		for _, name := range work.Avoid {
			avoided = avoided || string(name) == v.name
		}
		if v.stage == stage && !avoided {
			return &egretflow.Server{Name: egretflow.ServerName(v.name), Address: v.address, Slots: 1}
		}
	}
	return nil
}

func (s *scriptedScheduler) Acquire(ctx context.Context, work *egretflow.Work) (*egretflow.Assignment, error) {
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	a := &egretflow.Assignment{Attempt: egretflow.AttemptID(strconv.Itoa(s.nextID)), Work: work, FirstTokenAt: time.Now(), PrefillBy: time.Now()}
	stage := "service"
	if s.script.kind == "stream" || s.script.kind == "resumable" {
		stage = "decode"
		a.Prefill = s.pick(work, "prefill")
	}
	a.Decode = s.pick(work, stage)
	if a.Decode == nil || stage == "decode" && a.Prefill == nil {
		return nil, &egretflow.Refusal{Status: 503, Reason: egretflow.RefusalNoServer, RunState: egretflow.RunStateNotRun, Message: "no server"}
	}
	if s.places == nil {
		s.places = map[egretflow.AttemptID]bool{}
	}
	s.places[a.Attempt] = true
	return a, nil
}

func (s *scriptedScheduler) Replace(_ context.Context, a *egretflow.Assignment) (*egretflow.Assignment, error) {
	next := *a
	if next.Prefill = s.pick(a.Work, "prefill"); next.Prefill == nil {
		return nil, &egretflow.Refusal{Status: 503, Reason: egretflow.RefusalNoServer, RunState: egretflow.RunStateNotRun, Message: "no server"}
	}
	return &next, nil
}

func (s *scriptedScheduler) Observe(egretflow.Observation) {}

func (s *scriptedScheduler) Release(r egretflow.Release) {
	if r.PrefillOnly {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.places, r.Attempt)
}

// scriptedDialect carries only what the scripts look at.
type scriptedDialect struct{}

func (scriptedDialect) ReadRequest(*http.Request, time.Time) (egretflow.Terms, error) {
	return egretflow.Terms{}, nil
}

func (scriptedDialect) WriteExchange(h http.Header, t egretflow.ExchangeTerms, _ time.Time) {
	h.Set("After", t.ResumeAfter)
}

func (scriptedDialect) ReadAnswer(resp *http.Response) egretflow.AnswerTerms {
	return egretflow.AnswerTerms{ID: resp.Header.Get("Request"), NotRun: resp.Header.Get("Not-Run") != ""}
}

func (scriptedDialect) WriteRefusal(http.Header, *egretflow.Refusal, time.Time) {}

// scriptedEngines holds memory unless the next action of the server is full.
type scriptedEngines struct{ script *script }

func (e *scriptedEngines) TakeHold(_ context.Context, s *egretflow.Server, _ int, _ time.Time) (egretflow.HoldID, error) {
	v := e.script.server(string(s.Name))
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.actions) > 0 && v.actions[0][0] == "full" {
		v.actions = v.actions[1:]
		return "", egretflow.ErrFull
	}
	return "h1", nil
}

func (e *scriptedEngines) DropHold(_ context.Context, s *egretflow.Server, _ egretflow.HoldID) error {
	v := e.script.server(string(s.Name))
	v.mu.Lock()
	defer v.mu.Unlock()
	v.dropped++
	return nil
}

func (e *scriptedEngines) ReadPrefill(body io.Reader) (egretflow.PrefillResult, error) {
	data, err := io.ReadAll(body)
	return egretflow.PrefillResult{Handle: egretflow.KVHandle(data), Tokens: 100}, err
}

func (e *scriptedEngines) FreePrefill(_ context.Context, s *egretflow.Server, _ egretflow.KVHandle) error {
	v := e.script.server(string(s.Name))
	v.mu.Lock()
	defer v.mu.Unlock()
	v.freed++
	return nil
}

func (e *scriptedEngines) Load(context.Context, *egretflow.Server) (*egretflow.LoadReport, error) {
	return nil, egretflow.ErrUnavailable
}

// Progress answers as an engine at which the request was preempted if the server
// is to pause, and not at all otherwise.
func (e *scriptedEngines) Progress(_ context.Context, s *egretflow.Server, _ string) (egretflow.Progress, error) {
	if e.script.server(string(s.Name)).preempts {
		return egretflow.Progress{Waiting: 1}, nil
	}
	return egretflow.Progress{}, egretflow.ErrUnavailable
}

func (e *scriptedEngines) SetRole(context.Context, *egretflow.Server, egretflow.Role, egretflow.Holder) error {
	return egretflow.ErrUnavailable
}

type discard struct{}

func (discard) Record(egretflow.Event) {}

// flat writes a body as one word, as the scripts do.
func flat(body string) string {
	return strings.NewReplacer("\n", "|", " ", "_").Replace(strings.TrimSpace(body))
}
