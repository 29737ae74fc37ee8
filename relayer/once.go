package relayer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/pkg/errors"
)

const (
	// maxOnceBytes bounds the response to non-idempotent work, which is read
	// completely before it is passed on.
	maxOnceBytes = 4 << 20
	// maxOutcomeBytes bounds the part that is kept for retries of the caller.
	maxOutcomeBytes = 64 << 10
	// onceTimeout bounds work that its caller does not wait for any more.
	onceTimeout = 60 * time.Second
	// claimTimeout bounds the record of an outcome.
	claimTimeout = 5 * time.Second
)

// callOnce runs a non-idempotent call at most once (7).
func (r *Relayer) callOnce(ctx context.Context, call *Call, w http.ResponseWriter) (Result, error) {
	state := &callState{r: r, call: call}
	if r.cfg.Claimer == nil {
		return state.result, &egretflow.Refusal{
			Status: http.StatusServiceUnavailable, Reason: egretflow.RefusalStore, RunState: egretflow.RunStateNotRun,
			Message: "the instance cannot record claims",
		}
	}
	key := egretflow.ClaimKey{Caller: call.Work.Caller, Route: call.Work.Route, Key: call.Key, Fingerprint: call.Work.Fingerprint}
	deadline, _ := ctx.Deadline()
	ticket, outcome, err := r.cfg.Claimer.Begin(ctx, key, deadline)
	if err != nil {
		return state.result, state.claimRefusal(ctx, err)
	}
	if outcome == nil {
		if outcome, err = state.runOnce(ctx, ticket); err != nil {
			return state.result, err
		}
	} else if outcome.Truncated {
		return state.result, &egretflow.Refusal{
			Status: http.StatusConflict, Reason: egretflow.RefusalKeyReused, RunState: egretflow.RunStateRan,
			Message: "the request ran, and its response was too large to be kept",
		}
	}
	return state.passOutcome(w, outcome)
}

// claimRefusal is the rejection when no claim was made. Without an answer of
// the claimer the claim may be recorded, but the work did not run here.
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

func (c *callState) passOutcome(w http.ResponseWriter, outcome *egretflow.Outcome) (Result, error) {
	c.result.Started = true
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

// runOnce runs the call under the ticket and settles the ticket.
func (c *callState) runOnce(ctx context.Context, ticket *egretflow.ClaimTicket) (*egretflow.Outcome, error) {
	outcome, err := c.attemptOnce(ctx, ticket)
	settle, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer cancel()
	claimer := c.r.cfg.Claimer
	switch {
	case err == nil:
		kept := *outcome
		if len(kept.Body) > maxOutcomeBytes {
			kept.Body, kept.Truncated = nil, true
		}
		// The caller gets the response even if it could not be recorded; a retry
		// then gets MayHaveRun.
		_ = claimer.Finish(settle, ticket, &kept)
		return outcome, nil
	case c.mayHaveRun.Load():
		_ = claimer.Unknown(settle, ticket)
	default:
		_ = claimer.NotRun(settle, ticket)
	}
	return nil, c.refusal(ctx, err)
}

// attemptOnce sends the call until one server may have run it.
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

// sendOnce sends the call over a new connection. From then on it does not
// depend on the caller any more, so that the outcome becomes known.
func (c *callState) sendOnce(ctx context.Context, at *callAttempt, ticket *egretflow.ClaimTicket) (*egretflow.Outcome, error) {
	if now := c.r.now(); !now.Before(ticket.RunBy) {
		at.end(nil)
		return nil, &egretflow.Refusal{
			Status: http.StatusServiceUnavailable, Reason: egretflow.RefusalStore, RunState: egretflow.RunStateNotRun,
			Message: "the claim ended before a server was free", RetryAt: now.Add(c.r.jitter(2 * time.Second)),
		}
	}
	detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), onceTimeout)
	at.cancel = cancel
	resp, err := at.send(detached, true)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(io.LimitReader(resp.Body, maxOnceBytes+1))
	}
	at.end(resp)
	if err != nil {
		var f *failure
		if !errors.As(err, &f) {
			f = brokenConnection(detached, at.a.Decode, err)
		}
		at.r.attemptFailed(f, at.a)
		return nil, f
	}
	at.served(c.r.now())
	if len(body) > maxOnceBytes {
		return nil, &egretflow.Refusal{
			Status: http.StatusBadGateway, Reason: egretflow.RefusalBackend, RunState: egretflow.RunStateRan,
			Message: fmt.Sprintf("the response is larger than %d bytes", maxOnceBytes),
		}
	}
	return &egretflow.Outcome{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}
