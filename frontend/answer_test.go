package frontend_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
)

func TestStreamedAnswer(t *testing.T) {
	run(t, func(w *world) {
		t := w.t
		resp := w.must(chat(10, true).with("X-Request-Id", "letter-1"))
		w.checkWhole(resp, 10)
		if got := resp.Header.Get("X-Request-Id"); got != "letter-1" {
			t.Errorf("X-Request-Id is %q", got)
		}
		seen := map[string]bool{}
		for _, e := range events(resp.body) {
			var c chunk
			if e.data != "[DONE]" && json.Unmarshal([]byte(e.data), &c) == nil && strings.HasPrefix(c.ID, "attempt-") {
				t.Errorf("event shows the attempt id: %s", e.data)
			}
			seen[e.id] = true
		}
		// Ten tokens, of which the last shares its id with the end of the answer.
		if len(seen) != 11 {
			t.Errorf("answer has %d different event ids, want 10 and none for [DONE]", len(seen))
		}
		w.checkFreed()
	})
}

func TestPlainAnswer(t *testing.T) {
	run(t, func(w *world) {
		t := w.t
		resp := w.must(chat(10, false))
		var c chunk
		if err := json.Unmarshal(resp.body, &c); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("status %d, %v: %s", resp.StatusCode, err, resp.body)
		}
		if got := c.Choices[0].Message.Content; got != wantText(10) {
			t.Errorf("answer is %q, want %q", got, wantText(10))
		}
		if c.Choices[0].FinishReason != "length" || c.Usage == nil || c.Usage.CompletionTokens != 10 {
			t.Errorf("answer has no finish reason or usage: %s", resp.body)
		}
		w.checkFreed()
	})
}

func TestModels(t *testing.T) {
	run(t, func(w *world) {
		t := w.t
		for key, want := range map[string]int{"key-v": 1, "key-k": 2} {
			resp := w.must(request{method: http.MethodGet, path: "/v1/models", key: key})
			if got := strings.Count(string(resp.body), `"object":"model"`); got != want {
				t.Errorf("caller with key %s sees %d models, want %d: %s", key, got, want, resp.body)
			}
		}
	})
}
