package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

const (
	maxBodyBytes     = 16 << 20
	defaultMaxTokens = 16
)

// transferParams is the kv_transfer_params object of requests and responses.
type transferParams struct {
	DoRemoteDecode  bool   `json:"do_remote_decode"`
	DoRemotePrefill bool   `json:"do_remote_prefill"`
	RemoteEngineID  string `json:"remote_engine_id,omitempty"`
	RemoteBlockIDs  []int  `json:"remote_block_ids,omitempty"`
	RemoteHost      string `json:"remote_host,omitempty"`
	RemotePort      int    `json:"remote_port,omitempty"`
}

// body is the part of a completion request that the engine uses.
type body struct {
	Model         string    `json:"model"`
	Messages      []Message `json:"messages"`
	Prompt        string    `json:"prompt"`
	MaxTokens     *int      `json:"max_tokens"`
	Stream        bool      `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	Priority             int             `json:"priority"`
	ContinueFinalMessage bool            `json:"continue_final_message"`
	Transfer             *transferParams `json:"kv_transfer_params"`
}

// apiError is an error response in the OpenAI format, sent with the HTTP status.
type apiError struct {
	status  int
	code    string
	message string
}

func (e *apiError) Error() string { return fmt.Sprintf("%d %s: %s", e.status, e.code, e.message) }

func (e *apiError) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(e.status)
	writeJSON(w, map[string]any{"error": map[string]any{
		"message": e.message, "type": "engine_error", "code": e.code,
	}})
}

func badRequest(format string, args ...any) *apiError {
	return &apiError{http.StatusBadRequest, "bad_request", fmt.Sprintf(format, args...)}
}

func writeJSON(w io.Writer, v any) {
	// The client may have disconnected; there is nothing left to do then.
	_ = json.NewEncoder(w).Encode(v)
}

// readTask decodes a completion request. The chat flag selects the chat completions
// API instead of the completions API.
func (e *Engine) readTask(w http.ResponseWriter, r *http.Request, chat bool) (*task, *apiError) {
	var b body
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&b); err != nil {
		return nil, badRequest("decode body: %v", err)
	}
	// net/http detects a closed connection only after the body has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	t := &task{
		id: r.Header.Get("X-Request-Id"), model: b.Model, chat: chat, stream: b.Stream,
		includeUsage: b.StreamOptions.IncludeUsage, priority: b.Priority, maxTokens: defaultMaxTokens,
		kind: kindCombined,
	}
	if b.MaxTokens != nil {
		t.maxTokens = *b.MaxTokens
	}
	if t.maxTokens < 1 {
		return nil, badRequest("max_tokens must be at least 1")
	}
	if chat {
		t.prompt = chatPrompt(b.Messages, b.ContinueFinalMessage)
	} else {
		t.prompt = completionPrompt(b.Prompt)
	}
	if p := b.Transfer; p != nil && p.DoRemoteDecode {
		t.kind = kindPrefill
		t.stream = false
		t.maxTokens = 1
	} else if p != nil && p.DoRemotePrefill {
		t.kind = kindImport
		t.kvSource = *p
	}
	return t, nil
}
