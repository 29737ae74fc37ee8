package relayer

import (
	"net/http"
	"strings"
)

// isEventStream reports whether a response with the header has a body of SSE events.
// A body without a type is taken for one, because its events are checked as well.
func isEventStream(h http.Header) bool {
	mediaType, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	mediaType = strings.TrimSpace(mediaType)
	return mediaType == "" || strings.EqualFold(mediaType, "text/event-stream")
}
