package openai

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/egretflow/egretflow"
	"pgregory.net/rapid"
)

// TestScanChunk compares the scanner with encoding/json. It guards against wrong
// values when strings contain escapes or when unknown members with nested values
// precede or follow the known ones.
func TestScanChunk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id, content := rapid.String().Draw(t, "id"), rapid.String().Draw(t, "content")
		extra := rapid.SampledFrom([]any{nil, 1.5, true, "x\"}", map[string]any{"a": []any{"]", map[string]any{}}}}).Draw(t, "extra")
		finish := rapid.SampledFrom([]any{nil, "stop"}).Draw(t, "finish")
		data, err := json.Marshal(map[string]any{
			"aa": extra, "id": id, "zz": extra,
			"choices": []any{map[string]any{"index": 0, "a": extra, "delta": map[string]any{"content": content}, "finish_reason": finish}},
		})
		if err != nil {
			t.Fatal(err)
		}
		c, err := ScanChunk(data)
		if err != nil {
			t.Fatalf("scan %s: %v", data, err)
		}
		text, err := c.AppendText(nil)
		if err != nil || string(text) != strings.ToValidUTF8(content, "\uFFFD") {
			t.Errorf("text is %q, want %q: %v", text, content, err)
		}
		if want, _ := finish.(string); c.FinishReason() != want {
			t.Errorf("finish reason is %q, want %q", c.FinishReason(), want)
		}
		var changed struct{ ID string }
		if err := json.Unmarshal(c.AppendWithID(nil, "other"), &changed); err != nil || changed.ID != "other" {
			t.Errorf("id is %q after the change: %v", changed.ID, err)
		}
	})
}

// TestScanMalformed guards against a truncated or malformed chunk that is
// forwarded, and against a scan that does not terminate.
func TestScanMalformed(t *testing.T) {
	const whole = `{"id":"a","choices":[{"index":0,"delta":{"content":"x\"y"},"finish_reason":null}],"usage":{"prompt_tokens":1}}`
	if _, err := ScanChunk([]byte(whole)); err != nil {
		t.Fatal(err)
	}
	for n := range len(whole) {
		if _, err := ScanChunk([]byte(whole[:n])); err == nil {
			t.Errorf("no error for %s", whole[:n])
		}
	}
	for _, text := range []string{"[]", "null", `{"id" "a"}`, `{"id":"a",}x`, `{"choices":[{]}`, whole + "x", `{"a":}`} {
		if _, err := ScanChunk([]byte(text)); err == nil {
			t.Errorf("no error for %s", text)
		}
	}
}

// TestBody guards against wrong bodies for engines: of a prefill, of a decode and
// of a continued stream (4.5, 4.8).
func TestBody(t *testing.T) {
	request, err := ParseRequest(Chat, []byte(`{"model":"m","max_completion_tokens":10,"temperature":0.5,"tools":[{"x":1}],
		"stream_options":{"include_usage":false},"messages":[{"role":"user","content":[{"type":"text","text":"Hello"}]}]}`))
	if err != nil {
		t.Fatal(err)
	}
	transfer := json.RawMessage(`{"remote_host":"h"}`)
	for name, tt := range map[string]struct {
		variant BodyOptions
		want    string
	}{
		"Prefill": {BodyOptions{Prefill: true, Priority: 2}, `{"kv_transfer_params":{"do_remote_decode":true,"do_remote_prefill":false},"max_tokens":1,"messages":[{"role":"user","content":[{"type":"text","text":"Hello"}]}],"model":"m","priority":2,"stream":false,"temperature":0.5,"tools":[{"x":1}]}`},
		"Decode":  {BodyOptions{TransferParams: transfer}, `{"kv_transfer_params":{"remote_host":"h"},"max_completion_tokens":10,"messages":[{"role":"user","content":[{"type":"text","text":"Hello"}]}],"model":"m","priority":0,"stream":true,"stream_options":{"include_usage":true},"temperature":0.5,"tools":[{"x":1}]}`},
		"Continued": {BodyOptions{TransferParams: transfer, SentText: "a \"b\"", SentTokens: 4},
			`{"add_generation_prompt":false,"continue_final_message":true,"kv_transfer_params":{"remote_host":"h"},"max_completion_tokens":6,"messages":[{"role":"user","content":[{"type":"text","text":"Hello"}]},{"content":"a \"b\"","role":"assistant"}],"model":"m","priority":0,"stream":true,"stream_options":{"include_usage":true},"temperature":0.5,"tools":[{"x":1}]}`},
	} {
		if got := string(request.EngineBody(tt.variant)); got != tt.want {
			t.Errorf("%s: body is %s, want %s", name, got, tt.want)
		}
	}
	if want := "user\nHello\n"; request.Prompt != want {
		t.Errorf("prompt is %q, want %q", request.Prompt, want)
	}
}

// Guards against messages that crash servers and are not recognized in another chat,
// and against the last message, which is the request's own, among them.
func TestPartsAreSharedMessages(t *testing.T) {
	parts := func(messages string) []egretflow.PartHash {
		request, err := ParseRequest(Chat, []byte(`{"model":"m","messages":[`+messages+`]}`))
		if err != nil {
			t.Fatal(err)
		}
		return request.Parts
	}
	system, first, second := `{"role":"system","content":"s"}`, `{"role":"user","content":"a"}`, `{"role":"user","content":"b"}`
	a, b := parts(system+","+first+","+second), parts(second+","+system+","+first)
	if len(a) != 2 || len(b) != 2 || a[0] != b[1] || a[1] == b[0] {
		t.Errorf("parts %v and %v, want the same hash of the shared message", a, b)
	}
	if got := parts(first); len(got) != 0 {
		t.Errorf("parts %v of a chat with one message", got)
	}
	for messages, want := range map[int]int{100: 100, 2 * egretflow.MaxParts: egretflow.MaxParts} {
		if got := parts(strings.Repeat(system+",", messages) + first); len(got) != want {
			t.Errorf("%d parts of %d messages, want %d", len(got), messages, want)
		}
	}
}

// TestToolCalls guards against tool calls that are lost or garbled when a stream is
// merged into a non-streamed response.
func TestToolCalls(t *testing.T) {
	var answer ResponseBuilder
	for _, data := range []string{
		`{"id":"a","choices":[{"delta":{"role":"assistant","tool_calls":[{"index":0,"id":"c1","type":"function","function":{"name":"look","arguments":"{\"a\""}}]}}]}`,
		`{"id":"a","choices":[{"delta":{"tool_calls":[{"index":0,"function":{"arguments":":1}"}}]},"finish_reason":"tool_calls"}]}`,
	} {
		c, err := ScanChunk([]byte(data))
		if err != nil || !c.HasOtherMembers {
			t.Fatalf("scan: other %v, %v", c.HasOtherMembers, err)
		}
		if err := answer.Add(&c); err != nil {
			t.Fatal(err)
		}
	}
	calls, _ := json.Marshal(answer.otherMembers["tool_calls"])
	if want := `[{"function":{"arguments":"{\"a\":1}","name":"look"},"id":"c1","index":0,"type":"function"}]`; string(calls) != want {
		t.Errorf("tool calls are %s, want %s", calls, want)
	}
}

func BenchmarkScanChunk(b *testing.B) {
	data := []byte(`{"id":"7ad9dfcf21efe85","object":"chat.completion.chunk","created":1796364002,"model":"letter-writers","choices":[{"index":0,"delta":{"content":"w4f28d572-3 "},"finish_reason":null}]}`)
	for b.Loop() {
		if _, err := ScanChunk(data); err != nil {
			b.Fatal(err)
		}
	}
}
