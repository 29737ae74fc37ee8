package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/stub/engine"
	"github.com/egretflow/egretflow/internal/stub/service"
	"github.com/egretflow/egretflow/platform/platformtest"
)

// ownWorld is a process that serves the own interface of the program, with stand-ins of
// its engines and of a service.
type ownWorld struct {
	url string

	mu sync.Mutex
	// answer is sent by the next server with the role that gets a request, in place of its
	// own answer, whose body it has; empty for none.
	answer string
	role   egretflow.Role
	// arrivals counts the requests at servers with the role.
	arrivals int
}

// startOwnWorld starts the process.
func startOwnWorld(t *testing.T) *ownWorld {
	t.Helper()
	w := &ownWorld{}
	letters := egretflow.Pool{Name: "letters", Kind: egretflow.PoolKindModel, Model: demoModel, KVBytesPerToken: 64 << 10, TokenGap: egretflow.Duration(engine.DefaultTokenGap)}
	desk := egretflow.Pool{Name: "desk", Kind: egretflow.PoolKindService}
	for n, role := range []egretflow.Role{egretflow.RolePrefill, egretflow.RolePrefill, egretflow.RoleDecode, egretflow.RoleDecode, egretflow.RoleService, egretflow.RoleService} {
		pool := &letters
		if role == egretflow.RoleService {
			pool = &desk
		}
		pool.Servers = append(pool.Servers, w.startServer(t, fmt.Sprintf("server-%d", n), role))
	}
	tables := egretflow.Tables{Revision: 1, Pools: []egretflow.Pool{letters, desk}, Routes: []egretflow.Route{
		{Name: "letters", Callers: []egretflow.CallerName{"clerk"}, Models: []egretflow.ModelName{demoModel}, Pool: "letters", Importance: egretflow.ImportanceNormal, Idempotent: true, FirstTokenTarget: egretflow.Duration(4 * time.Second), RetryPercent: 100},
		{Name: "lookups", Callers: []egretflow.CallerName{"clerk"}, Methods: []string{http.MethodGet}, PathPrefix: "/lookups", Pool: "desk", Importance: egretflow.ImportanceNormal, Idempotent: true, FirstTokenTarget: egretflow.Duration(4 * time.Second), RetryPercent: 100},
		{Name: "reports", Callers: []egretflow.CallerName{"clerk"}, Methods: []string{http.MethodPost}, PathPrefix: "/reports", Pool: "desk", Importance: egretflow.ImportanceNormal, Idempotent: true, FirstTokenTarget: egretflow.Duration(4 * time.Second), RetryPercent: 100},
	}}
	dir := t.TempDir()
	for name, value := range map[string]any{
		"tables.json":  tables,
		"callers.json": json.RawMessage(`{"Keys": [{"Name": "clerk", "SHA256": ["ff9dfccf6e241648c755b05e61e81ef598e5f7197ba7aac6cd46f3fda3ed6e3b"]}]}`),
	} {
		data, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		if err := writeFile(filepath.Join(dir, name), string(data)); err != nil {
			t.Fatal(err)
		}
	}
	port, err := platformtest.ReservePorts(1)
	if err != nil {
		t.Fatal(err)
	}
	w.url = fmt.Sprintf("http://127.0.0.1:%d", port)
	startProgram(t, "serve", "--listen", strings.TrimPrefix(w.url, "http://"), "--tables-file", filepath.Join(dir, "tables.json"), "--keys-file", filepath.Join(dir, "callers.json"))
	for end := time.Now().Add(eventuallyTimeout); ; time.Sleep(50 * time.Millisecond) {
		if _, status, err := w.call(http.MethodGet, "/lookups/1", ""); err == nil && status == http.StatusOK {
			return w
		}
		if time.Now().After(end) {
			t.Fatal("the process does not serve")
		}
	}
}

