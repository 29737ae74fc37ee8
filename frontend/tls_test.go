package frontend_test

import (
	"crypto/tls"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/egretflow/egretflow/frontend"
)

// TestSlowHandshake guards against TLS connections that stay open because the
// caller does not complete the handshake or the request header (4.4, 12).
func TestSlowHandshake(t *testing.T) {
	server := httptest.NewUnstartedServer(nil)
	server.StartTLS()
	defer server.Close()
	config := server.TLS.Clone()
	config.NextProtos = []string{"http/1.1"}
	for _, handshake := range []bool{false, true} {
		run(t, func(env *testEnv) {
			env.serveTLS(config)
			c := env.dial(3)
			defer c.Close()
			started := time.Now()
			if handshake {
				secured := tls.Client(c, &tls.Config{InsecureSkipVerify: true}) //nolint:gosec // the test is not about the certificate
				if err := secured.HandshakeContext(env.t.Context()); err != nil {
					env.t.Fatal(err)
				}
				send(secured, "GET /v1/models HTTP/1.1\r\nHost: x\r\n")
				if status := readStatus(env, secured); status != 400 {
					env.t.Errorf("status %d for a late header", status)
				}
			} else if _, err := c.Read(make([]byte, 1)); err == nil {
				env.t.Error("the connection without handshake got data")
			}
			if took := time.Since(started); took > 2*time.Second {
				env.t.Errorf("the connection was held for %v", took)
			}
		}, frontend.Limits{HeaderTimeout: time.Second})
	}
}
