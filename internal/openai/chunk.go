package openai

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Chunk is what egretflow reads of one data event of a stream. The slices point
// into the scanned data.
type Chunk struct {
	data []byte
	// id, text, finish and usage are raw JSON values, nil when absent or null.
	id      []byte
	idAt    int
	text    []byte
	finish  []byte
	usage   []byte
	usageAt int
	// Other says that the delta has members besides role and content, such as
	// tool calls, that cannot be continued on another server.
	Other bool
}

// ScanChunk reads one chunk of a chat or text completion.
func ScanChunk(data []byte) (Chunk, error) {
	c := Chunk{data: data}
	s := &scanner{data: data}
	s.members(func(key []byte) {
		switch string(key) {
		case "id":
			c.id = s.raw()
			c.idAt = s.pos - len(c.id)
		case "usage":
			c.usage = s.raw()
			c.usageAt = s.pos - len(c.usage)
		case "choices":
			c.scanChoices(s)
		default:
			s.raw()
		}
	})
	if s.bad || s.peek() != 0 {
		return Chunk{}, errSyntax
	}
	return c, nil
}

func (c *Chunk) scanChoices(s *scanner) {
	if s.peek() != '[' {
		s.raw()
		return
	}
	s.elements(func(int) {
		s.members(func(key []byte) {
			switch string(key) {
			case "text":
				c.text = s.raw()
			case "finish_reason":
				c.finish = s.raw()
			case "delta":
				c.scanDelta(s)
			default:
				s.raw()
			}
		})
	})
}

func (c *Chunk) scanDelta(s *scanner) {
	if s.peek() != '{' {
		s.raw()
		return
	}
	s.members(func(key []byte) {
		raw := s.raw()
		switch string(key) {
		case "content":
			c.text = raw
		case "role":
		default:
			c.Other = c.Other || !isNull(raw)
		}
	})
}

// Clone returns a chunk that does not share the data of c.
func (c *Chunk) Clone() *Chunk {
	// The data was scanned before, so it is well-formed.
	clone, _ := ScanChunk(bytes.Clone(c.data))
	return &clone
}

// HasID reports whether the chunk belongs to the given attempt.
func (c *Chunk) HasID(id string) bool {
	return len(c.id) == len(id)+2 && string(c.id[1:len(c.id)-1]) == id
}

// HasText reports whether the chunk carries generated text.
func (c *Chunk) HasText() bool { return len(c.text) > 2 && !isNull(c.text) }

// AppendText appends the generated text to dst.
func (c *Chunk) AppendText(dst []byte) ([]byte, error) {
	if !c.HasText() {
		return dst, nil
	}
	return appendString(dst, c.text)
}

// Finish returns the finish reason, or "".
func (c *Chunk) Finish() string {
	if isNull(c.finish) {
		return ""
	}
	reason, err := appendString(nil, c.finish)
	if err != nil {
		return ""
	}
	return string(reason)
}

// HasUsage reports whether the chunk carries the usage.
func (c *Chunk) HasUsage() bool { return !isNull(c.usage) }

// Usage decodes the usage.
func (c *Chunk) Usage() (Usage, error) {
	var u Usage
	if err := json.Unmarshal(c.usage, &u); err != nil {
		return Usage{}, fmt.Errorf("decode usage: %w", err)
	}
	return u, nil
}

// AppendWithID appends the chunk with another id to dst.
func (c *Chunk) AppendWithID(dst []byte, id string) []byte {
	if len(c.id) == 0 {
		return append(dst, c.data...)
	}
	dst = append(dst, c.data[:c.idAt]...)
	dst = append(dst, '"')
	dst = append(dst, id...)
	dst = append(dst, '"')
	return append(dst, c.data[c.idAt+len(c.id):]...)
}

// Usage is the token count of an answer.
type Usage struct {
	PromptTokens     int            `json:"prompt_tokens"`
	CompletionTokens int            `json:"completion_tokens"`
	TotalTokens      int            `json:"total_tokens"`
	PromptDetails    *PromptDetails `json:"prompt_tokens_details,omitempty"`
}

// PromptDetails says how much of the prompt came from the prefix cache.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// UnmarshalJSON refuses negative counts, which would lower the sums that they
// are added to.
func (u *Usage) UnmarshalJSON(data []byte) error {
	type plain Usage
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	if p.PromptTokens < 0 || p.CompletionTokens < 0 || p.TotalTokens < 0 || Usage(p).Cached() < 0 {
		return errors.New("negative number of tokens")
	}
	*u = Usage(p)
	return nil
}

// Cached returns the cached prompt tokens, 0 when not reported.
func (u Usage) Cached() int {
	if u.PromptDetails == nil {
		return 0
	}
	return u.PromptDetails.CachedTokens
}

// SetUsage replaces the usage of the chunk.
func (c *Chunk) SetUsage(u Usage) {
	data, err := json.Marshal(u)
	if err != nil || c.usage == nil {
		return
	}
	at := c.usageAt
	changed := append([]byte(nil), c.data[:at]...)
	changed = append(append(changed, data...), c.data[at+len(c.usage):]...)
	// The chunk was scanned before, so it is well-formed.
	*c, _ = ScanChunk(changed)
}

// EndOfStream returns the chunks that end an answer at its token limit. The one
// with the finish reason is left out when it was sent before.
func EndOfStream(r *Request, id string, created time.Time, u Usage, finished bool) [][]byte {
	object, choice := "chat.completion.chunk", map[string]any{"index": 0, "delta": struct{}{}, "finish_reason": "length"}
	if r.Endpoint == Completions {
		object, choice = "text_completion", map[string]any{"index": 0, "text": "", "finish_reason": "length"}
	}
	head := map[string]any{"id": id, "object": object, "created": created.Unix(), "model": r.Model}
	var chunks [][]byte
	if !finished {
		head["choices"] = []any{choice}
		chunks = append(chunks, encode(head))
	}
	head["choices"] = []any{}
	head["usage"] = u
	return append(chunks, encode(head))
}
