package openai

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
)

// Variant says how the body towards an engine differs from the caller's.
type Variant struct {
	// Prefill asks for a prefill whose result another engine imports.
	Prefill bool
	// Transfer holds the kv_transfer_params of the prefill for a decode.
	Transfer json.RawMessage
	// Priority is the rank of the importance, lower runs earlier.
	Priority int
	// SentText and SentTokens describe the part of the answer that the caller
	// already has; the engine continues after it.
	SentText   string
	SentTokens int
}

var prefillTransfer = json.RawMessage(`{"do_remote_decode":true,"do_remote_prefill":false}`)

// Body returns the body for an engine.
func (r *Request) Body(v Variant) []byte {
	fields := maps.Clone(r.fields)
	fields["priority"] = json.RawMessage(strconv.Itoa(v.Priority))
	if v.SentText != "" {
		r.continueAfter(fields, v.SentText)
	}
	if v.Prefill {
		delete(fields, "stream_options")
		delete(fields, "max_completion_tokens")
		fields["stream"] = json.RawMessage("false")
		fields["max_tokens"] = json.RawMessage("1")
		fields["kv_transfer_params"] = prefillTransfer
		return join(fields)
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	if r.MaxTokens > 0 {
		fields[r.tokensField] = json.RawMessage(strconv.Itoa(r.MaxTokens - v.SentTokens))
	}
	// The caller's own member must not reach an engine either.
	delete(fields, "kv_transfer_params")
	if len(v.Transfer) > 0 {
		fields["kv_transfer_params"] = v.Transfer
	}
	return join(fields)
}

// continueAfter appends the text that was already sent to the prompt. A caller
// that itself continues its final message has that message extended.
func (r *Request) continueAfter(fields map[string]json.RawMessage, sent string) {
	if r.Endpoint == Completions {
		fields["prompt"] = encode(r.Prompt + sent)
		return
	}
	var messages []json.RawMessage
	// The messages were decoded when the request was parsed.
	_ = json.Unmarshal(fields["messages"], &messages)
	if string(fields["continue_final_message"]) == "true" && len(messages) > 0 {
		var last Message
		_ = json.Unmarshal(messages[len(messages)-1], &last)
		sent = string(last.Content) + sent
		messages = messages[:len(messages)-1]
	}
	messages = append(messages, encode(map[string]string{"role": "assistant", "content": sent}))
	fields["messages"] = joinList(messages)
	fields["continue_final_message"] = json.RawMessage("true")
	fields["add_generation_prompt"] = json.RawMessage("false")
}

func encode(v any) json.RawMessage {
	// Strings, and maps of values that encode, always encode.
	data, _ := json.Marshal(v)
	return data
}

// join writes the members as they are; encoding/json would scan and copy a long
// prompt twice more.
func join(fields map[string]json.RawMessage) []byte {
	var b bytes.Buffer
	for n, key := range slices.Sorted(maps.Keys(fields)) {
		b.WriteByte("{,"[min(n, 1)])
		b.Write(encode(key))
		b.WriteByte(':')
		b.Write(fields[key])
	}
	b.WriteByte('}')
	return b.Bytes()
}

func joinList(values []json.RawMessage) json.RawMessage {
	var b bytes.Buffer
	for n, v := range values {
		b.WriteByte("[,"[min(n, 1)])
		b.Write(v)
	}
	b.WriteByte(']')
	return b.Bytes()
}
