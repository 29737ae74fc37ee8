package relayer

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/admitter"
	"github.com/egretflow/egretflow/connector"
	"github.com/egretflow/egretflow/reserver"
)

const (
	// maxForwardAttempts is the maximum number of assignments that one forwarded
	// request tries, including those whose server did not run it.
	maxForwardAttempts = 8
	// forwardTimeoutFactor times the first-token target of a route is the timeout
	// of a server whose request may be repeated at another server.
	forwardTimeoutFactor = 4
)

// completeResponse is a response of a server that was read to its end.
type completeResponse struct {
	status int
	header http.Header
	body   []byte
}

// forwardState holds the state of a forwarded request across its attempts.
type forwardState struct {
	r    *Relayer
	call *Call
	// deadline is when the request ends. It is also sent to servers.
	deadline time.Time
	result   Result
	// runs counts the servers that may have run the request.
	runs int
	// attempts counts the assignments that were tried.
	attempts int
	// writtenEvents counts the events that were sent to the caller.
	writtenEvents int
	// lastEventID is the id of the last event that the caller has; empty if none.
	lastEventID string
	// lastEvent is the event with lastEventID; nil if the caller had it before.
	lastEvent []byte
	// unnumbered reports whether the caller has an event without an id, after which no
	// server can be asked to continue.
	unnumbered atomic.Bool
	// consecutive reports whether the ids of the events have increased by one each time
	// so far, so that a gap shows that events are missing.
	consecutive bool
	// lastResponse is the newest complete error response of a server; nil if there
	// is none.
	lastResponse *completeResponse
	// lastActivityAt is when a server was last sent a request or last sent an event.
	lastActivityAt time.Time
	// responses is what the responses of all attempts hold in memory.
	responses *reserver.Part
	// claimed is the room for the buffers and the response of the request.
	claimed *reserver.Part
	// successor is the reserved next attempt, if a check of the running one has found
	// that its server does not respond; nil otherwise.
	successor *successor
}

func (r *Relayer) newForwardState(ctx context.Context, call *Call) *forwardState {
	deadline, _ := ctx.Deadline()
	return &forwardState{r: r, call: call, deadline: deadline, lastEventID: call.Terms.ResumeAfter, responses: r.cfg.Responses.Part(), claimed: r.cfg.Responses.Part()}
}

// free frees what the request holds in memory.
func (f *forwardState) free() {
	f.responses.Free()
	f.claimed.Free()
}

// Forward runs a forwarded call of a service pool and writes its response to w.
// It writes only complete responses of servers.
func (r *Relayer) Forward(ctx context.Context, call *Call, w http.ResponseWriter) (Result, error) {
	f := r.newForwardState(ctx, call)
	defer f.free()
	if !f.claimed.Claim(answerBytes) {
		return f.result, r.noRoom()
	}
	defer f.releaseSuccessor()
	err := f.run(ctx, func(work *egretflow.Work) error {
		resp, err := f.attempt(ctx, work)
		if err != nil {
			return err
		}
		return f.writeResponse(w, resp)
	}, w)
	return f.result, err
}

// run repeats attempt until it succeeds or no further attempt is allowed (5.5).
func (f *forwardState) run(ctx context.Context, attempt func(work *egretflow.Work) error, w http.ResponseWriter) error {
	work := f.call.Work
	for {
		f.attempts++
		err := attempt(work)
		if err == nil {
			return nil
		}
		var cause *failure
		if !errors.As(err, &cause) || ctx.Err() != nil {
			return f.finishFailed(ctx, w, err)
		}
		if cause.response != nil {
			f.lastResponse = cause.response
		}
		next, ok := f.nextWork(work, cause)
		if !ok {
			return f.finishFailed(ctx, w, cause)
		}
		work = next
	}
}

