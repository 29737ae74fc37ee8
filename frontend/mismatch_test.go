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

// scriptedDecode is a decode server that answers each attempt with the same
// faulty stream. %ID stands for the attempt id and %n for the text of token n.
func (w *world) scriptedDecode(ctx context.Context, script string) {
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
		w.traceparent = r.Header.Get("Traceparent")
		serve(rw, r.Header.Get("X-Request-Id"))
	})
	mux.HandleFunc("GET /v1/streams/{id}", func(rw http.ResponseWriter, r *http.Request) { serve(rw, r.PathValue("id")) })
	mux.HandleFunc("POST /abort_request", func(http.ResponseWriter, *http.Request) {})
	w.serve(ctx, address, &http.Server{Handler: mux})
	// It comes first, so that the first attempt uses it.
	pool := &w.tables.Pools[0]
	scripted := egretflow.Server{Name: "scripted", Address: address, FailureDomain: "moshi-lab", Role: egretflow.RoleDecode, Slots: 1, Blocks: 1}
	pool.Servers = append([]egretflow.Server{scripted}, pool.Servers...)
}

func token(n int, id string) string {
	return fmt.Sprintf("id: %d\ndata: {\"id\":\"%s\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%%%d\"},\"finish_reason\":null}]}\n\n", n, id, n)
}

const (
	finishEvent = "id: 3\ndata: {\"id\":\"%ID\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"length\"}]}\n\n"
	usageEvent  = "id: 3\ndata: {\"id\":\"%ID\",\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":3}}\n\n"
	doneMark    = "id: 3\ndata: [DONE]\n\n"
)

// TestFaultyStreams guards against answers of another request, with missing or
// repeated parts, and against cut answers that look complete (4.7, I3).
func TestFaultyStreams(t *testing.T) {
	own, end := "%ID", finishEvent+usageEvent+doneMark
	tests := map[string]struct {
		script string
		// another says that another server must complete the answer.
		another bool
	}{
		"Whole":        {token(1, own) + token(2, own) + token(3, own) + end, false},
		"Crossed":      {token(1, own) + token(2, "other") + token(3, own) + end, true},
		"CrossedFirst": {token(1, "other") + token(2, "other") + token(3, "other") + end, true},
		"Gap":          {token(1, own) + token(3, own) + end, true},
		"Duplicated":   {token(1, own) + token(1, own) + token(2, own) + token(2, own) + token(3, own) + end, false},
		"Cut":          {token(1, own) + token(2, own), true},
		"CutInEvent":   {token(1, own) + token(2, own)[:40], true},
		"NoFinish":     {token(1, own) + token(2, own) + token(3, own) + usageEvent + doneMark, false},
		"NoUsage":      {token(1, own) + token(2, own) + token(3, own) + finishEvent + doneMark, false},
		"NoEnd":        {token(1, own) + token(2, own) + token(3, own) + finishEvent + usageEvent, false},
		"Malformed":    {token(1, own) + "id: 2\ndata: {\"id\":\"%ID\",\"choices\":[{\n\n", true},
		"Empty":        {"", true},
		"EndOnly":      {doneMark, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			run(t, func(w *world) {
				w.scriptedDecode(w.t.Context(), tt.script)
				resp := w.must(chat(3, true).with("Traceparent", "00-trace"))
				if list := events(resp.body); text(w.t, list) != wantText(3) || list[len(list)-1].data != "[DONE]" {
					w.t.Errorf("answer is %s", resp.body)
				}
				if w.traceparent != "00-trace" {
					w.t.Errorf("Traceparent towards the engine is %q", w.traceparent)
				}
				if strings.Count(string(resp.body), `"finish_reason":"length"`) != 1 {
					w.t.Errorf("answer does not have one finish reason: %s", resp.body)
				}
				if another := w.instances[0].scheduler.acquired > 1; another != tt.another {
					w.t.Errorf("another server was used: %v, want %v", another, tt.another)
				}
				w.checkFreed()
			})
		})
	}
}

// TestCrashingRequest guards against a request that takes down every server of
// a pool (section 13): the attempts of one request are bounded.
func TestCrashingRequest(t *testing.T) {
	run(t, func(w *world) {
		body := strings.Replace(chat(10, true).body, prompt, engine.CrashMarker, 1)
		resp := w.must(request{body: body})
		if resp.StatusCode < 500 || resp.Header.Get("Egretflow-Run-State") != "MayHaveRun" {
			w.t.Errorf("status %d: %s", resp.StatusCode, resp.body)
		}
		if !w.instances[0].scheduler.saw(egretflow.ObservationCrashed, "prefill-1") {
			w.t.Error("the crash was not observed")
		}
		crashes := 0
		for _, e := range w.engines {
			crashes += e.Stats().Crashes
		}
		if crashes > 2 {
			w.t.Errorf("the request crashed %d servers", crashes)
		}
		w.checkFreed()
	})
}
