package frontend_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/stub/engine"
)

// addScriptedDecode adds a decode server that answers each attempt with script. In
// script, %ID stands for the attempt id, and %1 to %9 for the text of that token.
func (env *testEnv) addScriptedDecode(ctx context.Context, script string) {
	address := netip.AddrPortFrom(host(hostDecode, 3), 8000)
	serve := func(rw http.ResponseWriter, id string) {
		rw.Header().Set("Content-Type", "text/event-stream")
		out := strings.ReplaceAll(script, "%ID", id)
		for n := 9; n > 0; n-- {
			out = strings.ReplaceAll(out, fmt.Sprintf("%%%d", n), strings.TrimPrefix(wantText(n), wantText(n-1)))
		}
		_, _ = rw.Write([]byte(out))
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(rw http.ResponseWriter, r *http.Request) {
		env.traceparent = r.Header.Get("Traceparent")
		serve(rw, r.Header.Get("X-Request-Id"))
	})
	mux.HandleFunc("GET /v1/streams/{id}", func(rw http.ResponseWriter, r *http.Request) { serve(rw, r.PathValue("id")) })
	mux.HandleFunc("POST /abort_request", func(http.ResponseWriter, *http.Request) {})
	env.serve(ctx, address, &http.Server{Handler: mux})
	// The scheduler assigns the first server of the pool to the first attempt.
	pool := &env.tables.Pools[0]
	scripted := egretflow.Server{Name: "scripted", Address: address, FailureDomain: "moshi-lab", Role: egretflow.RoleDecode, Slots: 1, Blocks: 1}
	pool.Servers = append([]egretflow.Server{scripted}, pool.Servers...)
}

// tokenEvent returns the event of token n with the given attempt id, for a script.
func tokenEvent(n int, id string) string {
	return fmt.Sprintf("id: %d\ndata: {\"id\":\"%s\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%%%d\"},\"finish_reason\":null}]}\n\n", n, id, n)
}

const (
	finishEvent = "id: 3\ndata: {\"id\":\"%ID\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"length\"}]}\n\n"
	usageEvent  = "id: 3\ndata: {\"id\":\"%ID\",\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":3}}\n\n"
	doneEvent   = "id: 3\ndata: [DONE]\n\n"
)

// TestFaultyStreams guards against wrong answers to the caller when the stream of a
// decode server has events of another request, lacks or repeats events, or ends
// early (4.7, I3).
func TestFaultyStreams(t *testing.T) {
	attemptID, end := "%ID", finishEvent+usageEvent+doneEvent
	tests := map[string]struct {
		script string
		// otherServer is true if another server must complete the answer.
		otherServer bool
	}{
		"Whole":        {tokenEvent(1, attemptID) + tokenEvent(2, attemptID) + tokenEvent(3, attemptID) + end, false},
		"Crossed":      {tokenEvent(1, attemptID) + tokenEvent(2, "other") + tokenEvent(3, attemptID) + end, true},
		"CrossedFirst": {tokenEvent(1, "other") + tokenEvent(2, "other") + tokenEvent(3, "other") + end, true},
		"Gap":          {tokenEvent(1, attemptID) + tokenEvent(3, attemptID) + end, true},
		"Duplicated":   {tokenEvent(1, attemptID) + tokenEvent(1, attemptID) + tokenEvent(2, attemptID) + tokenEvent(2, attemptID) + tokenEvent(3, attemptID) + end, false},
		"Cut":          {tokenEvent(1, attemptID) + tokenEvent(2, attemptID), true},
		"CutInEvent":   {tokenEvent(1, attemptID) + tokenEvent(2, attemptID)[:40], true},
		"NoFinish":     {tokenEvent(1, attemptID) + tokenEvent(2, attemptID) + tokenEvent(3, attemptID) + usageEvent + doneEvent, false},
		"NoUsage":      {tokenEvent(1, attemptID) + tokenEvent(2, attemptID) + tokenEvent(3, attemptID) + finishEvent + doneEvent, false},
		"NoEnd":        {tokenEvent(1, attemptID) + tokenEvent(2, attemptID) + tokenEvent(3, attemptID) + finishEvent + usageEvent, false},
		"Malformed":    {tokenEvent(1, attemptID) + "id: 2\ndata: {\"id\":\"%ID\",\"choices\":[{\n\n", true},
		"ErrorEvent":   {tokenEvent(1, attemptID) + tokenEvent(2, attemptID) + "data: {\"error\":{\"message\":\"busy\"}}\n\n" + doneEvent, true},
		"SecondHead":   {tokenEvent(1, attemptID) + "HTTP/1.1 502 Bad Gateway\r\nContent-Type: text/plain\r\n\r\nbusy\n\n", true},
		"PlainError":   {"{\"error\":{\"message\":\"busy\"}}\n\n", true},
		"Empty":        {"", true},
		"EndOnly":      {doneEvent, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			run(t, func(env *testEnv) {
				env.addScriptedDecode(env.t.Context(), tt.script)
				resp := env.mustDo(chat(3, true).withHeader("Traceparent", "00-trace"))
				if list := events(resp.body); text(env.t, list) != wantText(3) || list[len(list)-1].data != "[DONE]" {
					env.t.Errorf("answer is %s", resp.body)
				}
				if env.traceparent != "00-trace" {
					env.t.Errorf("Traceparent towards the engine is %q", env.traceparent)
				}
				if strings.Count(string(resp.body), `"finish_reason":"length"`) != 1 {
					env.t.Errorf("answer does not have one finish reason: %s", resp.body)
				}
				if otherServer := env.instances[0].scheduler.acquired > 1; otherServer != tt.otherServer {
					env.t.Errorf("another server was used: %v, want %v", otherServer, tt.otherServer)
				}
				env.checkFreed()
			})
		})
	}
}

// TestCrashingRequest guards against a request that crashes all servers of a pool,
// because each crash leads to an attempt on the next server. The attempts of one
// request are limited (section 13).
func TestCrashingRequest(t *testing.T) {
	run(t, func(env *testEnv) {
		body := strings.Replace(chat(10, true).body, prompt, engine.CrashMarker, 1)
		resp := env.mustDo(request{body: body})
		if resp.StatusCode < 500 || resp.Header.Get("Egretflow-Run-State") != "MayHaveRun" {
			env.t.Errorf("status %d: %s", resp.StatusCode, resp.body)
		}
		if !env.instances[0].scheduler.hasObserved(egretflow.ObservationCrashed, "prefill-1") {
			env.t.Error("the crash was not observed")
		}
		crashes := 0
		for _, e := range env.engines {
			crashes += e.Stats().Crashes
		}
		if crashes > 2 {
			env.t.Errorf("the request crashed %d servers", crashes)
		}
		env.checkFreed()
	})
}
