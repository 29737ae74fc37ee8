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

// Guards against waiting requests that do not run in order of priority and then
// arrival, and against a full queue that accepts a request.
func TestPriorityAndOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Config{Slots: 1, MaxWaiting: 4})
		done := make(chan string, 5)
		for _, id := range []string{"first 0", "low 3", "low too 3", "high 1", "top 0"} {
			go func() {
				post(t, e, "/v1/completions", id, jsonObject{"prompt": "x", "priority": int(id[len(id)-1] - '0')})
				done <- id
			}()
			synctest.Wait()
		}
		if w := post(t, e, "/v1/completions", "more", jsonObject{"prompt": "x"}); w.Code != http.StatusServiceUnavailable || !strings.Contains(w.Body.String(), "engine_overloaded") {
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

// Guards against a prompt cache that does not reuse the chunks two prompts share, or
// that does not evict the least recently used prompt when memory is needed.
func TestPromptCache(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The memory is enough for two prompts of two chunks each with its answer.
		e := New(Config{Blocks: 70, EventLossProbability: -1})
		a, b, c := strings.Repeat("a", 2048), strings.Repeat("b", 2048), strings.Repeat("c", 2048)
		for n, tt := range []struct {
			prompt string
			want   int
		}{
			{a, 0}, {a, 511}, {b, 0}, {a + "tail", 512}, {c, 0}, {a, 511}, {b, 0},
		} {
			before := e.Stats()
			post(t, e, "/v1/completions", fmt.Sprint(n), jsonObject{"prompt": tt.prompt, "max_tokens": 1})
			if got := e.Stats().CachedTokens - before.CachedTokens; got != tt.want {
				t.Errorf("request %d: %d cached tokens, want %d", n, got, tt.want)
			}
		}
		checkIdle(t, e)
	})
}

// Guards against an engine with ChecksFencing that applies an order with a stale
// fencing token, and an engine without it that rejects one.
func TestStaleFencingToken(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprint(checks), func(t *testing.T) {
			e := New(Config{ChecksFencing: checks})
			post(t, e, "/orders", "", jsonObject{"fencing": 7, "role": "Prefill"})
			w := post(t, e, "/orders", "", jsonObject{"fencing": 6, "role": "Decode"})
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

// Guards against two engines that load at the same time, each at the full rate of the
// weight store, an engine that accepts requests before its model is ready, and
// prefill results that outlive a change of model.
func TestModelLoadsShareWeightStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		weights := &WeightStore{BytesPerSecond: 1000}
		cfg := Config{Model: "old", Weights: weights, ModelBytes: 5000}
		first, second := New(cfg), New(cfg)
		for _, e := range []*Engine{first, second} {
			post(t, e, "/v1/completions", "", jsonObject{"model": "old", "prompt": strings.Repeat("a", 2048), "kv_transfer_params": jsonObject{"do_remote_decode": true}})
			if e.Stats().BlocksInUse == 0 {
				t.Error("the prefill result uses no memory")
			}
			post(t, e, "/orders", "", jsonObject{"fencing": 1, "role": "Decode", "model": "new"})
			checkIdle(t, e)
		}
		status := func(e *Engine) int {
			return post(t, e, "/v1/completions", "", jsonObject{"model": "new", "prompt": "x", "max_tokens": 1}).Code
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

// Guards against a load report that shows a later state than that at the start of
// its interval.
func TestLoadReportLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Config{Role: egretflow.RolePrefill})
		time.Sleep(500 * time.Millisecond)
		go post(t, e, "/v1/completions", "r", jsonObject{"prompt": "x", "max_tokens": 100})
		// The request runs until 2.975 s. The reports show the state at 0 s to 4 s.
		for _, want := range []string{`{"running":0,`, `{"running":1,`, `{"running":1,`, `{"running":0,`, `{"running":0,`} {
			time.Sleep(400 * time.Millisecond)
			if got := get(e, "/load"); !strings.HasPrefix(got, want) {
				t.Errorf("load %s, want %s...", got, want)
			}
			time.Sleep(400 * time.Millisecond)
		}
	})
}

// Guards against cache events that are sent before ReportLag has passed, and against
// EventLossProbability losing none or all of them.
func TestCacheEventsLagAndGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Config{EventLossProbability: 0.3})
		for n := range 10 {
			post(t, e, "/v1/completions", "", jsonObject{"prompt": strings.Repeat(fmt.Sprint(n), 1024), "max_tokens": 1})
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

// Guards against a request that contains the first tokens of its answer, in either
// API, and gets an answer that does not continue with the next token.
func TestContinuedAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Config{})
		chat := []Message{{"user", "hello"}}
		for _, tt := range []struct {
			name, path, prompt string
			body               jsonObject
		}{
			{"chat", "/v1/chat/completions", PromptText(chat), jsonObject{
				"messages":               append(chat, Message{"assistant", AnswerText(PromptText(chat), 1, 3)}),
				"continue_final_message": true,
			}},
			{"completion", "/v1/completions", "hello", jsonObject{"prompt": "hello" + AnswerText("hello", 1, 3)}},
			{"own text as prompt", "/v1/completions", "hello" + AnswerText("other", 1, 3), jsonObject{
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
