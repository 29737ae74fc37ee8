package relayer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/pkg/errors"
)

const (
	// abortTimeout bounds one abort request, abortPeriod all of them together.
	// An engine frees a stream that nobody reads after 3 s, so a longer period
	// frees nothing more.
	abortTimeout    = 500 * time.Millisecond
	abortPeriod     = 3 * time.Second
	minAbortBackoff = 50 * time.Millisecond
	maxAbortBackoff = 500 * time.Millisecond
)

// fail reports the failure of a server to the scheduler. It returns nil when
// err does not come from a server.
func (at *attempt) fail(err error) *failure {
	var f *failure
	if !errors.As(err, &f) {
		return nil
	}
	at.wastedTokens += at.unusedTokens
	at.unusedTokens = 0
	at.r.attemptFailed(f, at.a)
	return f
}

// attemptFailed tells the scheduler, the log and the metrics of a failure.
func (r *Relayer) attemptFailed(f *failure, a *egretflow.Assignment) {
	now := r.now()
	if kind, ok := observationOf[f.kind]; ok {
		r.cfg.Scheduler.Observe(egretflow.Observation{Kind: kind, Server: f.server, Attempt: a.Attempt, StartedAt: now, EndedAt: now, Unsent: f.unsent})
	}
	if r.cfg.AttemptFailed != nil {
		r.cfg.AttemptFailed(a.Work, string(f.kind))
	}
	r.record(egretflow.EventAttemptFailed, a.Work, a, field("server", f.server), field("reason", f.kind), field("error", f.err.Error()))
}

// complete releases an attempt whose work ended at the engines.
func (at *attempt) complete() {
	if !at.end() {
		return
	}
	at.release()
}

// abort ends the work at both engines and then releases the attempt.
func (at *attempt) abort() {
	if !at.end() {
		return
	}
	at.wastedTokens += at.unusedTokens
	if !at.dispatched {
		at.release()
		return
	}
	at.r.cleanups.Go(func() {
		done := make(chan struct{})
		go func() {
			defer close(done)
			at.r.sendAborts(at.a.Prefill, at.job.Pool.ServerTLS, at.a.Attempt)
		}()
		at.r.sendAborts(at.a.Decode, at.job.Pool.ServerTLS, at.a.Attempt)
		<-done
		at.release()
	})
}

// end reports whether the attempt was still open.
func (at *attempt) end() bool {
	open := !at.ended
	at.ended = true
	return open
}

func (at *attempt) release() {
	if at.wastedTokens > 0 && at.r.cfg.Wasted != nil {
		at.r.cfg.Wasted(at.a.Work, at.wastedTokens)
	}
	at.r.cfg.Scheduler.Release(egretflow.Release{Attempt: at.a.Attempt, WastedPrefillTokens: at.wastedTokens})
}

// abortAt ends the work of an attempt at one server in the background.
func (r *Relayer) abortAt(server *egretflow.Server, useTLS bool, attempt egretflow.AttemptID) {
	r.cleanups.Go(func() { r.sendAborts(server, useTLS, attempt) })
}

// sendAborts repeats the abort until the server acknowledges it or has dropped
// the stream by itself.
func (r *Relayer) sendAborts(server *egretflow.Server, useTLS bool, attempt egretflow.AttemptID) {
	ctx, cancel := context.WithTimeout(context.Background(), abortPeriod)
	defer cancel()
	backoff := minAbortBackoff
	for r.sendAbort(ctx, server, useTLS, attempt) != nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.jitter(backoff)):
		}
		backoff = min(2*backoff, maxAbortBackoff)
	}
}

func (r *Relayer) sendAbort(ctx context.Context, server *egretflow.Server, useTLS bool, attempt egretflow.AttemptID) error {
	ctx, cancel := context.WithTimeout(ctx, abortTimeout)
	defer cancel()
	body, err := json.Marshal(map[string]string{"rid": string(attempt)})
	if err != nil {
		return fmt.Errorf("encode abort: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, serverURL(server.Address, useTLS, "/abort_request"), bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build abort: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	// A pooled connection may be one that delivers no data any more.
	resp, _, err := r.client.Open(req)
	if err != nil {
		return fmt.Errorf("send abort: %w", err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes)); err != nil {
		return fmt.Errorf("read abort answer: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("abort answered with status %d", resp.StatusCode)
	}
	return nil
}
