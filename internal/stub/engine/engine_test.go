package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/stub/fault"
)

// handlerTransport is an http.RoundTripper that passes requests to the in-process
// handler of their host.
type handlerTransport map[string]http.Handler

func (h handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	rec := httptest.NewRecorder()
	if err := serve(h[r.URL.Host], rec, r); err != nil {
		return nil, err
	}
	return rec.Result(), nil
}

// serve calls the handler and returns an error if it aborts the connection.
func serve(h http.Handler, w http.ResponseWriter, r *http.Request) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("connection aborted: %v", p)
		}
	}()
	h.ServeHTTP(w, r)
	return nil
}

type enginePair struct{ prefill, decode *Engine }

func newEnginePair(configure func(c *Config)) enginePair {
	hosts := handlerTransport{}
	build := func(name string, role egretflow.Role, host string) *Engine {
		cfg := Config{
			Name: name, Role: role, PrefillTokensPerSecond: 10_000, KVBytesPerToken: 1000,
			LinkBytesPerSecond: 10_000_000, Client: &http.Client{Transport: hosts},
		}
		if configure != nil {
			configure(&cfg)
		}
		e := New(cfg)
		hosts[host] = e
		return e
	}
	return enginePair{
		build("p", egretflow.RolePrefill, "10.0.0.1:80"),
		build("d", egretflow.RoleDecode, "10.0.0.2:80"),
	}
}

type jsonObject map[string]any

func post(t *testing.T, e *Engine, path, id string, c jsonObject) *httptest.ResponseRecorder {
	t.Helper()
	data, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	r := httptest.NewRequest(http.MethodPost, "http://10.0.0.1:80"+path, strings.NewReader(string(data)))
	r.Header.Set("X-Request-Id", id)
	w := httptest.NewRecorder()
	if err := serve(e, w, r); err != nil {
		w.Code = 0
	}
	return w
}

// prefill runs a prefill request and returns the kv_transfer_params for the decode
// request.
func prefill(t *testing.T, e *Engine, id, prompt string) any {
	t.Helper()
	w := post(t, e, "/v1/completions", id, jsonObject{"prompt": prompt, "max_tokens": 1, "kv_transfer_params": jsonObject{"do_remote_decode": true}})
	var answer map[string]any
	if err := json.Unmarshal(w.Body.Bytes(), &answer); err != nil {
		t.Fatalf("status %d, body %q: %v", w.Code, w.Body, err)
	}
	return answer["kv_transfer_params"]
}

func checkIdle(t *testing.T, engines ...*Engine) {
	t.Helper()
	for _, e := range engines {
		if s := e.Stats(); s.BlocksInUse != 0 || s.SlotsInUse != 0 || s.Streams != 0 {
			t.Errorf("%s: memory or slots in use after the requests ended: %+v", e.cfg.Name, s)
		}
	}
}

func streamedText(t *testing.T, body string) string {
	t.Helper()
	var text strings.Builder
	for line := range strings.Lines(body) {
		data, ok := strings.CutPrefix(line, "data: {")
		if !ok {
			continue
		}
		var event struct {
			Choices []struct{ Text string }
		}
		if err := json.Unmarshal([]byte("{"+data), &event); err != nil {
			t.Fatal(err)
		}
		for _, c := range event.Choices {
			text.WriteString(c.Text)
		}
	}
	return text.String()
}

