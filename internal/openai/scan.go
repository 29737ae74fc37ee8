package openai

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
)

// errSyntax means that a chunk is not a JSON value of the expected shape.
var errSyntax = errors.New("malformed chunk")

// scanner walks JSON text without building values. Positions are byte offsets
// into data. A failed scan sets bad, and further calls do nothing.
type scanner struct {
	data []byte
	pos  int
	bad  bool
}

func (s *scanner) space() {
	for s.pos < len(s.data) {
		switch s.data[s.pos] {
		case ' ', '\t', '\n', '\r':
			s.pos++
		default:
			return
		}
	}
}

// peek returns the next byte that is not white space, or 0 at the end.
func (s *scanner) peek() byte {
	s.space()
	if s.bad || s.pos >= len(s.data) {
		return 0
	}
	return s.data[s.pos]
}

func (s *scanner) take(want byte) bool {
	if s.peek() != want {
		return false
	}
	s.pos++
	return true
}

// raw returns the next value as written.
func (s *scanner) raw() []byte {
	s.space()
	start := s.pos
	switch s.peek() {
	case '"':
		s.skipString()
	case '{', '[':
		s.skipNested()
	case 0:
		s.bad = true
	default:
		for s.pos < len(s.data) && !bytes.ContainsRune([]byte(",]} \t\r\n"), rune(s.data[s.pos])) {
			s.pos++
		}
		s.bad = s.bad || s.pos == start
	}
	if s.bad {
		return nil
	}
	return s.data[start:s.pos]
}

func (s *scanner) skipString() {
	s.pos++
	for s.pos < len(s.data) {
		n := bytes.IndexByte(s.data[s.pos:], '"')
		if n < 0 {
			break
		}
		end := s.pos + n
		slashes := 0
		for at := end - 1; at >= s.pos && s.data[at] == '\\'; at-- {
			slashes++
		}
		s.pos = end + 1
		if slashes%2 == 0 {
			return
		}
	}
	s.bad = true
}

func (s *scanner) skipNested() {
	depth := 0
	for s.pos < len(s.data) {
		switch s.data[s.pos] {
		case '"':
			s.skipString()
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		s.pos++
		if depth == 0 {
			return
		}
	}
	s.bad = true
}

// members calls f with the key of each member of the next object. f must
// consume the value.
func (s *scanner) members(f func(key []byte)) {
	if !s.take('{') {
		s.bad = true
		return
	}
	for first := true; !s.bad && !s.take('}'); first = false {
		if !first && !s.take(',') || s.peek() != '"' {
			s.bad = true
			return
		}
		key := s.raw()
		if s.bad || !s.take(':') {
			s.bad = true
			return
		}
		f(key[1 : len(key)-1])
	}
}

// elements calls f for each element of the next array. f must consume it.
func (s *scanner) elements(f func(n int)) {
	if !s.take('[') {
		s.bad = true
		return
	}
	for n := 0; !s.bad && !s.take(']'); n++ {
		if n > 0 && !s.take(',') {
			s.bad = true
			return
		}
		f(n)
	}
}

func isNull(raw []byte) bool { return len(raw) == 0 || string(raw) == "null" }

// appendString appends the text of a JSON string to dst.
func appendString(dst, raw []byte) ([]byte, error) {
	if len(raw) < 2 || raw[0] != '"' {
		return dst, errSyntax
	}
	if body := raw[1 : len(raw)-1]; bytes.IndexByte(body, '\\') < 0 {
		return append(dst, body...), nil
	}
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return dst, errSyntax
	}
	return append(dst, text...), nil
}
