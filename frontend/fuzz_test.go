package frontend_test

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/authenticator"
	"github.com/egretflow/egretflow/checker"
	"github.com/egretflow/egretflow/explainer"
	"github.com/egretflow/egretflow/frontend"
	"github.com/egretflow/egretflow/recorder"
	"github.com/egretflow/egretflow/relayer"
)

// fuzzFrontend returns a Frontend whose scheduler refuses all requests. So a valid
// request is answered with status 429, and no server is called.
func fuzzFrontend(f *testing.F) http.Handler {
	tables := &egretflow.Tables{Routes: routes(), Pools: []egretflow.Pool{
		{Name: "letters", Kind: egretflow.PoolKindModel}, {Name: "desk", Kind: egretflow.PoolKindService},
	}}
	scheduler := newFakeScheduler(tables, 1)
	scheduler.refusal = &egretflow.Refusal{Status: http.StatusTooManyRequests, Reason: egretflow.RefusalOverload, RunState: egretflow.RunStateNotRun}
	events := explainer.New(100, nil)
	metrics, err := recorder.New()
	if err != nil {
		f.Fatal(err)
	}
	check := checker.New("entry", time.Now, events, nil)
	r := relayer.New(relayer.Config{
		Scheduler: scheduler, Recorder: events, Checker: check, Clock: time.Now, Rand: rand.New(rand.NewPCG(1, 1)),
		Dial: (&net.Dialer{}).DialContext, Claimer: newFakeClaimer(),
	})
	return frontend.New(frontend.Config{
		Relayer: r, Tables: func() *egretflow.Tables { return tables }, Recorder: events, Checker: check, Metrics: metrics,
		Callers: authenticator.StaticKeys(map[string]string{"key-v": "vonwiller"}), Clock: time.Now, Rand: rand.New(rand.NewPCG(1, 1)),
		Limits: frontend.Limits{MaxBodyBytes: 4 << 10},
	})
}

// FuzzRequest guards against requests of callers that get a malformed answer or one
// without run state, and against bad input that is answered with a 5xx status (4.3,
// 4.4).
func FuzzRequest(f *testing.F) {
	h := fuzzFrontend(f)
	f.Add("POST", "/v1/chat/completions", "key-v", "id-1", "", "", `{"model":"letter-writers","messages":[{"role":"user","content":"hi"}],"stream":true}`)
	f.Add("POST", "/v1/completions", "key-v", "", "2999-01-01T00:00:00Z", "0123456789abcdef-01234567.a.s.0+3", `{"model":"letter-writers","prompt":"hi"}`)
	f.Add("GET", "/v1/models", "key-v", "\x00", "", "", "")
	f.Add("POST", "/orders/7", "key-v", "", "", "", "")
	f.Add("GET", "/prices/../orders", "", "", "yesterday", "1.2.3.4", "{")
	f.Fuzz(func(t *testing.T, method, path, key, id, deadline, eventID, body string) {
		r, err := http.NewRequest(method, "http://entry"+path, strings.NewReader(body))
		if err != nil || !strings.HasPrefix(path, "/") {
			return
		}
		r.RemoteAddr = "10.0.0.9:1"
		for name, value := range map[string]string{
			"Authorization": "Bearer " + key, "X-Request-Id": id, "X-Request-Deadline": deadline,
			"Last-Event-ID": eventID, "Idempotency-Key": id,
		} {
			r.Header.Set(name, value)
		}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		if w.Code == http.StatusOK {
			return
		}
		var answer struct {
			Error struct {
				RunState egretflow.RunState `json:"run_state"`
			} `json:"error"`
		}
		if err := json.Unmarshal(w.Body.Bytes(), &answer); err != nil && method != http.MethodHead {
			t.Fatalf("status %d with body %q: %v", w.Code, w.Body, err)
		}
		if w.Code < 400 || w.Code > 499 || string(answer.Error.RunState) != w.Header().Get("Egretflow-Run-State") || answer.Error.RunState != egretflow.RunStateNotRun {
			t.Fatalf("status %d, header %q, body %s", w.Code, w.Header().Get("Egretflow-Run-State"), w.Body)
		}
	})
}
