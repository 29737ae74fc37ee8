package connector

import (
	"net/http"
	"strings"
)

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
