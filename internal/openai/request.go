package openai

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/egretflow/egretflow"
	"github.com/pkg/errors"
)

// Endpoint is the path of a completion endpoint.
type Endpoint string

// The supported endpoints.
const (
	Chat        Endpoint = "/v1/chat/completions"
	Completions Endpoint = "/v1/completions"
)

// maxRequestTokens bounds max_tokens, so that token estimates cannot overflow.
const maxRequestTokens = 1 << 20

// Request is a completion request of a caller.
type Request struct {
	Endpoint Endpoint
	Model    string
	Stream   bool
	// IncludeUsage reports whether the caller requests the usage at the end of a
	// stream.
	IncludeUsage bool
	// MaxTokens is the limit of generated tokens, 0 if the caller sets none.
	MaxTokens int
	// Prompt is the prompt text from which egretflow estimates tokens and computes
	// hashes. For a chat it holds the roles and texts of all messages.
	Prompt string
	// Parts holds one hash per message of a chat except the last.
	Parts []egretflow.PartHash
	// fields holds the unchanged members of the body by name.
	fields map[string]json.RawMessage
	// tokensField is the member that limits the tokens: max_tokens or
	// max_completion_tokens.
	tokensField string
}

// requestFields holds the members of a request body that egretflow reads.
type requestFields struct {
	Model               string          `json:"model"`
	Messages            []Message       `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Stream              bool            `json:"stream"`
	N                   *int            `json:"n"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	StreamOptions       *struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// Message is one chat message.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is the text of a message. In JSON it is a string or an array of parts,
// whose texts are concatenated; parts without text are ignored.
type Content string

// UnmarshalJSON decodes a string, null or an array of parts.
func (c *Content) UnmarshalJSON(data []byte) error {
	if data[0] != '[' {
		return json.Unmarshal(data, (*string)(c))
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return fmt.Errorf("decode content parts: %w", err)
	}
	for _, p := range parts {
		*c += Content(p.Text)
	}
	return nil
}

// ParseRequest decodes and checks the body of a completion request. Its error is a
// *egretflow.FieldError.
func ParseRequest(endpoint Endpoint, body []byte) (*Request, error) {
	var f requestFields
	if err := json.Unmarshal(body, &f); err != nil {
		return nil, fieldError(err)
	}
	r := &Request{Endpoint: endpoint, Model: f.Model, Stream: f.Stream}
	if err := json.Unmarshal(body, &r.fields); err != nil {
		return nil, fieldError(err)
	}
	if err := checkMemberCase(r.fields); err != nil {
		return nil, err
	}
	r.IncludeUsage = f.StreamOptions != nil && f.StreamOptions.IncludeUsage
	if err := r.setTokens(&f); err != nil {
		return nil, err
	}
	return r, r.setPrompt(&f)
}

// knownMembers are the members of a request body that egretflow reads.
var knownMembers = []string{
	"model", "messages", "prompt", "stream", "n", "max_tokens", "max_completion_tokens", "stream_options",
}

// checkMemberCase rejects a member whose name differs from a known one only by
// Unicode case folding: encoding/json treats both as the same member, an engine
// does not. If a body had both spellings, the engine would execute a request other
// than the one that was checked.
func checkMemberCase(fields map[string]json.RawMessage) error {
	for key := range fields {
		for _, name := range knownMembers {
			if key != name && strings.EqualFold(key, name) {
				return &egretflow.FieldError{Field: key, Reason: "must be written " + name}
			}
		}
	}
	return nil
}

// fieldError returns a FieldError that names the member with a wrong type, or the
// whole body for other errors.
func fieldError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		return &egretflow.FieldError{Field: wrongType.Field, Reason: "must not be a " + wrongType.Value}
	}
	return &egretflow.FieldError{Field: "body", Reason: err.Error()}
}

// setTokens checks and sets the token limit.
func (r *Request) setTokens(f *requestFields) error {
	r.tokensField = "max_tokens"
	limit := f.MaxTokens
	if f.MaxCompletionTokens != nil {
		r.tokensField, limit = "max_completion_tokens", f.MaxCompletionTokens
	}
	if limit == nil {
		return nil
	}
	if *limit < 1 || *limit > maxRequestTokens {
		return &egretflow.FieldError{Field: r.tokensField, Reason: fmt.Sprintf("must be 1 to %d", maxRequestTokens)}
	}
	r.MaxTokens = *limit
	return nil
}

// setPrompt checks model, n and the prompt or messages, and sets Prompt.
func (r *Request) setPrompt(f *requestFields) error {
	switch {
	case f.Model == "":
		return &egretflow.FieldError{Field: "model", Reason: "is required"}
	case f.N != nil && *f.N != 1:
		return &egretflow.FieldError{Field: "n", Reason: "must be 1"}
	}
	if r.Endpoint == Completions {
		if len(f.Prompt) == 0 || json.Unmarshal(f.Prompt, &r.Prompt) != nil {
			return &egretflow.FieldError{Field: "prompt", Reason: "must be a string"}
		}
		return nil
	}
	if len(f.Messages) == 0 {
		return &egretflow.FieldError{Field: "messages", Reason: "must hold at least one message"}
	}
	var b strings.Builder
	for n, m := range f.Messages {
		text := m.Role + "\n" + string(m.Content) + "\n"
		b.WriteString(text)
		if n < min(len(f.Messages)-1, egretflow.MaxParts) {
			r.Parts = append(r.Parts, egretflow.PartHash(xxhash.Sum64String(text)))
		}
	}
	r.Prompt = b.String()
	return nil
}
