package openai

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
)

// BodyOptions says how the request body for an engine differs from the body that the
// caller sent.
type BodyOptions struct {
	// Prefill requests only a prefill, whose KV cache another engine imports.
	Prefill bool
	// TransferParams holds the kv_transfer_params that the prefill returned; it is
	// sent with the decode request.
	TransferParams json.RawMessage
	// Priority is the scheduling priority; a lower value runs earlier.
	Priority int
	// SentText and SentTokens are the text and the number of tokens that were
	// already sent to the caller; the engine continues after them.
	SentText   string
	SentTokens int
}

// prefillTransferParams are the kv_transfer_params of a prefill request.
var prefillTransferParams = json.RawMessage(`{"do_remote_decode":true,"do_remote_prefill":false}`)

// EngineBody returns the request body for an engine.
func (r *Request) EngineBody(v BodyOptions) []byte {
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
		fields["kv_transfer_params"] = prefillTransferParams
		return joinObject(fields)
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	if r.MaxTokens > 0 {
		fields[r.tokensField] = json.RawMessage(strconv.Itoa(r.MaxTokens - v.SentTokens))
	}
	// kv_transfer_params from the caller must not reach an engine either.
	delete(fields, "kv_transfer_params")
	if len(v.TransferParams) > 0 {
		fields["kv_transfer_params"] = v.TransferParams
	}
	return joinObject(fields)
}

// continueAfter appends the text that was already sent to the prompt or, for a
// chat, adds it as an assistant message to be continued. If the caller's request
// already continues its final message, the text is appended to that message.
func (r *Request) continueAfter(fields map[string]json.RawMessage, sent string) {
	if r.Endpoint == Completions {
		fields["prompt"] = encode(r.Prompt + sent)
		return
	}
	var messages []json.RawMessage
	// No error can occur: ParseRequest decoded the messages before.
	_ = json.Unmarshal(fields["messages"], &messages)
	if string(fields["continue_final_message"]) == "true" && len(messages) > 0 {
		var last Message
		_ = json.Unmarshal(messages[len(messages)-1], &last)
		sent = string(last.Content) + sent
		messages = messages[:len(messages)-1]
	}
	messages = append(messages, encode(map[string]string{"role": "assistant", "content": sent}))
	fields["messages"] = joinArray(messages)
	fields["continue_final_message"] = json.RawMessage("true")
	fields["add_generation_prompt"] = json.RawMessage("false")
}

// encode returns v as JSON.
func encode(v any) json.RawMessage {
	// No error can occur: callers pass strings and maps of encodable values.
	data, _ := json.Marshal(v)
	return data
}

// joinObject returns a JSON object with the members in sorted order. It copies the
// values unchanged, while encoding/json would scan and copy a long prompt two more
// times.
func joinObject(fields map[string]json.RawMessage) []byte {
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

// joinArray returns a JSON array of the unchanged values.
func joinArray(values []json.RawMessage) json.RawMessage {
	var b bytes.Buffer
	for n, v := range values {
		b.WriteByte("[,"[min(n, 1)])
		b.Write(v)
	}
	b.WriteByte(']')
	return b.Bytes()
}
