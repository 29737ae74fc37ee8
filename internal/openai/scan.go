package openai

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
)

// errSyntax means that a chunk is not a JSON value of the expected shape.
var errSyntax = errors.New("malformed chunk")

// scanner scans JSON text without decoding values. pos is a byte offset into data.
// A syntax error sets failed, after which peek returns 0 and scans stop.
type scanner struct {
	data   []byte
	pos    int
	failed bool
}

// skipSpace skips white space.
func (s *scanner) skipSpace() {
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
	s.skipSpace()
	if s.failed || s.pos >= len(s.data) {
		return 0
	}
	return s.data[s.pos]
}

// consume skips the next byte that is not white space if it is want, and reports
// whether it was.
func (s *scanner) consume(want byte) bool {
	if s.peek() != want {
		return false
	}
	s.pos++
	return true
}

// rawValue consumes the next value and returns its text unchanged, or nil after a
// syntax error.
func (s *scanner) rawValue() []byte {
	s.skipSpace()
	start := s.pos
	switch s.peek() {
	case '"':
		s.skipString()
	case '{', '[':
		s.skipNested()
	case 0:
		s.failed = true
	default:
		for s.pos < len(s.data) && !bytes.ContainsRune([]byte(",]} \t\r\n"), rune(s.data[s.pos])) {
			s.pos++
		}
		s.failed = s.failed || s.pos == start
	}
	if s.failed {
		return nil
	}
	return s.data[start:s.pos]
}

// skipString skips a string from its opening quote.
func (s *scanner) skipString() {
	s.pos++
	for s.pos < len(s.data) {
		n := bytes.IndexByte(s.data[s.pos:], '"')
		if n < 0 {
			break
		}
		end := s.pos + n
		backslashes := 0
		for at := end - 1; at >= s.pos && s.data[at] == '\\'; at-- {
			backslashes++
		}
		s.pos = end + 1
		if backslashes%2 == 0 {
			return
		}
	}
	s.failed = true
}

// skipNested skips an object or array. It counts brackets but does not check that
// they match or that the contents are well-formed.
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
	s.failed = true
}

// eachMember calls f with the key of each member of the next object. f must
// consume the value.
func (s *scanner) eachMember(f func(key []byte)) {
	if !s.consume('{') {
		s.failed = true
		return
	}
	for first := true; !s.failed && !s.consume('}'); first = false {
		if !first && !s.consume(',') || s.peek() != '"' {
			s.failed = true
			return
		}
		key := s.rawValue()
		if s.failed || !s.consume(':') {
			s.failed = true
			return
		}
		f(key[1 : len(key)-1])
	}
}

// eachElement calls f for each element of the next array. f must consume the
// element.
func (s *scanner) eachElement(f func(n int)) {
	if !s.consume('[') {
		s.failed = true
		return
	}
	for n := 0; !s.failed && !s.consume(']'); n++ {
		if n > 0 && !s.consume(',') {
			s.failed = true
			return
		}
		f(n)
	}
}

// isNull reports whether a raw value is absent or null.
func isNull(raw []byte) bool { return len(raw) == 0 || string(raw) == "null" }

// appendString appends the decoded JSON string raw to dst.
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
