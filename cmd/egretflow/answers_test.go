package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/egretflow/egretflow/platform/platformtest"
)

// requestKind is a kind of request to an answerWorld. It is also the name of its route
// and of its service.
type requestKind string

const (
	// A kindLookup may be repeated, and so may a kindFailing, whose servers all answer in
	// the same way. A kindOrder must not be repeated.
	kindLookup  requestKind = "lookup"
	kindFailing requestKind = "failing"
	kindOrder   requestKind = "order"
	// The others are streams. A kindLetter must not be repeated. The decode servers of a
	// kindDraft and a kindResumed give the answer of the test, of the latter to the attempt
	// that continues a cut stream; of a kindPrefill the prefill servers do.
	kindLetter  requestKind = "letter"
	kindDraft   requestKind = "draft"
	kindResumed requestKind = "resumed"
	kindPrefill requestKind = "prefill"
)

var allKinds = []requestKind{kindLookup, kindFailing, kindOrder, kindLetter, kindDraft, kindResumed, kindPrefill}

func (k requestKind) isStream() bool { return k != kindLookup && k != kindFailing && k != kindOrder }

// mayRepeat reports whether the instance may repeat the request and finds a server with a
// sound answer.
func (k requestKind) mayRepeat() bool { return k != kindFailing && k != kindOrder && k != kindLetter }

// The bodies of sound answers.
const (
	callBody    = "the whole body"
	firstEvent  = "id: 1\ndata: e1\n\n"
	firstEvents = firstEvent + "id: 2\ndata: e2\n\n"
	allEvents   = firstEvents + "id: 3\ndata: e3\n\n"
	prefillBody = `{"handle":"k1","tokens":100,"version":1}`
	soundAnswer = "HTTP/1.1 200 OK\r\n{Fields}Content-Length: {Length}\r\n\r\n{Body}"
	cutAnswer   = "HTTP/1.1 200 OK\r\n{Fields}Transfer-Encoding: chunked\r\n\r\n20\r\n" + firstEvents + "\r\n"
)

// respondFunc answers a request, whose body is not read, with bytes on its connection.
// The text has the fields and the body that the request asks for.
type respondFunc func(conn *net.TCPConn, r *http.Request, expand func(text string) string)

// writeAnswer returns a respondFunc that reads the request, writes an answer and closes
// the connection.
func writeAnswer(text string) respondFunc {
	return func(conn *net.TCPConn, r *http.Request, expand func(string) string) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, expand(text))
	}
}

// answerWorld is a process of the program with stand-ins of its store and its backend
// servers.
type answerWorld struct {
	front string
	// respond gives the answer of the test.
	respond respondFunc

	mu sync.Mutex
	// arrivals holds the number of times that each request has reached a server which
	// gives the answer of the test.
	arrivals map[string]int
}

// startAnswerWorld starts a process whose backend servers respond with respond when a
// request reaches the first of them, and with sound answers after that.
func startAnswerWorld(t *testing.T, respond respondFunc) *answerWorld {
	t.Helper()
	w := &answerWorld{respond: respond, arrivals: map[string]int{}}
	store := platformtest.NewStore()
	storeAddress, stop := platformtest.Serve(store)
	t.Cleanup(stop)
	var routes, services []map[string]any
	for _, kind := range allKinds {
		stages := []string{"", ""}
		service := map[string]any{"name": kind}
		if kind.isStream() {
			stages = []string{"prefill", "prefill", "decode", "decode", "decode"}
			service["engine"] = map[string]any{"slots": 8, "kv_capacity": 40000, "kv_token_bytes": 35136, "link_mbps": 1100000.0, "stride": 13, "hold_ms": 2000.0, "models": []map[string]any{{"name": "m"}}}
		}
		services = append(services, service)
		routes = append(routes, w.route(kind))
		for n, stage := range stages {
			name := fmt.Sprintf("i-%s-%d", kind, n)
			server := platformtest.NewServer(platformtest.ServerConfig{Name: name, Stage: stage})
			address := w.serve(t, kind, server)
			store.Put("servers/"+name, server.Registration(string(kind), address, "ready"))
		}
	}
	configuration, err := json.Marshal(map[string]any{"version": 1, "routes": routes, "services": services})
	if err != nil {
		t.Fatal(err)
	}
	store.Put("op/config", configuration)
	w.startProcess(t, storeAddress)
	return w
}

