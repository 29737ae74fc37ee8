package relayer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/pkg/errors"
)

const (
	// abortTimeout is the timeout of one abort request.
	abortTimeout = 500 * time.Millisecond
	// abortPeriod is the time for which aborts are repeated. An engine cannot see
	// that a silent connection has ended, so its stream keeps running until an
	// abort arrives, which may be long after the engine became unreachable.
	abortPeriod = time.Minute
	// releaseDelay is the time after which an attempt is released although no
	// engine has acknowledged the abort. It is also how long Close waits for
	// aborts.
	releaseDelay = 3 * time.Second
	// minAbortBackoff and maxAbortBackoff bound the wait before the next abort
	// request, which doubles each time.
	minAbortBackoff = 50 * time.Millisecond
	maxAbortBackoff = 500 * time.Millisecond
)

// reportFailure reports the failure of a server and counts the prompt tokens that
// it wasted. It returns nil if err is not a *failure.
func (at *attempt) reportFailure(err error) *failure {
	var f *failure
	if !errors.As(err, &f) {
		return nil
	}
	at.wastedTokens += at.unusedTokens
	at.unusedTokens = 0
	at.r.reportFailure(f, at.a, at.job.Pool)
	return f
}

// reportFailure reports a failure to the scheduler, the log and the metrics, after it
// has found out whether the server has crashed.
func (r *Relayer) reportFailure(f *failure, a *egretflow.Assignment, pool *egretflow.Pool) {
	r.confirmCrash(f, a, pool)
	if f.unread && f.kind == failureBroken {
		f.kind = failureUnread
	}
	if o, ok := f.observation(pool, r.now()); ok {
		o.Attempt = a.Attempt
		r.cfg.Scheduler.Observe(o)
	}
	if r.cfg.AttemptFailed != nil {
		r.cfg.AttemptFailed(a.Work, string(f.kind))
	}
	r.record(egretflow.EventAttemptFailed, a.Work, a, field("server", f.server), field("reason", f.kind), field("error", f.err.Error()))
}

// complete releases an attempt whose work has ended at the engines.
func (at *attempt) complete() {
	if !at.markEnded() {
		return
	}
	at.release()
}

// abort aborts the work at both engines in the background. It releases the attempt
// when they have acknowledged it or releaseDelay has passed, or at once if no
// request was sent.
func (at *attempt) abort() {
	if !at.markEnded() {
		return
	}
	at.wastedTokens += at.unusedTokens
	if !at.sent {
		at.release()
		return
	}
	release := sync.OnceFunc(at.release)
	at.r.cleanups.Go(func() {
		overdue := time.AfterFunc(releaseDelay, release)
		defer overdue.Stop()
		var aborts sync.WaitGroup
		for _, server := range []*egretflow.Server{at.a.Prefill, at.a.Decode} {
			aborts.Go(func() { at.r.sendAborts(server, at.job.Pool.ServerTLS, at.a.Attempt) })
		}
		aborts.Wait()
		release()
	})
}

// markEnded marks the attempt as ended and reports whether it was not ended before.
func (at *attempt) markEnded() bool {
	open := !at.ended
	at.ended = true
	return open
}

// release releases the assignment and reports the wasted prompt tokens.
func (at *attempt) release() {
	if at.wastedTokens > 0 && at.r.cfg.PrefillWasted != nil {
		at.r.cfg.PrefillWasted(at.a.Work, at.wastedTokens)
	}
	at.r.cfg.Scheduler.Release(egretflow.Release{Attempt: at.a.Attempt, WastedPrefillTokens: at.wastedTokens, Complete: at.completed})
}

// abortAt aborts the work of an attempt at one server in the background.
func (r *Relayer) abortAt(server *egretflow.Server, useTLS bool, attempt egretflow.AttemptID) {
	r.cleanups.Go(func() { r.sendAborts(server, useTLS, attempt) })
}

// sendAborts repeats the abort request until the server acknowledges it,
// abortPeriod has passed or releaseDelay has passed since Close.
func (r *Relayer) sendAborts(server *egretflow.Server, useTLS bool, attempt egretflow.AttemptID) {
	ctx, cancel := context.WithTimeout(r.aborts, abortPeriod)
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
	resp, _, err := r.client.Open(req)
	if err != nil {
		return fmt.Errorf("send abort: %w", err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes)); err != nil {
		return fmt.Errorf("read abort response: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("abort failed with status %d", resp.StatusCode)
	}
	return nil
}
