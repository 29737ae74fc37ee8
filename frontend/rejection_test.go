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

// checkRefused checks a refusal and that its request was not assigned to a server
// (4.3, 4.4).
func (env *testEnv) checkRefused(resp *response, status int, code string) errorAnswer {
	env.t.Helper()
	var answer errorAnswer
	if err := json.Unmarshal(resp.body, &answer); err != nil {
		env.t.Fatalf("status %d, body %q: %v", resp.StatusCode, resp.body, err)
	}
	if resp.StatusCode != status || answer.Error.Code != code {
		env.t.Errorf("got status %d and code %s, want %d and %s: %s", resp.StatusCode, answer.Error.Code, status, code, answer.Error.Message)
	}
	if state := resp.Header.Get("Egretflow-Run-State"); state != "NotRun" || answer.Error.RunState != state {
		env.t.Errorf("run state is %q in the header and %q in the body, want NotRun", state, answer.Error.RunState)
	}
	if id := resp.Header.Get("X-Request-Id"); id == "" || answer.Error.RequestID != id {
		env.t.Errorf("request id is %q in the header and %q in the body", id, answer.Error.RequestID)
	}
	if n := env.instances[0].scheduler.acquired; n != 0 {
		env.t.Errorf("the refused request got %d assignments, want 0", n)
	}
	return answer
}

// TestRefusals guards against wrong status, code, run state or request id in the
// refusals of invalid requests. The cases are in testdata/rejections.json.
func TestRefusals(t *testing.T) {
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
			run(t, func(env *testEnv) {
				resp := env.mustDo(request{method: tt.Method, path: tt.Path, key: tt.Key, header: tt.Header, body: tt.Body})
				if answer := env.checkRefused(resp, tt.Status, tt.Code); answer.Error.Param != tt.Param {
					env.t.Errorf("param is %q, want %q", answer.Error.Param, tt.Param)
				}
			})
		})
	}
}

// TestOversizedBody guards against bodies that use unbounded memory, with a
// Content-Length or chunked (4.4).
func TestOversizedBody(t *testing.T) {
	run(t, func(env *testEnv) {
		big := strings.Repeat("x", 3000)
		env.checkRefused(env.mustDo(request{body: big}), http.StatusRequestEntityTooLarge, "BadRequest")
		c := env.dial(1)
		defer c.Close()
		send(c, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-v\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(big), big)
		if status := readStatus(env, c); status != http.StatusRequestEntityTooLarge {
			env.t.Errorf("status %d for a chunked body", status)
		}
	}, frontend.Limits{MaxBodyBytes: 2000})
}

// Guards against small bodies in chunks that are refused, because each takes the room of
// the largest one.
func TestSmallChunkedBodyTakesLittleRoom(t *testing.T) {
	run(t, func(env *testEnv) {
		c := env.dial(1)
		defer c.Close()
		body := chat(2, false).body
		send(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-v\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		if status := readStatus(env, c); status != http.StatusOK {
			env.t.Errorf("status %d", status)
		}
	}, frontend.Limits{MaxTotalBodyBytes: 1 << 20})
}

// TestSlowInput guards against connections that stay open because the caller does
// not complete the request header or body (4.4).
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
			run(t, func(env *testEnv) {
				c := env.dial(1)
				defer c.Close()
				started := time.Now()
				send(c, "%s", tt.sent)
				if status := readStatus(env, c); status != tt.status {
					env.t.Errorf("status %d, want %d", status, tt.status)
				}
				if took := time.Since(started); took > 4*time.Second {
					env.t.Errorf("connection was held for %v", took)
				}
			}, limits)
		})
	}
}

// TestTooManyStreams guards against one caller that keeps others from being served
// by opening many requests.
func TestTooManyStreams(t *testing.T) {
	run(t, func(env *testEnv) {
		done := []<-chan *response{env.start(chat(10, true)), env.start(chat(10, true))}
		time.Sleep(50 * time.Millisecond)
		resp := env.mustDo(chat(10, true))
		if resp.StatusCode != http.StatusTooManyRequests || resp.Header.Get("Retry-After") == "" {
			env.t.Errorf("status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
		}
		if other := chat(10, true); env.mustDo(request{key: "key-k", body: other.body}).StatusCode != http.StatusOK {
			env.t.Error("another caller was refused")
		}
		for _, d := range done {
			env.checkComplete(<-d, 10)
		}
	}, frontend.Limits{MaxStreams: 2})
}

// TestRefusedByScheduler guards against refusals of the scheduler that reach the
// caller without their run state or retry time.
func TestRefusedByScheduler(t *testing.T) {
	run(t, func(env *testEnv) {
		env.instances[0].scheduler.refusal = &egretflow.Refusal{
			Status: http.StatusServiceUnavailable, Reason: egretflow.RefusalOverload, RunState: egretflow.RunStateNotRun,
			Message: "busy", RetryAt: time.Now().Add(2500 * time.Millisecond),
		}
		resp := env.mustDo(chat(10, true))
		env.checkRefused(resp, http.StatusServiceUnavailable, "Overload")
		if seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After")); seconds != 3 {
			env.t.Errorf("Retry-After is %q, want 3", resp.Header.Get("Retry-After"))
		}
	})
}

// TestDeadline guards against a request that continues after the caller's deadline.
func TestDeadline(t *testing.T) {
	run(t, func(env *testEnv) {
		deadline := time.Now().Add(midStream).Format(time.RFC3339Nano)
		resp := env.mustDo(chat(1000, false).withHeader("X-Request-Deadline", deadline))
		if resp.StatusCode != http.StatusGatewayTimeout || resp.took > time.Second {
			env.t.Errorf("status %d after %v", resp.StatusCode, resp.took)
		}
		env.checkFreed()
	})
}
