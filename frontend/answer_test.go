package frontend_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
)

// TestStreamedAnswer guards against streams with missing or wrong events, and
// against events that show the internal attempt id.
func TestStreamedAnswer(t *testing.T) {
	run(t, func(env *testEnv) {
		t := env.t
		resp := env.mustDo(chat(10, true).withHeader("X-Request-Id", "letter-1"))
		env.checkComplete(resp, 10)
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
		// The ten tokens have ten ids, of which the end of the answer repeats the
		// last. [DONE] has no id.
		if len(seen) != 11 {
			t.Errorf("answer has %d different event ids, want 10 and none for [DONE]", len(seen))
		}
		env.checkFreed()
	})
}

// TestPlainAnswer guards against JSON answers with wrong text or without finish
// reason or usage.
func TestPlainAnswer(t *testing.T) {
	run(t, func(env *testEnv) {
		t := env.t
		resp := env.mustDo(chat(10, false))
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
		env.checkFreed()
	})
}

// TestModels guards against model lists with models that the caller cannot use, and
// against lists without models that it can use.
func TestModels(t *testing.T) {
	run(t, func(env *testEnv) {
		t := env.t
		for key, want := range map[string]int{"key-v": 1, "key-k": 2} {
			resp := env.mustDo(request{method: http.MethodGet, path: "/v1/models", key: key})
			if got := strings.Count(string(resp.body), `"object":"model"`); got != want {
				t.Errorf("caller with key %s sees %d models, want %d: %s", key, got, want, resp.body)
			}
		}
	})
}