func (w *answerWorld) route(kind requestKind) map[string]any {
	routeKind, attempts := "streaming", 4
	switch kind {
	case kindLookup, kindFailing:
		routeKind, attempts = "safe", 2
	case kindOrder:
		routeKind, attempts = "unsafe", 1
	case kindLetter:
		attempts = 1
	}
	return map[string]any{
		"name": kind, "host": "h.example", "prefix": "/" + kind + "/", "kind": routeKind, "timeout_ms": 10_000, "target_latency_ms": 900, "gap_aim_ms": 300,
		"priority": 1, "service": kind, "max_attempts": attempts, "resumable": kind.isStream() && kind != kindLetter,
	}
}

// startProcess starts the program and waits until it is ready and knows the servers.
func (w *answerWorld) startProcess(t *testing.T, store netip.AddrPort) {
	t.Helper()
	first, err := platformtest.ReservePorts(6)
	if err != nil {
		t.Fatal(err)
	}
	at := func(n uint16) string { return fmt.Sprintf("127.0.0.1:%d", first+n) }
	settings, err := json.Marshal(map[string]any{
		"Name": "front-1", "Region": "r", "FailureDomain": "z", "Listen": at(0), "ReadyListen": at(1),
		"Address": "127.0.0.1", "PeerPorts": []uint16{first + 2, first + 5}, "Store": store, "GraceSeconds": 4, "MemoryMegabytes": 100,
		"RetryRatio": 4, "RetrySlack": 56, "RetryWindowSeconds": 10, "LeaseMilliseconds": 3000,
	})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := writeFile(path, string(settings)); err != nil {
		t.Fatal(err)
	}
	startProgram(t, "platform", "--config", path)
	w.front = at(0)
	for end := time.Now().Add(eventuallyTimeout); ; time.Sleep(50 * time.Millisecond) {
		if resp, err := http.Get("http://" + at(1) + "/ready"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(end) {
			t.Fatal("the process does not become ready")
		}
	}
}

// startProgram starts the program as a process that ends with the test, whose log is printed
// if the test fails.
func startProgram(t *testing.T, args ...string) {
	t.Helper()
	var log bytes.Buffer
	// TestMain runs the program under this name.
	cmd := exec.Command(os.Args[0], args...)
	cmd.Args[0] = "egretflow"
	cmd.Stdout, cmd.Stderr = &log, &log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if t.Failed() {
			t.Logf("log of the process:\n%s", log.String())
		}
	})
}

// serve starts a backend server. It answers requests of callers on raw connections;
// server answers all others.
func (w *answerWorld) serve(t *testing.T, kind requestKind, server *platformtest.Server) netip.AddrPort {
	address, stop := platformtest.Serve(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/"+string(kind)+"/") {
			server.ServeHTTP(rw, r)
			return
		}
		conn, _, err := http.NewResponseController(rw).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		respond := w.responseOf(kind, r)
		respond(conn.(*net.TCPConn), r, func(text string) string { return expandAnswer(text, kind, r) })
	}))
	t.Cleanup(stop)
	return address
}

// responseOf returns how a server responds to a request, and counts the request if it is one
// for the answer of the test.
func (w *answerWorld) responseOf(kind requestKind, r *http.Request) respondFunc {
	prefills := r.Header.Get("X-Stage") == "prefill"
	if kind.isStream() && prefills != (kind == kindPrefill) {
		return writeAnswer(soundAnswer)
	}
	if kind == kindResumed && r.Header.Get("Last-Event-Id") == "" {
		return writeAnswer(cutAnswer)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	id := r.Header.Get("X-Request-Id")
	w.arrivals[id]++
	if w.arrivals[id] > 1 && kind != kindFailing {
		return writeAnswer(soundAnswer)
	}
	return w.respond
}

func (w *answerWorld) arrivalsOf(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.arrivals[id]
}

// expandAnswer replaces the names in braces in the text of an answer to r.
func expandAnswer(text string, kind requestKind, r *http.Request) string {
	body, contentType := callBody, "text/plain"
	switch {
	case r.Header.Get("X-Stage") == "prefill":
		body, contentType = prefillBody, "application/json"
	case kind.isStream():
		body, contentType = allEvents, "text/event-stream"
		if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
			body = allEvents[min(last*len(firstEvent), len(allEvents)):]
		}
	}
	return strings.NewReplacer(
		"{Fields}", fmt.Sprintf("X-Request-Id: %s\r\nContent-Type: %s\r\nX-Response-Stamp: s1\r\n", r.Header.Get("X-Request-Id"), contentType),
		"{Length}", strconv.Itoa(len(body)), "{Body}", body, "{Chunks}", fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(body), body),
	).Replace(text)
}

