package frontend_test

import (
	"encoding/json"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/frontend"
)

type errorAnswer struct {
	Error struct {
		Message   string
		Code      string
		Param     string
		RunState  string `json:"run_state"`
		RequestID string `json:"request_id"`
	}
}

// checkRejected checks a rejection and that it held no slot (4.3, 4.4).
func (w *world) checkRejected(resp *response, status int, code string) errorAnswer {
	w.t.Helper()
	var answer errorAnswer
	if err := json.Unmarshal(resp.body, &answer); err != nil {
		w.t.Fatalf("status %d, body %q: %v", resp.StatusCode, resp.body, err)
	}
	if resp.StatusCode != status || answer.Error.Code != code {
		w.t.Errorf("got status %d and code %s, want %d and %s: %s", resp.StatusCode, answer.Error.Code, status, code, answer.Error.Message)
	}
	if state := resp.Header.Get("Egretflow-Run-State"); state != "NotRun" || answer.Error.RunState != state {
		w.t.Errorf("run state is %q in the header and %q in the body, want NotRun", state, answer.Error.RunState)
	}
	if id := resp.Header.Get("X-Request-Id"); id == "" || answer.Error.RequestID != id {
		w.t.Errorf("request id is %q in the header and %q in the body", id, answer.Error.RequestID)
	}
	if n := w.instances[0].scheduler.acquired; n != 0 {
		w.t.Errorf("the rejected request took %d places", n)
	}
	return answer
}

func TestRejections(t *testing.T) {
	data, err := os.ReadFile("testdata/rejections.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		Name, Method, Path, Key, Body, Code, Param string
		Header                                     map[string]string
		Status                                     int
	}
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, tt := range cases {
		t.Run(tt.Name, func(t *testing.T) {
			run(t, func(w *world) {
				resp := w.must(request{method: tt.Method, path: tt.Path, key: tt.Key, header: tt.Header, body: tt.Body})
				if answer := w.checkRejected(resp, tt.Status, tt.Code); answer.Error.Param != tt.Param {
					w.t.Errorf("param is %q, want %q", answer.Error.Param, tt.Param)
				}
			})
		})
	}
}

// TestOversizedBody guards against bodies that use memory without bound,
// announced or not (4.4).
func TestOversizedBody(t *testing.T) {
	run(t, func(w *world) {
		big := strings.Repeat("x", 3000)
		w.checkRejected(w.must(request{body: big}), http.StatusRequestEntityTooLarge, "BadRequest")
		c := w.dial(1)
		defer c.Close()
		send(c, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-v\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(big), big)
		if status := readStatus(w, c); status != http.StatusRequestEntityTooLarge {
			w.t.Errorf("status %d for a chunked body", status)
		}
	}, frontend.Limits{MaxBodyBytes: 2000})
}

// TestSlowInput guards against callers that hold connections with a header or
// body that never ends (4.4).
func TestSlowInput(t *testing.T) {
	limits := frontend.Limits{HeaderTimeout: time.Second, BodyTimeout: 2 * time.Second}
	for name, tt := range map[string]struct {
		sent   string
		status int
	}{
		"Header": {"POST /v1/completions HTTP/1.1\r\nHost: x\r\n", http.StatusBadRequest},
		"Body":   {"POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-v\r\nContent-Length: 100\r\n\r\n{", http.StatusRequestTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(w *world) {
				c := w.dial(1)
				defer c.Close()
				started := time.Now()
				send(c, "%s", tt.sent)
				if status := readStatus(w, c); status != tt.status {
					w.t.Errorf("status %d, want %d", status, tt.status)
				}
				if took := time.Since(started); took > 4*time.Second {
					w.t.Errorf("connection was held for %v", took)
				}
			}, limits)
		})
	}
}

// TestTooManyStreams guards against one caller that takes all connections.
func TestTooManyStreams(t *testing.T) {
	run(t, func(w *world) {
		done := []<-chan *response{w.start(chat(10, true)), w.start(chat(10, true))}
		time.Sleep(50 * time.Millisecond)
		resp := w.must(chat(10, true))
		if resp.StatusCode != http.StatusTooManyRequests || resp.Header.Get("Retry-After") == "" {
			w.t.Errorf("status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
		}
		if other := chat(10, true); w.must(request{key: "key-k", body: other.body}).StatusCode != http.StatusOK {
			w.t.Error("another caller was rejected")
		}
		for _, d := range done {
			w.checkWhole(<-d, 10)
		}
	}, frontend.Limits{MaxStreams: 2})
}

// TestRefusedByScheduler guards against a lost run state or retry time.
func TestRefusedByScheduler(t *testing.T) {
	run(t, func(w *world) {
		w.instances[0].scheduler.refusal = &egretflow.Refusal{
			Status: http.StatusServiceUnavailable, Reason: egretflow.RefusalOverload, RunState: egretflow.RunStateNotRun,
			Message: "busy", RetryAt: time.Now().Add(2500 * time.Millisecond),
		}
		resp := w.must(chat(10, true))
		w.checkRejected(resp, http.StatusServiceUnavailable, "Overload")
		if seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After")); seconds != 3 {
			w.t.Errorf("Retry-After is %q, want 3", resp.Header.Get("Retry-After"))
		}
	})
}

// TestDeadline guards against work that goes on after the caller's deadline.
func TestDeadline(t *testing.T) {
	run(t, func(w *world) {
		deadline := time.Now().Add(midStream).Format(time.RFC3339Nano)
		resp := w.must(chat(1000, false).with("X-Request-Deadline", deadline))
		if resp.StatusCode != http.StatusGatewayTimeout || resp.took > time.Second {
			w.t.Errorf("status %d after %v", resp.StatusCode, resp.took)
		}
		w.checkFreed()
	})
}