// nextWork returns the work of the next attempt, or false if no further attempt is
// allowed.
func (f *forwardState) nextWork(work *egretflow.Work, cause *failure) (*egretflow.Work, bool) {
	switch {
	case f.attempts >= maxForwardAttempts:
		return nil, false
	case f.runs > 0 && !f.call.Work.Idempotent:
		return nil, false
	case f.runs >= f.maxRuns(), f.unnumbered.Load(), cause.kind == failureNoRoom, cause.kind == failureUnread:
		return nil, false
	}
	next := f.retryWork(work, cause, f.writtenEvents, f.lastEventAt())
	if f.successor != nil {
		next = f.successor.a.Work
	}
	f.result.Retries++
	f.r.record(egretflow.EventRetried, next, nil, field("reason", cause.kind), field("server", cause.server))
	return next, true
}

// isLast reports whether no further attempt is allowed after the running one.
func (f *forwardState) isLast() bool {
	return f.runs+1 >= f.maxRuns() || f.attempts >= maxForwardAttempts
}

// maxRuns returns the maximum number of servers that may run the request.
func (f *forwardState) maxRuns() int {
	if f.call.MaxAttempts > 0 {
		return f.call.MaxAttempts
	}
	return maxAttempts
}

// finishFailed ends a failed request. It writes the newest error response of a
// server if there is one and nothing was sent to the caller; otherwise it returns
// the refusal.
func (f *forwardState) finishFailed(ctx context.Context, w http.ResponseWriter, err error) error {
	if f.lastResponse != nil && !f.result.Started && ctx.Err() == nil {
		return f.writeResponse(w, f.lastResponse)
	}
	return f.refusal(ctx, err)
}

// refusal converts the error that ends a request to the one that the caller
// receives. The request counts as not run if runs is 0, because then no server
// received it without stating that it did not run.
func (f *forwardState) refusal(ctx context.Context, err error) error {
	p := &progress{r: f.r, result: f.result}
	p.mayHaveRun.Store(f.runs > 0)
	err = p.refusal(ctx, err)
	var refusal *egretflow.Refusal
	if errors.As(err, &refusal) && f.retryAfterPeak(refusal) {
		refusal.RetryAt = f.r.retryAt(f.call.Work)
	}
	return err
}

// retryAfterPeak reports whether the caller of a model request that found no
// engine and did not run should be asked to retry after the load peak.
func (f *forwardState) retryAfterPeak(refusal *egretflow.Refusal) bool {
	if refusal.Reason != egretflow.RefusalBackend || refusal.RunState != egretflow.RunStateNotRun {
		return false
	}
	return f.call.Pool.Kind == egretflow.PoolKindModel && admitter.CanRetryLater(f.call.Work)
}

// attempt runs the call under one assignment.
func (f *forwardState) attempt(ctx context.Context, work *egretflow.Work) (*completeResponse, error) {
	a, _, err := f.acquire(ctx, work)
	if err != nil {
		return nil, err
	}
	defer f.r.cfg.Scheduler.Release(egretflow.Release{Attempt: a.Attempt})
	sentAt := f.r.now()
	resp, err := f.exchange(ctx, a)
	if err != nil {
		return nil, f.reportFailure(a, err)
	}
	f.r.cfg.Scheduler.Observe(egretflow.Observation{
		Kind: responseKind(resp.status), Server: a.Decode.Name, Attempt: a.Attempt, StartedAt: sentAt, EndedAt: f.r.now(),
	})
	if resp.status >= http.StatusInternalServerError && work.Idempotent {
		return nil, f.reportFailure(a, &failure{
			kind: failureError, server: a.Decode.Name, response: resp, delivered: true, err: fmt.Errorf("status %d", resp.status),
		})
	}
	return resp, nil
}

// exchange sends the call and reads the complete response. Non-idempotent work
// continues when its caller disconnects, so that it is not aborted midway.
func (f *forwardState) exchange(ctx context.Context, a *egretflow.Assignment) (*completeResponse, error) {
	sendCtx, cancel := f.sendContext(ctx, a)
	defer cancel()
	resp, err := f.send(sendCtx, a, egretflow.ExchangeMetadata{Server: a.Decode, Stage: egretflow.StageWhole})
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return f.readResponse(sendCtx, a.Decode, resp)
}

