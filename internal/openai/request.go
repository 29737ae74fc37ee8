package openai

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/egretflow/egretflow"
	"github.com/pkg/errors"
)

// Endpoint is one of the two completion endpoints.
type Endpoint string

// The endpoints, as paths.
const (
	Chat        Endpoint = "/v1/chat/completions"
	Completions Endpoint = "/v1/completions"
)

// maxRequestTokens bounds max_tokens, so that estimates cannot overflow.
const maxRequestTokens = 1 << 20

// Request is a completion request of a caller.
type Request struct {
	Endpoint Endpoint
	Model    string
	Stream   bool
	// IncludeUsage says that the caller wants the usage at the end of a stream.
	IncludeUsage bool
	// MaxTokens is 0 when the caller sets no limit.
	MaxTokens int
	// Prompt is the text of the prompt as egretflow counts and hashes it.
	Prompt string
	// fields holds the members of the body as written.
	fields map[string]json.RawMessage
	// tokensField is the name of the member that limits the tokens.
	tokensField string
}

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

// Content is the text of a message, written as a string or as a list of parts
// of which the text parts count.
type Content string

// UnmarshalJSON accepts a string, null or a list of parts.
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

// ParseRequest decodes and checks the body of a completion request. The error
// is a *egretflow.FieldError.
func ParseRequest(endpoint Endpoint, body []byte) (*Request, error) {
	var f requestFields
	if err := json.Unmarshal(body, &f); err != nil {
		return nil, fieldError(err)
	}
	r := &Request{Endpoint: endpoint, Model: f.Model, Stream: f.Stream}
	if err := json.Unmarshal(body, &r.fields); err != nil {
		return nil, fieldError(err)
	}
	if err := checkSpelling(r.fields); err != nil {
		return nil, err
	}
	r.IncludeUsage = f.StreamOptions != nil && f.StreamOptions.IncludeUsage
	if err := r.setTokens(&f); err != nil {
		return nil, err
	}
	return r, r.setPrompt(&f)
}

// members are those that egretflow reads.
var members = []string{
	"model", "messages", "prompt", "stream", "n", "max_tokens", "max_completion_tokens", "stream_options",
}

// checkSpelling refuses members that encoding/json takes for one of those that
// egretflow reads and an engine does not. With both spellings in a body, an
// engine would run another request than the one that was checked.
func checkSpelling(fields map[string]json.RawMessage) error {
	for key := range fields {
		for _, name := range members {
			if key != name && strings.EqualFold(key, name) {
				return &egretflow.FieldError{Field: key, Reason: "must be written " + name}
			}
		}
	}
	return nil
}

// fieldError names the member that has a wrong type, or the whole body.
func fieldError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		return &egretflow.FieldError{Field: wrongType.Field, Reason: "must not be a " + wrongType.Value}
	}
	return &egretflow.FieldError{Field: "body", Reason: err.Error()}
}

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
	for _, m := range f.Messages {
		b.WriteString(m.Role + "\n" + string(m.Content) + "\n")
	}
	r.Prompt = b.String()
	return nil
}
