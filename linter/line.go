package linter

import (
	"bytes"
	"encoding/json"
	"regexp"
	"strconv"
)

// segmentPattern matches one step of a field path: a name or an index.
var segmentPattern = regexp.MustCompile(`[^.\[\]]+`)

// LineOf returns the line in a JSON document, from 1, at which the value of a field such
// as Routes[2].Pool begins. If the document has only the first steps of the path, it is
// the line of the last one that it has.
func LineOf(document []byte, field string) int {
	value, offset := document, 0
	for _, segment := range segmentPattern.FindAllString(field, -1) {
		start, next, ok := member(value, segment)
		if !ok {
			break
		}
		value, offset = next, offset+start
	}
	return 1 + bytes.Count(document[:offset], []byte("\n"))
}

// member returns the value of a key of an object, or of an index of a list, and where it
// begins in value.
func member(value []byte, segment string) (start int, found json.RawMessage, ok bool) {
	dec := json.NewDecoder(bytes.NewReader(value))
	opening, err := dec.Token()
	if err != nil {
		return 0, nil, false
	}
	for n := 0; dec.More(); n++ {
		key := strconv.Itoa(n)
		if opening == json.Delim('{') {
			token, err := dec.Token()
			if err != nil {
				return 0, nil, false
			}
			key, _ = token.(string)
		}
		if err := dec.Decode(&found); err != nil {
			return 0, nil, false
		}
		if key == segment {
			return int(dec.InputOffset()) - len(found), found, true
		}
	}
	return 0, nil, false
}