// sendContext returns the context of an exchange. If the request may be repeated, a
// server that does not respond in time is given up with errStalled as soon as another
// server is reserved.
func (f *forwardState) sendContext(ctx context.Context, a *egretflow.Assignment) (context.Context, func()) {
	if !a.Work.Idempotent {
		return context.WithDeadline(context.WithoutCancel(ctx), f.deadline)
	}
	if f.isLast() {
		return context.WithCancel(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	stop := f.giveUpAfter(ctx, a, f.responseTimeout(), cancel)
	return ctx, func() {
		cancel(context.Canceled)
		stop()
	}
}

// responseTimeout returns the time after which a server that may be replaced counts
// as stalled if it has not responded.
func (f *forwardState) responseTimeout() time.Duration {
	target := f.call.Work.FirstTokenBy.Sub(f.call.Work.ArrivedAt)
	return max(minStageTimeout, forwardTimeoutFactor*target)
}

// readResponse reads a response to its end.
func (f *forwardState) readResponse(ctx context.Context, s *egretflow.Server, resp *http.Response) (*completeResponse, error) {
	body, err := f.responses.ReadAll(resp.Body, resp.ContentLength, maxBufferedBytes)
	if errors.Is(err, reserver.ErrTooLarge) {
		err = fmt.Errorf("response is larger than %d bytes", maxBufferedBytes)
	}
	if err != nil {
		return nil, f.connectionError(ctx, s, err)
	}
	return &completeResponse{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

// connectionError classifies an error that occurred after the request was sent. If
// the caller disconnected or the deadline passed, the server counts as stalled
// only if it had sent nothing for the stall timeout; otherwise the error is not a
// *failure.
func (f *forwardState) connectionError(ctx context.Context, s *egretflow.Server, err error) error {
	cause := context.Cause(ctx)
	requestEnded := cause != nil && !errors.Is(cause, errStalled)
	if requestEnded && f.r.now().Sub(f.lastActivityAt) < f.stallTimeout() {
		return fmt.Errorf("%w: %w", cause, err)
	}
	failure := connectionFailure(ctx, s, err)
	if requestEnded {
		failure.kind = failureStalled
	}
	failure.delivered = true
	return failure
}

// stallTimeout returns the time without data after which a server counts as
// stalled.
func (f *forwardState) stallTimeout() time.Duration {
	return max(f.responseTimeout(), eventStallFactor*f.call.EventGapTarget)
}

// send sends one request to the server of t and reads the header of the response.
// A response that states that the request did not run is returned as a *failure.
func (f *forwardState) send(ctx context.Context, a *egretflow.Assignment, t egretflow.ExchangeMetadata) (*http.Response, error) {
	t.Deadline, t.ResumeAfter = f.deadline, f.lastEventID
	if err := f.r.checkAccepts(t.Server); err != nil {
		return nil, err
	}
	f.lastActivityAt = f.r.now()
	resp, used, err := f.r.client.Open(f.request(ctx, t))
	if err != nil && !used {
		if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, errStalled) {
			return nil, cause
		}
		return nil, dialFailure(t.Server, err)
	}
	if t.Stage != egretflow.StagePrefill {
		f.runs++
	}
	if err != nil {
		return nil, f.connectionError(ctx, t.Server, err)
	}
	if err := f.checkResponse(a, t, resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// checkResponse checks that the response is the server's response to the request and
// that the server did not refuse the request. A response that does not prove the former
// states nothing: the request may have run, also if the response says that it has not.
func (f *forwardState) checkResponse(a *egretflow.Assignment, t egretflow.ExchangeMetadata, resp *http.Response) error {
	terms := f.r.cfg.Dialect.ReadResponse(resp, f.r.now())
	if err := f.checkProof(&terms, t.Stage, resp.StatusCode); err != nil {
		f.r.record(egretflow.EventAnswerMismatch, a.Work, a, field("server", t.Server.Name), field("got", terms.ID), field("error", err.Error()))
		return &failure{kind: failureUnproven, server: t.Server.Name, delivered: true, sentAt: f.lastActivityAt, err: err}
	}
	f.r.noteStatements(t.Server, &terms)
	if !terms.NotRun {
		if err := checkStatus(terms, t, resp); err != nil {
			return err
		}
		return checkEncoding(t.Server, resp)
	}
	if t.Stage != egretflow.StagePrefill {
		f.runs--
	}
	kind := failureRefused
	if terms.AddressReused {
		kind = failureReplaced
	}
	return &failure{
		kind: kind, server: t.Server.Name, delivered: true, status: resp.StatusCode, retryAt: terms.RetryAt,
		err: fmt.Errorf("status %d, server stated that it did not run the request", resp.StatusCode),
	}
}

// checkProof returns an error unless a response proves what one of its kind must
// (docs/design.md, 17.16): each names the request, and a success that is meant for the
// caller has the server's signature.
func (f *forwardState) checkProof(terms *egretflow.ResponseMetadata, stage egretflow.Stage, status int) error {
	success := status < http.StatusMultipleChoices
	switch {
	case terms.Contradictory:
		return errors.Errorf("response with status %d contradicts itself", status)
	case terms.ID != f.call.Terms.ID:
		return errors.Errorf("response with status %d belongs to request %q", status, terms.ID)
	case success && stage != egretflow.StagePrefill && !terms.Signed:
		return errors.Errorf("response with status %d is not signed", status)
	}
	return nil
}

// checkEncoding returns a failure if a success has an encoded body. Callers ask for
// none, so that it is not the body that the server made.
func checkEncoding(s *egretflow.Server, resp *http.Response) error {
	encoding := resp.Header.Get("Content-Encoding")
	if resp.StatusCode >= http.StatusMultipleChoices || encoding == "" || strings.EqualFold(encoding, "identity") {
		return nil
	}
	return &failure{kind: failureMismatch, server: s.Name, delivered: true, err: fmt.Errorf("response has encoding %q", encoding)}
}

// checkStatus checks that the caller may receive the response to the request that
// it sent. A status that means "not run" to callers must not reach them if the
// server has not stated that.
func checkStatus(terms egretflow.ResponseMetadata, t egretflow.ExchangeMetadata, resp *http.Response) error {
	if !terms.ReadAsNotRun || t.Stage == egretflow.StagePrefill {
		return nil
	}
	return &failure{
		kind: failureError, server: t.Server.Name, delivered: true, status: resp.StatusCode,
		err: fmt.Errorf("status %d, server did not state that it did not run the request", resp.StatusCode),
	}
}

// request builds the request to the server of t.
func (f *forwardState) request(ctx context.Context, t egretflow.ExchangeMetadata) *http.Request {
	req := f.call.request(ctx, t.Server)
	t.Identified, t.Organisation = f.call.Identified, f.call.Organisation
	f.r.cfg.Dialect.WriteExchange(req.Header, t, f.r.now())
	return req
}

// reportFailure reports err if it is a *failure, and returns it unchanged.
func (f *forwardState) reportFailure(a *egretflow.Assignment, err error) error {
	var cause *failure
	if !errors.As(err, &cause) {
		return err
	}
	f.r.reportFailure(cause, a, f.call.Pool)
	return err
}

// writeResponse writes a complete response to the caller.
func (f *forwardState) writeResponse(w http.ResponseWriter, resp *completeResponse) error {
	f.result.Started, f.result.Status = true, resp.status
	f.result.FirstTokenAt = f.r.now()
	f.result.LastTokenAt = f.result.FirstTokenAt
	writeHeader(w, resp.header, resp.status)
	if _, err := w.Write(resp.body); err != nil {
		return fmt.Errorf("write response: %w", err)
	}
	return nil
}

// writeHeader writes the status and the header of a server's response to w and
// adds no headers.
func writeHeader(w http.ResponseWriter, header http.Header, status int) {
	h := w.Header()
	connector.CopyHeader(h, header)
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := header[name]; !ok {
			// A nil value prevents net/http from adding a default.
			h[name] = nil
		}
	}
	w.WriteHeader(status)
}
