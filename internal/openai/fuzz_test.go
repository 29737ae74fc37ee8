package openai

import (
	"encoding/json"
	"testing"
	"time"
	"unicode/utf8"
)

// Fuzzes the request bodies of callers: every accepted body must result in
// well-formed bodies for engines, in which an engine reads the same model as
// egretflow and no n other than 1.
func FuzzParseRequest(f *testing.F) {
	for _, body := range []string{
		`{"model":"m","messages":[{"role":"user","content":"hi"},{"role":"user","content":[{"text":"a"}]}],"max_tokens":5}`,
		`{"model":"m","prompt":"hello","stream":true,"stream_options":{"include_usage":true},"max_completion_tokens":9,"n":1}`,
		`{"model":"m","messages":[{"role":"assistant","content":null}],"continue_final_message":true}`,
		`{"model":"theirs","MODEL":"m","n":5,"N":1,"prompt":"hello","messages":[{}]}`,
		`{"model":"m","prompt":"hello","ſtream":true,"messages":[{"content":"x"}]}`,
	} {
		f.Add(body, true)
		f.Add(body, false)
	}
	f.Fuzz(func(t *testing.T, body string, chat bool) {
		endpoint := Completions
		if chat {
			endpoint = Chat
		}
		r, err := ParseRequest(endpoint, []byte(body))
		if err != nil {
			return
		}
		for _, v := range []BodyOptions{
			{Prefill: true}, {}, {SentText: "sent", SentTokens: 1}, {TransferParams: json.RawMessage(`{"remote_port":1}`)},
		} {
			var members map[string]json.RawMessage
			data := r.EngineBody(v)
			if err := json.Unmarshal(data, &members); err != nil {
				t.Fatalf("body %s: %v", data, err)
			}
			var model string
			if err := json.Unmarshal(members["model"], &model); err != nil || model != r.Model {
				t.Fatalf("an engine reads model %q, want %q, error %v", model, r.Model, err)
			}
			if n, ok := members["n"]; ok && string(n) != "1" && string(n) != "null" {
				t.Fatalf("an engine reads n %s", n)
			}
		}
	})
}

// Fuzzes the chunk scanner: it must accept well-formed chunks according to
// encoding/json, and what it returns and rewrites must be valid.
func FuzzScanChunk(f *testing.F) {
	for _, data := range []string{
		`{"id":"a-1","choices":[{"index":0,"delta":{"role":"assistant","content":"w\u0031 "},"finish_reason":null}]}`,
		`{"id":"a-1","choices":[{"text":"x\\","finish_reason":"stop"}],"usage":{"prompt_tokens":3,"completion_tokens":1}}`,
		`{"id":"a-1","choices":[{"delta":{"tool_calls":[{"index":0,"id":"c","function":{"arguments":"{}"}}]}}]}`,
		`{"choices":[],"usage":null}`,
		`{"choices":[],"usage":{"prompt_tokens":-3,"prompt_tokens_details":{"cached_tokens":-1}}}`,
	} {
		f.Add([]byte(data))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := ScanChunk(data)
		var want struct {
			Choices json.RawMessage `json:"choices"`
		}
		wellFormed := json.Unmarshal(data, &want) == nil && string(data) != "null"
		if err != nil {
			if wellFormed && (want.Choices == nil || string(want.Choices) == "null") {
				t.Fatalf("well-formed chunk %s is rejected", data)
			}
			return
		}
		text, textErr := c.AppendText(nil)
		if wellFormed && textErr == nil && utf8.Valid(data) && !utf8.Valid(text) {
			t.Fatalf("text %q of %s", text, data)
		}
		c.FinishReason()
		if c.HasUsage() {
			if u, err := c.Usage(); err == nil && (u.PromptTokens < 0 || u.CompletionTokens < 0 || u.CachedTokens() < 0) {
				t.Fatalf("usage %+v", u)
			}
		}
		if renamed := c.AppendWithID(nil, "other"); wellFormed && !json.Valid(renamed) {
			t.Fatalf("chunk %s with another id is %s", data, renamed)
		}
		clone := c.Clone()
		clone.SetUsage(Usage{PromptTokens: 1})
		var a ResponseBuilder
		for range 2 {
			if a.Add(&c) != nil {
				return
			}
		}
		if _, err := a.JSON(Chat, "id", "model", time.Unix(1, 0)); err != nil {
			t.Fatalf("response for %s: %v", data, err)
		}
	})
}