// startServer starts a stand-in and returns its entry for the tables.
func (w *ownWorld) startServer(t *testing.T, name string, role egretflow.Role) egretflow.Server {
	t.Helper()
	var own http.Handler
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		// Other paths are those of load reports and orders.
		if strings.HasPrefix(r.URL.Path, "/lookups") || strings.HasPrefix(r.URL.Path, "/v1/") {
			if answer := w.nextAnswer(role); answer != "" {
				sendInstead(t, rw, r, own, answer)
				return
			}
		}
		if strings.HasPrefix(r.URL.Path, "/reports") {
			if answer := w.nextAnswer(role); answer != "" {
				answerEarly(t, rw, answer)
				return
			}
		}
		own.ServeHTTP(rw, r)
	}))
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	own = service.New(service.Config{Name: name})
	if role != egretflow.RoleService {
		own = engine.New(engine.Config{Name: name, Role: role, Model: demoModel, Address: address, PrefillTokensPerSecond: 10_000, LinkBytesPerSecond: 1 << 30, KVBytesPerToken: 64 << 10})
	}
	return egretflow.Server{
		Name: egretflow.ServerName(name), Address: address, FailureDomain: "loopback", Role: role, Slots: engine.DefaultSlots, Blocks: engine.DefaultBlocks,
		PrefillTokensPerSecond: 10_000, LinkBytesPerSecond: 1 << 30,
	}
}

// nextAnswer counts a request to a server and returns the answer that it must send in place
// of its own one, or "".
func (w *ownWorld) nextAnswer(role egretflow.Role) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if role != w.role {
		return ""
	}
	w.arrivals++
	answer := w.answer
	w.answer = ""
	return answer
}

// breakNext makes the next server with the role that gets a request send the answer.
func (w *ownWorld) breakNext(role egretflow.Role, answer string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.role, w.answer, w.arrivals = role, answer, 0
}

func (w *ownWorld) arrivalCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.arrivals
}

// sendInstead writes an answer to a raw connection. Its body is that of the answer of own.
func sendInstead(t *testing.T, rw http.ResponseWriter, r *http.Request, own http.Handler, answer string) {
	recorder := httptest.NewRecorder()
	own.ServeHTTP(recorder, r)
	body := recorder.Body.String()
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		t.Error(err)
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, strings.NewReplacer(
		"{Fields}", "Content-Type: "+recorder.Header().Get("Content-Type")+"\r\n",
		"{Length}", strconv.Itoa(len(body)), "{Body}", body, "{Chunks}", fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(body), body),
	).Replace(answer))
}

// answerEarly writes an answer before the upload was read, and resets the connection.
func answerEarly(t *testing.T, rw http.ResponseWriter, answer string) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		t.Error(err)
		return
	}
	_, _ = io.WriteString(conn, answer)
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// call sends a request and returns the body and the status of its response.
func (w *ownWorld) call(method, path, body string) (string, int, error) {
	req, err := http.NewRequest(method, w.url+path, strings.NewReader(body))
	if err != nil {
		return "", 0, fmt.Errorf("create request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer clerk-key")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", 0, fmt.Errorf("send request: %w", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), resp.StatusCode, err
}

// Guards against bytes of a faulty service or engine that reach callers of the own
// interface as an answer, or that count as the result of a prefill.
func TestOwnInterfaceAnswers(t *testing.T) {
	for _, c := range readAnswerCases(t) {
		if c.Kind != answerBroken {
			continue
		}
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			w := startOwnWorld(t)
			for _, role := range []egretflow.Role{egretflow.RoleService, egretflow.RolePrefill, egretflow.RoleDecode} {
				w.breakNext(role, c.Answer)
				body, status, err := w.call(http.MethodPost, "/v1/chat/completions", demoBody)
				want := "data: [DONE]\n\n"
				if role == egretflow.RoleService {
					body, status, err = w.call(http.MethodGet, "/lookups/2", "")
					want = `"/lookups/2"`
				}
				if err != nil || status != http.StatusOK || strings.Count(body, want) != 1 {
					t.Errorf("%s: status %d, %q, error %v; want %q once", role, status, body, err, want)
				}
				if n := w.arrivalCount(); n < 2 {
					t.Errorf("%s: %d requests to servers, want another one after the broken answer", role, n)
				}
			}
		})
	}
}

// Guards against a part of an answer without a length that reaches the caller of a call with
// a long body as the whole one, because its server reset the connection during the upload.
func TestOwnInterfaceEarlyAnswers(t *testing.T) {
	w := startOwnWorld(t)
	upload := strings.Repeat("u", uploadBytes)
	for n := range uploadRepeats {
		w.breakNext(egretflow.RoleService, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\nthe whole")
		body, status, err := w.call(http.MethodPost, fmt.Sprintf("/reports/%d", n), upload)
		if err != nil || status != http.StatusOK || strings.Contains(body, "the whole") {
			t.Errorf("status %d, %.80q, error %v; want the answer of another server", status, body, err)
		}
		if arrivals := w.arrivalCount(); arrivals != 2 {
			t.Errorf("%d requests to servers, want another one after the broken answer", arrivals)
		}
	}
}
