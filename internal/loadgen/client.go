package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tmaxmax/go-sse"

	"github.com/egretflow/egretflow"
)

// Answer is the response to one request as the client observed it.
type Answer struct {
	Status int
	// FirstTokenAt is zero if no token arrived.
	FirstTokenAt time.Time
	LastTokenAt  time.Time
	Tokens       int
	// Whole reports whether the text is exactly the expected one and the stream
	// ended with a finish reason and [DONE].
	Whole    bool
	RunState egretflow.RunState
	Err      error
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model     egretflow.ModelName `json:"model"`
	Messages  []chatMessage       `json:"messages"`
	MaxTokens int                 `json:"max_tokens"`
	Stream    bool                `json:"stream"`
}

type chatChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// maxEventBytes is the maximum size of one SSE event of an answer.
const maxEventBytes = 64 << 10

// Client sends arrivals as streaming chat requests.
type Client struct {
	HTTP  *http.Client
	Model egretflow.ModelName
	Clock egretflow.Clock
	// Key returns the API key of a caller.
	Key func(egretflow.CallerName) string
}

// Send sends one arrival to the instance at baseURL and reads the answer to its
// end.
func (c *Client) Send(ctx context.Context, baseURL string, a *Arrival) *Answer {
	res, err := c.post(ctx, baseURL, a)
	if err != nil {
		return &Answer{Err: err}
	}
	defer res.Body.Close()
	answer := &Answer{
		Status:   res.StatusCode,
		RunState: egretflow.RunState(res.Header.Get("Egretflow-Run-State")),
	}
	if res.StatusCode != http.StatusOK {
		_, answer.Err = io.Copy(io.Discard, res.Body)
		return answer
	}
	c.read(res.Body, answer, expectedText(a))
	return answer
}

func (c *Client) post(ctx context.Context, baseURL string, a *Arrival) (*http.Response, error) {
	body, err := json.Marshal(chatRequest{
		Model: c.Model, Stream: true, MaxTokens: a.MaxTokens,
		Messages: []chatMessage{{Role: "user", Content: a.Prompt}},
	})
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+c.Key(a.Caller))
	res, err := c.HTTP.Do(req)
	if err != nil {
		return nil, fmt.Errorf("send request: %w", err)
	}
	return res, nil
}

func (c *Client) read(body io.Reader, answer *Answer, want string) {
	var text strings.Builder
	finished, done := false, false
	for ev, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			answer.Err = fmt.Errorf("read answer: %w", err)
			return
		}
		if ev.Data == "[DONE]" {
			done = true
			break
		}
		var chunk chatChunk
		if err := json.Unmarshal([]byte(ev.Data), &chunk); err != nil {
			answer.Err = fmt.Errorf("decode chunk: %w", err)
			return
		}
		for _, choice := range chunk.Choices {
			if choice.Delta.Content != "" {
				c.countToken(answer)
				text.WriteString(choice.Delta.Content)
			}
			finished = finished || choice.FinishReason != nil
		}
	}
	answer.Whole = finished && done && text.String() == want
	if !answer.Whole {
		answer.Err = fmt.Errorf("incomplete answer: %d of %d bytes, finish reason %t, [DONE] %t", text.Len(), len(want), finished, done)
	}
}

func (c *Client) countToken(answer *Answer) {
	now := c.Clock()
	if answer.FirstTokenAt.IsZero() {
		answer.FirstTokenAt = now
	}
	answer.LastTokenAt = now
	answer.Tokens++
}

// expectedText returns the text that the stand-in engine produces for the
// prompt of an arrival (docs/engine-protocol.md).
func expectedText(a *Arrival) string {
	hash := fmt.Sprintf("%016x", xxhash.Sum64String("user\n"+a.Prompt+"\n"))[:8]
	var b strings.Builder
	for n := 1; n <= a.MaxTokens; n++ {
		fmt.Fprintf(&b, "w%s-%d ", hash, n)
	}
	return b.String()
}
