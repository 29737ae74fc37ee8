package relayer

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/reserver"
	"github.com/pkg/errors"
)

const (
	// maxBufferedBytes is the maximum size of a response that is read completely
	// before it is sent to the caller: responses to non-idempotent calls and to
	// forwarded requests.
	maxBufferedBytes = 4 << 20
	// maxOutcomeBytes is the maximum size of a response body that is recorded with
	// its claim, for retries of the caller. Larger bodies are not recorded.
	maxOutcomeBytes = 64 << 10
	// detachedTimeout is the timeout of a non-idempotent call, which continues when
	// its caller disconnects.
	detachedTimeout = 60 * time.Second
	// claimUpdateTimeout is the timeout for recording the outcome of a claim.
	claimUpdateTimeout = 5 * time.Second
)

// callOnce runs a non-idempotent call at most once (7).
func (c *callState) callOnce(ctx context.Context, w http.ResponseWriter) (Result, error) {
	if c.r.cfg.Claimer == nil {
		return c.result, &egretflow.Refusal{
			Status: http.StatusServiceUnavailable, Reason: egretflow.RefusalStore, RunState: egretflow.RunStateNotRun,
			Message: "the instance cannot record claims",
		}
	}
	call := c.call
	key := egretflow.ClaimKey{Caller: call.Work.Caller, Route: call.Work.Route, Key: call.Key, Fingerprint: call.Work.Fingerprint}
	deadline, _ := ctx.Deadline()
	ticket, outcome, err := c.r.cfg.Claimer.Begin(ctx, key, deadline)
	c.result.NotSent = ticket == nil
	if err != nil {
		return c.result, c.claimRefusal(ctx, err)
	}
	if outcome == nil {
		if outcome, err = c.runOnce(ctx, ticket); err != nil {
			return c.result, err
		}
	} else if outcome.Truncated {
		return c.result, &egretflow.Refusal{
			Status: http.StatusConflict, Reason: egretflow.RefusalKeyReused, RunState: egretflow.RunStateRan,
			Message: "the request ran, and its response was too large to be kept",
		}
	}
	return c.writeOutcome(w, outcome)
}

// claimRefusal returns the refusal when the claim failed. If the claimer did not
// respond, the claim may have been recorded, although this instance did not run
// the work.
func (c *callState) claimRefusal(ctx context.Context, err error) error {
	var refusal *egretflow.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	return &egretflow.Refusal{
		Status: http.StatusServiceUnavailable, Reason: egretflow.RefusalStore, RunState: egretflow.RunStateMayHaveRun,
		Message: "the claim could not be recorded", RetryAt: c.r.now().Add(c.r.jitter(2 * time.Second)), Err: err,
	}
}

// writeOutcome writes the outcome of a call to the caller.
func (c *callState) writeOutcome(w http.ResponseWriter, outcome *egretflow.Outcome) (Result, error) {
	c.result.Started, c.result.Status = true, outcome.Status
	c.result.FirstTokenAt = c.r.now()
	c.result.LastTokenAt = c.result.FirstTokenAt
	if outcome.ContentType != "" {
		w.Header().Set("Content-Type", outcome.ContentType)
	}
	w.Header().Set(runStateHeader, string(egretflow.RunStateRan))
	w.WriteHeader(outcome.Status)
	if _, err := w.Write(outcome.Body); err != nil {
		return c.result, fmt.Errorf("write response: %w", err)
	}
	return c.result, nil
}

// runOnce runs the call under the claim of ticket and records its outcome.
func (c *callState) runOnce(ctx context.Context, ticket *egretflow.ClaimTicket) (*egretflow.Outcome, error) {
	outcome, err := c.attemptOnce(ctx, ticket)
	updateCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimUpdateTimeout)
	defer cancel()
	claimer := c.r.cfg.Claimer
	switch {
	case err == nil:
		recorded := *outcome
		if len(recorded.Body) > maxOutcomeBytes {
			recorded.Body, recorded.Truncated = nil, true
		}
		// If recording fails, this caller still gets the response, and a retry is
		// refused with MayHaveRun.
		_ = claimer.Finish(updateCtx, ticket, &recorded)
		return outcome, nil
	case c.mayHaveRun.Load():
		_ = claimer.MarkUnknown(updateCtx, ticket)
	default:
		_ = claimer.MarkNotRun(updateCtx, ticket)
	}
	return nil, c.refusal(ctx, err)
}

// attemptOnce tries servers until one may have run the call.
func (c *callState) attemptOnce(ctx context.Context, ticket *egretflow.ClaimTicket) (*egretflow.Outcome, error) {
	work := c.call.Work
	for attempts := 1; ; attempts++ {
		a, err := c.r.acquire(ctx, work, &c.result)
		if err != nil {
			return nil, err
		}
		outcome, err := c.sendOnce(ctx, c.newAttempt(a), ticket)
		if err == nil {
			return outcome, nil
		}
		var f *failure
		if c.mayHaveRun.Load() || attempts == maxAttempts || !errors.As(err, &f) || ctx.Err() != nil {
			return nil, err
		}
		work = c.nextWork(work, f)
	}
}

// sendOnce sends the call and reads the complete response.
// It does not stop when the caller disconnects, so that the outcome becomes known.
func (c *callState) sendOnce(ctx context.Context, at *callAttempt, ticket *egretflow.ClaimTicket) (*egretflow.Outcome, error) {
	if now := c.r.now(); !now.Before(ticket.RunBy) {
		at.end(nil)
		return nil, &egretflow.Refusal{
			Status: http.StatusServiceUnavailable, Reason: egretflow.RefusalStore, RunState: egretflow.RunStateNotRun,
			Message: "the claim ended before a server was free", RetryAt: now.Add(c.r.jitter(2 * time.Second)),
		}
	}
	detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), detachedTimeout)
	at.cancel = cancel
	resp, err := at.send(detached)
	var body []byte
	if err == nil {
		body, err = c.response.ReadAll(resp.Body, resp.ContentLength, maxBufferedBytes)
	}
	at.end(resp)
	if errors.Is(err, reserver.ErrTooLarge) {
		at.reportResponse(resp.StatusCode, c.r.now())
		return nil, &egretflow.Refusal{
			Status: http.StatusBadGateway, Reason: egretflow.RefusalBackend, RunState: egretflow.RunStateRan,
			Message: fmt.Sprintf("the response is larger than %d bytes", maxBufferedBytes),
		}
	}
	if err != nil {
		var f *failure
		if !errors.As(err, &f) {
			f = connectionFailure(detached, at.a.Decode, err)
		}
		at.r.reportFailure(f, at.a, at.call.Pool)
		return nil, f
	}
	at.reportResponse(resp.StatusCode, c.r.now())
	return &egretflow.Outcome{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}
