package relayer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/egretflow/egretflow/reserver"
)

// eventKind says what the fields of an event make it.
type eventKind string

const (
	// eventNumbered has an id, as every event of a stream on the platform.
	eventNumbered eventKind = "Numbered"
	// eventUnnumbered has no id.
	eventUnnumbered eventKind = "Unnumbered"
	// eventComment has no fields that callers see, only comments or empty lines.
	eventComment eventKind = "Comment"
	// eventError has no id and reports that the server failed.
	eventError eventKind = "Error"
	// eventInvalid is not an event, for example the head of another response.
	eventInvalid eventKind = "Invalid"
)

// streamEvent is an event with its empty line, as a server sent it.
type streamEvent struct {
	data []byte
	kind eventKind
	// id is empty if the event has none.
	id string
}

// parseEvent reads the fields of an event. Fields other than those of SSE may stand
// beside them.
func parseEvent(data []byte) streamEvent {
	e := streamEvent{data: data, kind: eventComment}
	failed := false
	for line := range bytes.Lines(data) {
		name, value, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		value = bytes.TrimSpace(value)
		switch string(name) {
		case "", "retry":
			continue
		case "id":
			if e.id == "" {
				e.id = string(value)
			}
		case "event":
			failed = failed || string(value) == "error"
		case "data":
			failed = failed || e.id == "" && isErrorObject(value)
		default:
			if e.kind == eventComment {
				e.kind = eventInvalid
			}
			continue
		}
		e.kind = eventUnnumbered
	}
	switch {
	case e.id != "":
		e.kind = eventNumbered
	case failed:
		e.kind = eventError
	}
	return e
}

// hasEvent reports whether the buffer of r holds the end of an event, so that the next
// one need not be waited for.
func hasEvent(r *bufio.Reader) bool {
	buffered, _ := r.Peek(r.Buffered())
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n"))
}

// isErrorObject reports whether data is a JSON object with an error, as engines with
// the OpenAI API send it.
func isErrorObject(data []byte) bool {
	if !bytes.HasPrefix(data, []byte("{")) {
		return false
	}
	var object struct {
		Error any `json:"error"`
	}
	return json.Unmarshal(data, &object) == nil && object.Error != nil
}

// isEventStream reports whether a response with the header has a body of SSE events.
// A body without a type is taken for one, because its events are checked as well.
func isEventStream(h http.Header) bool {
	mediaType, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	mediaType = strings.TrimSpace(mediaType)
	return mediaType == "" || strings.EqualFold(mediaType, "text/event-stream")
}

// isFramed reports whether the response says where its body ends, other than by the
// end of its connection.
func isFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// errLargeEvent means that a server sent an event above maxEventBytes, as one does
// that sends bytes without end.
var errLargeEvent = errors.New("event is too large")

// heldBytes returns what a buffer counts in forwardState.responses. Small ones, which
// nearly all events have, are not counted.
func heldBytes(buf []byte) int64 {
	if cap(buf) <= eventBufferBytes {
		return 0
	}
	return int64(cap(buf))
}

// readEvent reads one event and counts it in forwardState.responses, with what is kept
// of the events before it.
func (g *streamAttempt) readEvent(r *bufio.Reader) ([]byte, error) {
	kept := heldBytes(g.lastEvent) + heldBytes(g.comments)
	g.responses.Resize(kept)
	return readEvent(r, func(event []byte) bool { return g.responses.Resize(kept + heldBytes(event)) })
}

// readEvent reads one SSE event, up to and including its empty line. On an error,
// such as io.EOF, it also returns the incomplete event. It calls reserve when the buffer
// of the event has grown beyond eventBufferBytes, and fails if that returns false.
func readEvent(r *bufio.Reader, reserve func(event []byte) bool) ([]byte, error) {
	var event []byte
	reserved := eventBufferBytes
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > maxEventBytes {
			return event, errLargeEvent
		}
		if cap(event) > reserved {
			if !reserve(event) {
				return event, reserver.ErrNoRoom
			}
			reserved = cap(event)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return event, err //nolint:wrapcheck // the caller compares it with io.EOF
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && len(event) > len(line) {
			return event, nil
		}
	}
}

// idStep returns the difference between the id of an event and the one before it, or 0
// if they are not increasing numbers. The first event follows event 0.
func idStep(last, id string) uint64 {
	if last == "" {
		last = "0"
	}
	a, errA := strconv.ParseUint(last, 10, 64)
	b, errB := strconv.ParseUint(id, 10, 64)
	if errA != nil || errB != nil || b <= a {
		return 0
	}
	return b - a
}

// follows reports whether the event with the given id comes after the event last.
// Ids that are not numbers follow each other if they differ.
func follows(id, last string) bool {
	if last == "" {
		return true
	}
	a, errA := strconv.ParseUint(id, 10, 64)
	b, errB := strconv.ParseUint(last, 10, 64)
	if errA != nil || errB != nil {
		return id != last
	}
	return a > b
}
