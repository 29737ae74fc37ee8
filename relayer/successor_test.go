package relayer_test

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/checker"
	"github.com/egretflow/egretflow/relayer"
)

// queuingScheduler lets every request after the first wait until its context ends.
type queuingScheduler struct {
	scriptedScheduler
	mu    sync.Mutex
	calls int
	waits []time.Duration
}

func (s *queuingScheduler) Acquire(ctx context.Context, w *egretflow.Work) (*egretflow.Assignment, error) {
	s.mu.Lock()
	s.calls++
	n := s.calls
	s.mu.Unlock()
	if n == 1 {
		return s.scriptedScheduler.Acquire(ctx, w)
	}
	began := time.Now()
	<-ctx.Done()
	s.mu.Lock()
	s.waits = append(s.waits, time.Since(began))
	s.mu.Unlock()
	return nil, ctx.Err()
}

// Guards against a stream that waits for other servers, and uses the retry budget, although its own has gone on.
func TestResumedStreamStopsWaitingForSuccessor(t *testing.T) {
	s := parseScript(t, "x", "route kind=resumable attempts=2\nserver p stage=prefill\nserver d stage=decode\non p prefill\n"+
		"on d raw HTTP/1.1_200_X^|Request:_r1^|Stamp:_d^|Connection:_close^|^|id:_1|data:_e1||%SLEEP%id:_2|data:_e2||%SLEEP%id:_3|data:_e3||\n")
	for _, v := range s.servers {
		v.listen(t)
	}
	scheduler := &queuingScheduler{scriptedScheduler: scriptedScheduler{script: s}}
	r := relayer.New(relayer.Config{
		Instance: "i", Scheduler: scheduler, Recorder: discardRecorder{}, Checker: checker.New("i", time.Now, discardRecorder{}, nil),
		Clock: time.Now, Rand: rand.New(rand.NewPCG(1, 1)), Dial: (&net.Dialer{}).DialContext,
		Dialect: scriptedDialect{}, Engines: &scriptedEngines{script: s}, Gate: &s.gate,
	})
	ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
	defer cancel()
	now := time.Now()
	call := &relayer.Call{
		Work: &egretflow.Work{Request: "r1", Pool: "p", Idempotent: true, ArrivedAt: now, FirstTokenBy: now.Add(100 * time.Millisecond), GiveUpBy: now.Add(2 * time.Second), PromptTokens: 100, MaxTokens: 10},
		Pool: &egretflow.Pool{Name: "p", Kind: egretflow.PoolKindModel, HoldTTL: egretflow.Duration(time.Second)}, Method: http.MethodPost, URL: &url.URL{Path: "/a"}, Host: "h", Header: http.Header{},
		Terms: egretflow.RequestMetadata{ID: "r1"}, MaxAttempts: 2, EventGapTarget: 100 * time.Millisecond,
	}
	w := httptest.NewRecorder()
	_, err := r.ForwardStream(ctx, call, w)
	r.Close()
	t.Logf("body %q, error %v, waits %v", w.Body.String(), err, scheduler.waits)
	// The stream is silent from 0 s to 1.5 s; the reservation begins at about 0.8 s.
	for _, d := range scheduler.waits {
		if d > 1200*time.Millisecond {
			t.Errorf("the reservation waited %v, over a second longer than the silence", d)
		}
	}
}
