package engine

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretflow/egretflow"
)

func get(e *Engine, path string) string {
	w := httptest.NewRecorder()
	e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	return strings.TrimSpace(w.Body.String())
}

// Waiting requests run by priority and then by arrival, and a full queue
// rejects.
func TestPriorityAndOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Config{Slots: 1, MaxWaiting: 4})
		done := make(chan string, 5)
		for _, id := range []string{"first 0", "low 3", "low too 3", "high 1", "top 0"} {
			go func() {
				post(t, e, "/v1/completions", id, call{"prompt": "x", "priority": int(id[len(id)-1] - '0')})
				done <- id
			}()
			synctest.Wait()
		}
		if w := post(t, e, "/v1/completions", "more", call{"prompt": "x"}); w.Code != http.StatusServiceUnavailable || !strings.Contains(w.Body.String(), "engine_overloaded") {
			t.Errorf("status %d, body %s", w.Code, w.Body)
		}
		var order []string
		for range cap(done) {
			order = append(order, <-done)
		}
		if want := []string{"first 0", "top 0", "high 1", "low 3", "low too 3"}; !slices.Equal(order, want) {
			t.Errorf("order %q, want %q", order, want)
		}
		checkIdle(t, e)
	})
}

// The cache saves the shared chunks of a prompt, and the least recently used
// prompt is evicted when another needs the memory.
func TestPromptCache(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The memory holds two prompts of two chunks and one answer each.
		e := New(Config{Blocks: 70, EventGapChance: -1})
		a, b, c := strings.Repeat("a", 2048), strings.Repeat("b", 2048), strings.Repeat("c", 2048)
		for n, tt := range []struct {
			prompt string
			want   int
		}{
			{a, 0}, {a, 511}, {b, 0}, {a + "tail", 512}, {c, 0}, {a, 511}, {b, 0},
		} {
			before := e.Stats()
			post(t, e, "/v1/completions", fmt.Sprint(n), call{"prompt": tt.prompt, "max_tokens": 1})
			if got := e.Stats().CachedTokens - before.CachedTokens; got != tt.want {
				t.Errorf("request %d: %d cached tokens, want %d", n, got, tt.want)
			}
		}
		checkIdle(t, e)
	})
}

// An engine that checks rejects a stale order, one that does not follows it.
func TestFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprint(checks), func(t *testing.T) {
			e := New(Config{ChecksFencing: checks})
			post(t, e, "/orders", "", call{"fencing": 7, "role": "Prefill"})
			w := post(t, e, "/orders", "", call{"fencing": 6, "role": "Decode"})
			want := `{"fencing":6,"role":"Decode","model":"","adapter":"","version":"","state":"Ready"}`
			if checks {
				want = `{"fencing":7,"role":"Prefill","model":"","adapter":"","version":"","state":"Ready"}`
				if w.Code != http.StatusConflict || !strings.Contains(w.Body.String(), "stale_fencing") {
					t.Errorf("status %d, body %s", w.Code, w.Body)
				}
			}
			if got := get(e, "/orders"); got != want {
				t.Errorf("state %s, want %s", got, want)
			}
		})
	}
}

// Two engines that load at once share the rate of the weight store, and reject
// requests until they are ready. Prefill results of the old model are gone.
func TestModelLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		weights := &WeightStore{BytesPerSecond: 1000}
		cfg := Config{Model: "old", Weights: weights, ModelBytes: 5000}
		first, second := New(cfg), New(cfg)
		for _, e := range []*Engine{first, second} {
			post(t, e, "/v1/completions", "", call{"model": "old", "prompt": strings.Repeat("a", 2048), "kv_transfer_params": call{"do_remote_decode": true}})
			if e.Stats().BlocksInUse == 0 {
				t.Error("the prefill result holds no memory")
			}
			post(t, e, "/orders", "", call{"fencing": 1, "role": "Decode", "model": "new"})
			checkIdle(t, e)
		}
		status := func(e *Engine) int {
			return post(t, e, "/v1/completions", "", call{"model": "new", "prompt": "x", "max_tokens": 1}).Code
		}
		time.Sleep(6 * time.Second)
		if a, b := status(first), status(second); a != http.StatusOK || b != http.StatusServiceUnavailable {
			t.Errorf("after 6s: status %d and %d, want 200 and 503", a, b)
		}
		time.Sleep(5 * time.Second)
		if got := status(second); got != http.StatusOK {
			t.Errorf("after 11s: status %d, want 200", got)
		}
	})
}

// A load report shows the state at the start of its interval.
func TestReportLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Config{Role: egretflow.RolePrefill})
		time.Sleep(500 * time.Millisecond)
		go post(t, e, "/v1/completions", "r", call{"prompt": "x", "max_tokens": 100})
		// The request runs until 2.975 s, the reports are of 0 s to 4 s.
		for _, want := range []string{`{"running":0,`, `{"running":1,`, `{"running":1,`, `{"running":0,`, `{"running":0,`} {
			time.Sleep(400 * time.Millisecond)
			if got := get(e, "/load"); !strings.HasPrefix(got, want) {
				t.Errorf("load %s, want %s...", got, want)
			}
			time.Sleep(400 * time.Millisecond)
		}
	})
}

// Cache events come after the lag, and a lost one leaves a gap in the numbers.
func TestCacheEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Config{EventGapChance: 0.3})
		for n := range 10 {
			post(t, e, "/v1/completions", "", call{"prompt": strings.Repeat(fmt.Sprint(n), 1024), "max_tokens": 1})
		}
		read := func() int {
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			defer cancel()
			w := httptest.NewRecorder()
			e.ServeHTTP(w, httptest.NewRequestWithContext(ctx, http.MethodGet, "/kv_events", nil))
			return strings.Count(w.Body.String(), `"type":"BlockStored"`)
		}
		if got := read(); got != 0 {
			t.Errorf("%d events before the lag", got)
		}
		time.Sleep(DefaultReportLag)
		if got := read(); got == 0 || got == 10 {
			t.Errorf("%d of 10 events, want some but not all", got)
		}
	})
}

// An answer that is continued with its first tokens in the request goes on
// with the next token, in both APIs.
func TestContinuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Config{})
		chat := []Message{{"user", "hello"}}
		for _, tt := range []struct {
			name, path, prompt string
			body               call
		}{
			{"chat", "/v1/chat/completions", PromptText(chat), call{
				"messages":               append(chat, Message{"assistant", AnswerText(PromptText(chat), 1, 3)}),
				"continue_final_message": true,
			}},
			{"completion", "/v1/completions", "hello", call{"prompt": "hello" + AnswerText("hello", 1, 3)}},
			{"own text as prompt", "/v1/completions", "hello" + AnswerText("other", 1, 3), call{
				"prompt": "hello" + AnswerText("other", 1, 3) + AnswerText("hello"+AnswerText("other", 1, 3), 1, 3),
			}},
		} {
			tt.body["max_tokens"] = 2
			w := post(t, e, tt.path, "", tt.body)
			if want := AnswerText(tt.prompt, 4, 5); !strings.Contains(w.Body.String(), `"`+want+`"`) {
				t.Errorf("%s: got %s, want text %q", tt.name, w.Body, want)
			}
		}
	})
}
