package frontend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/egretflow/egretflow"
)

// silentDialect adds nothing to refusals.
type silentDialect struct{ egretflow.Dialect }

func (silentDialect) WriteRefusal(http.Header, *egretflow.Refusal, time.Time) {}

// Guards against an empty answer with status 200 to a caller that has only closed its
// side of the connection: it would take that for the whole answer.
func TestGoneCallerGetsNoSuccess(t *testing.T) {
	f := &Frontend{cfg: Config{Clock: time.Now, Recorder: &eventNames{}, Dialect: silentDialect{}}}
	for name, handler := range map[string]echo.HTTPErrorHandler{"Forwarded": f.writeForwardError, "Completion": f.writeError} {
		t.Run(name, func(t *testing.T) {
			e := echo.New()
			e.HTTPErrorHandler = handler
			e.POST("/", func(c echo.Context) error {
				if _, err := io.Copy(io.Discard, c.Request().Body); err != nil {
					return err
				}
				<-c.Request().Context().Done()
				return context.Cause(c.Request().Context())
			})
			server := httptest.NewServer(e)
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}")
			if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				t.Errorf("status %d with %d bytes, want a closed connection", resp.StatusCode, resp.ContentLength)
			}
		})
	}
}
