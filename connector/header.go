package connector

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxRetryAfter bounds the time for which a response keeps work from its server.
const maxRetryAfter = 5 * time.Minute

// RetryAt returns when a server that answered with status 503 wants the next request,
// or the zero time if it does not say. Retry-After holds seconds (RFC 9110 section
// 10.2.3), here also with fractions.
func RetryAt(status int, h http.Header, now time.Time) time.Time {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if status != http.StatusServiceUnavailable || err != nil || !(seconds > 0) {
		return time.Time{}
	}
	return now.Add(time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second)))
}

// hopByHop lists the headers that belong to one connection (RFC 9110 section
// 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// CopyHeader copies all headers from src to dst except hop-by-hop headers and
// those that the Connection header of src lists, which it deletes from dst. Values
// that dst already has are replaced.
func CopyHeader(dst, src http.Header) {
	for key, values := range src {
		dst[key] = append([]string(nil), values...)
	}
	for _, value := range src.Values("Connection") {
		for _, key := range strings.Split(value, ",") {
			dst.Del(strings.TrimSpace(key))
		}
	}
	for _, key := range hopByHop {
		dst.Del(key)
	}
}
