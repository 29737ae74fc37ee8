package relayer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/connector"
	"github.com/egretflow/egretflow/reserver"
	"github.com/pkg/errors"
)

const (
	// prefixBytes is the number of bytes of a response that are read before any of
	// them is sent to the caller, so that a call can be retried if the connection
	// breaks during a short response.
	prefixBytes = 32 << 10
	// callTimeoutFactor times the first-token target of a route is the timeout for
	// the first part of the response to an idempotent call.
	callTimeoutFactor = 4
	// runStateHeader states whether a call ran, in responses of servers and in
	// responses to callers.
	runStateHeader = "Egretflow-Run-State"
)

// Call is one request of a service route, or one forwarded request.
type Call struct {
	Work *egretflow.Work
	Pool *egretflow.Pool
	// Key is the Idempotency-Key of a non-idempotent call.
	Key    string
	Method string
	// URL holds the path and query of the request to the server; its scheme and
	// host are ignored. Host and Header are sent to the server.
	URL    *url.URL
	Host   string
	Header http.Header
	Body   []byte
	// Terms holds what the caller stated about a forwarded request.
	Terms egretflow.RequestMetadata
	// Identified reports whether callers of the forwarded request are identified by their
	// keys. Organisation is the one that sent it; empty without a key.
	Identified   bool
	Organisation egretflow.CallerName
	// MaxAttempts is the number of servers that may run a forwarded request; 0
	// means the default of 4.
	MaxAttempts int
	// EventGapTarget is the target for the time between two events of a forwarded
	// stream. Stall timeouts are derived from it.
	EventGapTarget time.Duration
}

// Call runs a service call and writes its response to w. If it returns an error
// and Result.Started is true, the response is incomplete and the connection to
// the caller must be aborted.
func (r *Relayer) Call(ctx context.Context, call *Call, w http.ResponseWriter) (Result, error) {
	state := &callState{r: r, call: call, response: r.cfg.Responses.Part()}
	defer state.response.Free()
	if !state.response.Claim(answerBytes) {
		return state.result, r.noRoom()
	}
	if !call.Work.Idempotent {
		return state.callOnce(ctx, w)
	}
	work := call.Work
	for attempts := 1; ; attempts++ {
		resp, err := state.open(ctx, work)
		if err == nil {
			return state.writeResponse(w, resp)
		}
		var f *failure
		if ctx.Err() != nil || attempts == maxAttempts || !errors.As(err, &f) {
			return state.result, state.refusal(ctx, err)
		}
		work = state.nextWork(work, f)
	}
}

// callState holds the state of a call across its attempts.
type callState struct {
	r      *Relayer
	call   *Call
	result Result
	// response is what the response holds in memory.
	response *reserver.Part
	// mayHaveRun is set when a server may have run the call.
	mayHaveRun atomic.Bool
}

// response is a response whose first prefixBytes bytes were read into prefix.
type response struct {
	attempt *callAttempt
	*http.Response
	prefix []byte
	// complete reports whether prefix is the complete body.
	complete bool
}

// open gets an assignment for work, sends the call and reads the first part of
// the response. If that takes long and the scheduler grants a hedge, a second
// attempt runs in parallel.
func (c *callState) open(ctx context.Context, work *egretflow.Work) (*response, error) {
	a, err := c.r.acquire(ctx, work, &c.result)
	if err != nil {
		return nil, err
	}
	timeout := max(minStageTimeout, callTimeoutFactor*work.FirstTokenBy.Sub(work.ArrivedAt))
	race := newRace(c.r, func(resp *response) { resp.attempt.end(resp.Response) })
	race.run(ctx, func(ctx context.Context) (*response, error) { return c.newAttempt(a).open(ctx, timeout) })
	delay := max(hedgeDelay(a.FirstTokenAt.Sub(c.r.now())), work.FirstTokenBy.Sub(c.r.now())/2)
	return race.wait(ctx, delay, func(ctx context.Context) (*response, error) {
		a, err := c.r.acquireHedge(ctx, a)
		if err != nil {
			return nil, err
		}
		return c.newAttempt(a).open(ctx, timeout)
	})
}

func (c *callState) newAttempt(a *egretflow.Assignment) *callAttempt {
	return &callAttempt{callState: c, a: a, cancel: func() {}, held: c.r.cfg.Responses.Part()}
}

// nextWork returns the work of the next attempt, which avoids the failed server,
// and records the retry.
func (c *callState) nextWork(work *egretflow.Work, f *failure) *egretflow.Work {
	next := *work
	next.Avoid = append(work.Avoid[:len(work.Avoid):len(work.Avoid)], f.server)
	next.Retry = true
	c.result.Retries++
	c.r.record(egretflow.EventRetried, &next, nil, field("stage", "Call"), field("reason", f.kind))
	return &next
}

// writeResponse writes a response to the caller and ends its attempt.
func (c *callState) writeResponse(w http.ResponseWriter, resp *response) (Result, error) {
	defer resp.attempt.end(resp.Response)
	c.result.Started, c.result.Status = true, resp.StatusCode
	c.result.FirstTokenAt = c.r.now()
	connector.CopyHeader(w.Header(), resp.Header)
	w.Header().Set(runStateHeader, string(egretflow.RunStateRan))
	w.WriteHeader(resp.StatusCode)
	err := c.copyBody(w, resp)
	c.result.LastTokenAt = c.r.now()
	if err != nil {
		return c.result, &egretflow.Refusal{
			Status: http.StatusBadGateway, Reason: egretflow.RefusalBackend, RunState: egretflow.RunStateRan,
			Message: "the response was cut", Err: err,
		}
	}
	resp.attempt.reportResponse(resp.StatusCode, c.result.FirstTokenAt)
	return c.result, nil
}