// Guards against a request over both engines whose duration is not the sum of its
// prefill, transfer and token times, or whose text or usage is wrong.
func TestPrefillAndDecode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newEnginePair(nil)
		prompt := strings.Repeat("a", 4000)
		start := time.Now()
		params := prefill(t, p.prefill, "r1", prompt)
		if got := time.Since(start).Round(time.Millisecond); got != 100*time.Millisecond {
			t.Errorf("prefill of 1000 tokens took %v, want 100ms", got)
		}
		w := post(t, p.decode, "/v1/completions", "r1", jsonObject{
			"prompt": prompt, "max_tokens": 10, "stream": true,
			"stream_options": jsonObject{"include_usage": true}, "kv_transfer_params": params,
		})
		if got := time.Since(start).Round(time.Millisecond); got != 450*time.Millisecond {
			t.Errorf("prefill, transfer and 10 tokens took %v, want 450ms", got)
		}
		if got, want := streamedText(t, w.Body.String()), AnswerText(prompt, 1, 10); got != want {
			t.Errorf("text %q, want %q", got, want)
		}
		if !strings.HasSuffix(w.Body.String(), "id: 10\ndata: [DONE]\n\n") || !strings.Contains(w.Body.String(), `"completion_tokens":10`) {
			t.Errorf("no [DONE] event or usage in %q", w.Body)
		}
		if s := p.prefill.Stats(); s.PrefillTokens != 1000 || s.PrefillTokensUnused != 0 {
			t.Errorf("prefill counts %+v", s)
		}
		checkIdle(t, p.prefill, p.decode)
	})
}

// Guards against a prefill result that is not imported and stays in memory after
// PrefillRetention or is not counted as unused, and against an import that succeeds
// after that.
func TestUnimportedPrefillResultExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newEnginePair(nil)
		params := prefill(t, p.prefill, "r1", strings.Repeat("a", 4000))
		if p.prefill.Stats().BlocksInUse == 0 {
			t.Error("the prefill result uses no memory")
		}
		time.Sleep(DefaultPrefillRetention + time.Millisecond)
		w := post(t, p.decode, "/v1/completions", "r1", jsonObject{"prompt": "x", "stream": true, "kv_transfer_params": params})
		if w.Code != http.StatusConflict || !strings.Contains(w.Body.String(), "kv_expired") {
			t.Errorf("late import: status %d, body %s", w.Code, w.Body)
		}
		if s := p.prefill.Stats(); s.PrefillTokensUnused != 1000 {
			t.Errorf("unused prefill tokens %d, want 1000", s.PrefillTokensUnused)
		}
		checkIdle(t, p.prefill, p.decode)
	})
}

// Guards against a prompt with CrashMarker that does not crash the engine, state
// that is left after the crash, and an engine that does not restart after
// RestartAfter.
func TestCrashMarkerLosesState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newEnginePair(nil)
		prefill(t, p.prefill, "r1", "kept result")
		if w := post(t, p.prefill, "/v1/completions", "r2", jsonObject{"prompt": CrashMarker}); w.Code != 0 {
			t.Errorf("status %d, want an aborted connection", w.Code)
		}
		if w := post(t, p.prefill, "/v1/completions", "r3", jsonObject{"prompt": "x"}); w.Code != 0 {
			t.Errorf("status %d while down, want an aborted connection", w.Code)
		}
		checkIdle(t, p.prefill)
		time.Sleep(DefaultRestartAfter)
		if w := post(t, p.prefill, "/v1/completions", "r4", jsonObject{"prompt": "x"}); w.Code != http.StatusOK {
			t.Errorf("status %d after the restart", w.Code)
		}
	})
}

// Guards against a Stall fault that does not delay the work by its duration, and a
// Slow fault that does not multiply the duration of the work by Factor or that
// still does so after its end.
func TestSpeedFaults(t *testing.T) {
	for _, tt := range []struct {
		name  string
		fault fault.Fault
		until time.Duration
		want  time.Duration
	}{
		{"stall", fault.Fault{Kind: fault.Stall}, 5 * time.Second, 5250 * time.Millisecond},
		{"slow", fault.Fault{Kind: fault.Slow, Factor: 3}, time.Hour, 750 * time.Millisecond},
		{"slow and over", fault.Fault{Kind: fault.Slow, Factor: 2}, 100 * time.Millisecond, 300 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := New(Config{Name: "e"})
				tt.fault.Until = time.Now().Add(tt.until)
				e.Faults.Add(tt.fault)
				start := time.Now()
				post(t, e, "/v1/completions", "r", jsonObject{"prompt": "x", "max_tokens": 11})
				if got := time.Since(start).Round(time.Millisecond); got != tt.want {
					t.Errorf("11 tokens took %v, want %v", got, tt.want)
				}
			})
		})
	}
}
