package tracker

import (
	"bytes"

	"github.com/pkg/errors"
)

var errNoArray = errors.New("the list is no complete array")

// splitArray returns the elements of a JSON array without decoding them. encoding/json
// refuses the whole array if one element is too deeply nested.
func splitArray(data []byte) ([][]byte, error) {
	data = bytes.TrimSpace(data)
	if len(data) < 2 || data[0] != '[' || data[len(data)-1] != ']' {
		return nil, errNoArray
	}
	body := data[1 : len(data)-1]
	var elements [][]byte
	var depth, start int
	var inString bool
	for n := 0; n < len(body); n++ {
		switch c := body[n]; {
		case inString && c == '\\':
			n++
		case c == '"':
			inString = !inString
		case inString:
		case c == '[' || c == '{':
			depth++
		case c == ']' || c == '}':
			depth--
		case c == ',' && depth == 0:
			elements = append(elements, body[start:n])
			start = n + 1
		}
		if depth < 0 {
			return nil, errNoArray
		}
	}
	if inString || depth != 0 {
		return nil, errNoArray
	}
	if len(elements) == 0 && len(bytes.TrimSpace(body)) == 0 {
		return nil, nil
	}
	return append(elements, body[start:]), nil
}