func (c *callState) copyBody(w http.ResponseWriter, resp *response) error {
	if resp.complete {
		if _, err := w.Write(resp.prefix); err != nil {
			return fmt.Errorf("write response: %w", err)
		}
		return nil
	}
	control := http.NewResponseController(w)
	p, stop := startPump(resp.Body, resp.prefix)
	defer stop()
	for chunk := range p.full {
		if _, err := w.Write(chunk); err != nil {
			return fmt.Errorf("write response: %w", err)
		}
		p.free <- chunk
		if len(p.full) > 0 {
			continue
		}
		if err := control.Flush(); err != nil {
			return fmt.Errorf("flush response: %w", err)
		}
	}
	if p.err != nil {
		return fmt.Errorf("read response: %w", p.err)
	}
	return nil
}

// refusal converts the error that ends a call to the one that the caller receives.
func (c *callState) refusal(ctx context.Context, err error) error {
	p := &progress{r: c.r, result: c.result}
	p.mayHaveRun.Store(c.mayHaveRun.Load())
	return p.refusal(ctx, err)
}

// callAttempt is one execution of a call.
type callAttempt struct {
	*callState
	a       *egretflow.Assignment
	started time.Time
	cancel  context.CancelFunc
	// held is what the first part of the response holds in memory.
	held *reserver.Part
}

// open sends the call and reads the first part of the response. If it returns an
// error, the attempt is already released.
func (at *callAttempt) open(ctx context.Context, timeout time.Duration) (*response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	at.cancel = func() { cancel(context.Canceled) }
	timer := time.AfterFunc(timeout, func() { cancel(errStalled) })
	defer timer.Stop()
	resp, err := at.send(ctx)
	var prefix []byte
	var complete bool
	if err == nil {
		prefix, complete, err = at.held.ReadPrefix(resp.Body, prefixBytes)
	}
	if err != nil {
		// The cause is read first, because end cancels ctx.
		cause := context.Cause(ctx)
		at.end(resp)
		if cause != nil && !errors.Is(cause, errStalled) {
			return nil, cause
		}
		var f *failure
		if !errors.As(err, &f) {
			f = connectionFailure(ctx, at.a.Decode, err)
		}
		at.r.reportFailure(f, at.a, at.call.Pool)
		return nil, f
	}
	return &response{attempt: at, Response: resp, prefix: prefix, complete: complete}, nil
}

// send sends the call to the server. A response that states that the call did not
// run is returned as a *failure.
func (at *callAttempt) send(ctx context.Context) (*http.Response, error) {
	at.started = at.r.now()
	server := at.a.Decode
	if expiresAt := at.a.GrantExpiresAt; !expiresAt.IsZero() && !at.started.Before(expiresAt) {
		return nil, &failure{kind: failureRefused, server: server.Name, err: fmt.Errorf("grant expired at %v", expiresAt)}
	}
	resp, used, err := at.r.client.Open(at.call.request(ctx, server))
	if err != nil && !used {
		return nil, dialFailure(server, err)
	}
	if err == nil && resp.Header.Get(runStateHeader) == string(egretflow.RunStateNotRun) {
		resp.Body.Close()
		retryAt := connector.RetryAt(resp.StatusCode, resp.Header, at.r.now())
		return nil, &failure{kind: failureRefused, server: server.Name, retryAt: retryAt, err: fmt.Errorf("status %d, server stated that it did not run the request", resp.StatusCode)}
	}
	at.mayHaveRun.Store(true)
	if err != nil {
		return nil, connectionFailure(ctx, server, err)
	}
	return resp, nil
}

// request builds the request to one server.
func (call *Call) request(ctx context.Context, server *egretflow.Server) *http.Request {
	target := *call.URL
	target.Scheme, target.Host = "http", server.Address.String()
	if call.Pool.ServerTLS {
		target.Scheme = "https"
	}
	req := (&http.Request{
		Method: call.Method, URL: &target, Host: call.Host, Header: http.Header{}, ContentLength: int64(len(call.Body)),
	}).WithContext(ctx)
	if len(call.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(call.Body))
	}
	connector.CopyHeader(req.Header, call.Header)
	if req.Header.Get("User-Agent") == "" {
		// An empty value prevents net/http from adding a default.
		req.Header.Set("User-Agent", "")
	}
	return req
}

// reportResponse reports the status of the response and the time to its first byte to
// the scheduler.
func (at *callAttempt) reportResponse(status int, firstByteAt time.Time) {
	at.r.cfg.Scheduler.Observe(egretflow.Observation{
		Kind: responseKind(status), Server: at.a.Decode.Name, Attempt: at.a.Attempt,
		StartedAt: at.started, EndedAt: firstByteAt,
	})
}

// responseKind returns the kind of observation for a response with the given status.
func responseKind(status int) egretflow.ObservationKind {
	if status >= http.StatusInternalServerError {
		return egretflow.ObservationErrored
	}
	return egretflow.ObservationServed
}

// end cancels the request, closes the response, which may be nil, and releases the
// attempt.
func (at *callAttempt) end(resp *http.Response) {
	at.cancel()
	if resp != nil {
		resp.Body.Close()
	}
	at.held.Free()
	at.r.cfg.Scheduler.Release(egretflow.Release{Attempt: at.a.Attempt})
}
