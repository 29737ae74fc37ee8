package openai

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Chunk holds the members of one data event of a stream that egretflow reads. Its
// slices refer to the scanned data, which must not change.
type Chunk struct {
	data []byte
	// id, text, finishReason and usage are raw JSON values, nil when absent.
	// idOffset and usageOffset are their positions in data.
	id           []byte
	idOffset     int
	text         []byte
	finishReason []byte
	usage        []byte
	usageOffset  int
	// HasOtherMembers reports whether the delta has members other than role and
	// content, such as tool calls, which another server cannot continue.
	HasOtherMembers bool
}

// ScanChunk scans one chunk of a chat or text completion.
func ScanChunk(data []byte) (Chunk, error) {
	c := Chunk{data: data}
	s := &scanner{data: data}
	s.eachMember(func(key []byte) {
		switch string(key) {
		case "id":
			c.id = s.rawValue()
			c.idOffset = s.pos - len(c.id)
		case "usage":
			c.usage = s.rawValue()
			c.usageOffset = s.pos - len(c.usage)
		case "choices":
			c.scanChoices(s)
		default:
			s.rawValue()
		}
	})
	if s.failed || s.peek() != 0 {
		return Chunk{}, errSyntax
	}
	return c, nil
}

// scanChoices scans the array of choices. Values of later choices replace those of
// earlier ones.
func (c *Chunk) scanChoices(s *scanner) {
	if s.peek() != '[' {
		s.rawValue()
		return
	}
	s.eachElement(func(int) {
		s.eachMember(func(key []byte) {
			switch string(key) {
			case "text":
				c.text = s.rawValue()
			case "finish_reason":
				c.finishReason = s.rawValue()
			case "delta":
				c.scanDelta(s)
			default:
				s.rawValue()
			}
		})
	})
}

// scanDelta scans the delta of a chat completion.
func (c *Chunk) scanDelta(s *scanner) {
	if s.peek() != '{' {
		s.rawValue()
		return
	}
	s.eachMember(func(key []byte) {
		raw := s.rawValue()
		switch string(key) {
		case "content":
			c.text = raw
		case "role":
		default:
			c.HasOtherMembers = c.HasOtherMembers || !isNull(raw)
		}
	})
}

// Clone returns a chunk that does not share the data of c.
func (c *Chunk) Clone() *Chunk {
	// No error can occur: the data was scanned before.
	clone, _ := ScanChunk(bytes.Clone(c.data))
	return &clone
}

// HasID reports whether the chunk has the given id, which identifies the attempt.
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

// FinishReason returns the finish reason, or "" if the chunk has none.
func (c *Chunk) FinishReason() string {
	if isNull(c.finishReason) {
		return ""
	}
	reason, err := appendString(nil, c.finishReason)
	if err != nil {
		return ""
	}
	return string(reason)
}

// HasUsage reports whether the chunk carries the token usage.
func (c *Chunk) HasUsage() bool { return !isNull(c.usage) }

// Usage decodes the token usage.
func (c *Chunk) Usage() (Usage, error) {
	var u Usage
	if err := json.Unmarshal(c.usage, &u); err != nil {
		return Usage{}, fmt.Errorf("decode usage: %w", err)
	}
	return u, nil
}

// AppendWithID appends the chunk to dst with its id replaced by id. A chunk without
// an id is appended unchanged.
func (c *Chunk) AppendWithID(dst []byte, id string) []byte {
	if len(c.id) == 0 {
		return append(dst, c.data...)
	}
	dst = append(dst, c.data[:c.idOffset]...)
	dst = append(dst, '"')
	dst = append(dst, id...)
	dst = append(dst, '"')
	return append(dst, c.data[c.idOffset+len(c.id):]...)
}

// Usage holds the token counts of a response.
type Usage struct {
	PromptTokens     int            `json:"prompt_tokens"`
	CompletionTokens int            `json:"completion_tokens"`
	TotalTokens      int            `json:"total_tokens"`
	PromptDetails    *PromptDetails `json:"prompt_tokens_details,omitempty"`
}

// PromptDetails holds the number of prompt tokens that came from the prefix cache.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// UnmarshalJSON returns an error for negative counts, which would reduce the totals
// that they are added to.
func (u *Usage) UnmarshalJSON(data []byte) error {
	type plain Usage
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	if p.PromptTokens < 0 || p.CompletionTokens < 0 || p.TotalTokens < 0 || Usage(p).CachedTokens() < 0 {
		return errors.New("negative number of tokens")
	}
	*u = Usage(p)
	return nil
}

// CachedTokens returns the number of cached prompt tokens, 0 if it was not reported.
func (u Usage) CachedTokens() int {
	if u.PromptDetails == nil {
		return 0
	}
	return u.PromptDetails.CachedTokens
}

// SetUsage replaces the usage of the chunk. It has no effect on a chunk without
// one.
func (c *Chunk) SetUsage(u Usage) {
	data, err := json.Marshal(u)
	if err != nil || c.usage == nil {
		return
	}
	at := c.usageOffset
	changed := append([]byte(nil), c.data[:at]...)
	changed = append(append(changed, data...), c.data[at+len(c.usage):]...)
	// No error can occur: the chunk was scanned before.
	*c, _ = ScanChunk(changed)
}

// FinalChunks returns the chunks that end a stream at its token limit: one with the
// finish reason "length", omitted if finished is true, and one with the usage.
func FinalChunks(r *Request, id string, created time.Time, u Usage, finished bool) [][]byte {
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