// send sends a request with a body of the given size and returns all bytes that arrive, and
// the error that ends them; nil at a clean end.
func (w *answerWorld) send(kind requestKind, id string, size int) ([]byte, error) {
	conn, err := net.Dial("tcp", w.front)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
	_, err = fmt.Fprintf(conn, "POST /%s/1 HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 10000\r\nX-Token-Counts: 100,20\r\nContent-Length: %d\r\n\r\n%s",
		kind, id, size, strings.Repeat("u", size))
	if err != nil {
		return nil, fmt.Errorf("send request: %w", err)
	}
	return io.ReadAll(conn)
}

// answerKind says what a server sends.
type answerKind string

const (
	answerSound answerKind = "Sound"
	// answerBroken is none in the protocol, and answerBrokenEnd shows that only at its end.
	answerBroken    answerKind = "Broken"
	answerBrokenEnd answerKind = "BrokenEnd"
)

// checkAnswer sends a request whose server sends an answer of the given kind, and checks
// what its caller gets.
func (w *answerWorld) checkAnswer(t *testing.T, kind requestKind, id string, size int, sent answerKind) {
	t.Helper()
	got, err := w.send(kind, id, size)
	status, arrivals := http.StatusOK, 1
	if sent != answerSound && !kind.mayRepeat() {
		status = http.StatusBadGateway
	}
	if sent != answerSound && (kind.mayRepeat() || kind == kindFailing) {
		arrivals = 2
	}
	// The end of the answer to a prefill is not read: its body says where it ends.
	if n := w.arrivalsOf(id); n != arrivals && !(kind == kindPrefill && sent == answerBrokenEnd) {
		t.Errorf("%s: the request reached %d servers, want %d", kind, n, arrivals)
	}
	resp, body, parseErr := parseAnswer(got)
	if kind == kindLetter && sent == answerBrokenEnd {
		if !errors.Is(parseErr, io.ErrUnexpectedEOF) {
			t.Errorf("%s: the caller got %q, error %v, want a cut stream", kind, got, err)
		}
		return
	}
	if err != nil || parseErr != nil {
		t.Errorf("%s: the caller got %q, error %v, %v", kind, got, err, parseErr)
		return
	}
	wantBody := callBody
	if kind.isStream() {
		wantBody = allEvents
	}
	switch stamp := resp.Header.Get("X-Response-Stamp"); {
	case resp.StatusCode != status, bytes.Count(got, []byte("HTTP/1.")) != 1, bytes.Contains(got, []byte("No te")), bytes.Contains(got, []byte("Note : ")):
		t.Errorf("%s: the caller got %q, want one answer with status %d", kind, got, status)
	case status == http.StatusOK && (string(body) != wantBody || stamp != "s1"):
		t.Errorf("%s: the caller got %q, want the body %q with the server's stamp", kind, got, wantBody)
	case status != http.StatusOK && stamp != "":
		t.Errorf("%s: the caller got %q, want no stamp", kind, got)
	}
}

func parseAnswer(data []byte) (*http.Response, []byte, error) {
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(data)), nil)
	if err != nil {
		return nil, nil, fmt.Errorf("parse answer: %w", err)
	}
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

// answerCase is a case of testdata/answers.json of package connector.
type answerCase struct {
	Name, Answer string
	Kind         answerKind
}

func readAnswerCases(t *testing.T) []answerCase {
	t.Helper()
	var cases []answerCase
	if err := json.Unmarshal([]byte(readFile(t, "../../connector/testdata/answers.json")), &cases); err != nil {
		t.Fatal(err)
	}
	return cases
}

// Guards against bytes of a faulty server that are no answer in the protocol and reach
// callers as one, and against sound answers that are rejected.
func TestAnswers(t *testing.T) {
	for _, c := range readAnswerCases(t) {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			w := startAnswerWorld(t, writeAnswer(c.Answer))
			for _, kind := range allKinds {
				w.checkAnswer(t, kind, string(kind)+"-1", 2, c.Kind)
			}
		})
	}
}
