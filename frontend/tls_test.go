package frontend_test

import (
	"crypto/tls"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/egretflow/egretflow/frontend"
)

// TestSlowHandshake guards against callers that hold a TLS connection without a
// handshake or with a header that never ends (4.4, 12).
func TestSlowHandshake(t *testing.T) {
	server := httptest.NewUnstartedServer(nil)
	server.StartTLS()
	defer server.Close()
	config := server.TLS.Clone()
	config.NextProtos = []string{"http/1.1"}
	for _, handshake := range []bool{false, true} {
		run(t, func(w *world) {
			w.serveTLS(config)
			c := w.dial(3)
			defer c.Close()
			started := time.Now()
			if handshake {
				secured := tls.Client(c, &tls.Config{InsecureSkipVerify: true}) //nolint:gosec // the certificate is not the subject
				if err := secured.HandshakeContext(w.t.Context()); err != nil {
					w.t.Fatal(err)
				}
				send(secured, "GET /v1/models HTTP/1.1\r\nHost: x\r\n")
				if status := readStatus(w, secured); status != 400 {
					w.t.Errorf("status %d for a late header", status)
				}
			} else if _, err := c.Read(make([]byte, 1)); err == nil {
				w.t.Error("the connection without handshake got data")
			}
			if took := time.Since(started); took > 2*time.Second {
				w.t.Errorf("the connection was held for %v", took)
			}
		}, frontend.Limits{HeaderTimeout: time.Second})
	}
}
