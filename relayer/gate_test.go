package relayer_test

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/checker"
	"github.com/egretflow/egretflow/relayer"
)

// pausedGate reports that the only other server takes work again at opensAt.
type pausedGate struct {
	scriptedGate
	from, opensAt time.Time
}

func (g *pausedGate) Closed(egretflow.PoolName) egretflow.ClosedServers {
	if now := time.Now(); now.After(g.from) && now.Before(g.opensAt) {
		return egretflow.ClosedServers{Names: []egretflow.ServerName{"e"}, OpensAt: g.opensAt}
	}
	return egretflow.ClosedServers{}
}

// Guards against a stream that is cut because the servers that could continue it have asked for a short pause.
func TestBrokenStreamWaitsForPausedServer(t *testing.T) {
	s := parseScript(t, "x", "route kind=resumable attempts=2\nserver p stage=prefill\nserver d stage=decode pause=100\nserver e stage=decode\non p prefill\n"+
		"on d events 1-2 cut\non p prefill\non e events 3-3\n")
	for _, v := range s.servers {
		v.listen(t)
	}
	now := time.Now()
	gate := &pausedGate{from: now.Add(50 * time.Millisecond), opensAt: now.Add(400 * time.Millisecond)}
	r := relayer.New(relayer.Config{
		Instance: "i", Scheduler: &scriptedScheduler{script: s}, Recorder: discardRecorder{}, Checker: checker.New("i", time.Now, discardRecorder{}, nil),
		Clock: time.Now, Rand: rand.New(rand.NewPCG(1, 1)), Dial: (&net.Dialer{}).DialContext,
		Dialect: scriptedDialect{}, Engines: &scriptedEngines{script: s}, Gate: gate,
	})
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
	defer cancel()
	call := &relayer.Call{
		Work: &egretflow.Work{Request: "r1", Pool: "p", Idempotent: true, ArrivedAt: now, FirstTokenBy: now.Add(100 * time.Millisecond), GiveUpBy: now.Add(2 * time.Second), Deadline: now.Add(4 * time.Second), PromptTokens: 100, MaxTokens: 10},
		Pool: &egretflow.Pool{Name: "p", Kind: egretflow.PoolKindModel, HoldTTL: egretflow.Duration(time.Second)}, Method: http.MethodPost, URL: &url.URL{Path: "/a"}, Host: "h", Header: http.Header{},
		Terms: egretflow.RequestMetadata{ID: "r1"}, MaxAttempts: 2, EventGapTarget: 100 * time.Millisecond,
	}
	w := httptest.NewRecorder()
	_, err := r.ForwardStream(ctx, call, w)
	r.Close()
	if err != nil {
		t.Errorf("body %q, error %v after %v; the server opens at 400ms", w.Body.String(), err, time.Since(now))
	}
}
