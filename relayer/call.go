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
	"github.com/pkg/errors"
)

const (
	// heldBytes of a response are read before its first byte is passed on, so a
	// short response that breaks can still be retried.
	heldBytes = 32 << 10
	// callPatienceFactor times the target of a route is the wait for a response
	// to an idempotent call.
	callPatienceFactor = 4
	runStateHeader     = "Egretflow-Run-State"
)

// Call is one request of a service route.
type Call struct {
	Work *egretflow.Work
	Pool *egretflow.Pool
	// Key is the Idempotency-Key of non-idempotent work.
	Key    string
	Method string
	// URL gives path and query, Host and Header are passed on.
	URL    *url.URL
	Host   string
	Header http.Header
	Body   []byte
	// Terms and the bounds of the route are set for forwarded requests.
	Terms       egretflow.Terms
	MaxAttempts int
	// EventGapTarget bounds the pause between two events of a stream.
	EventGapTarget time.Duration
}

// Call runs a service call and writes its response to w. When it returns an
// error after Result.Started, the response was cut and the connection to the
// caller must be aborted.
func (r *Relayer) Call(ctx context.Context, call *Call, w http.ResponseWriter) (Result, error) {
	if !call.Work.Idempotent {
		return r.callOnce(ctx, call, w)
	}
	state := &callState{r: r, call: call}
	work := call.Work
	for attempts := 1; ; attempts++ {
		resp, err := state.open(ctx, work)
		if err == nil {
			return state.pass(w, resp)
		}
		var f *failure
		if ctx.Err() != nil || attempts == maxAttempts || !errors.As(err, &f) {
			return state.result, state.refusal(ctx, err)
		}
		work = state.nextWork(work, f)
	}
}

// callState is the state of a call across attempts.
type callState struct {
	r          *Relayer
	call       *Call
	result     Result
	mayHaveRun atomic.Bool
}

// response is a response whose first part was read.
type response struct {
	attempt *callAttempt
	*http.Response
	held []byte
	// whole says that held is the whole body.
	whole bool
}

func (c *callState) open(ctx context.Context, work *egretflow.Work) (*response, error) {
	a, err := c.r.acquire(ctx, work, &c.result)
	if err != nil {
		return nil, err
	}
	patience := max(minPatience, callPatienceFactor*work.FirstTokenBy.Sub(work.ArrivedAt))
	race := newRace(c.r, func(resp *response) { resp.attempt.end(resp.Response) })
	race.run(ctx, func(ctx context.Context) (*response, error) { return c.newAttempt(a).open(ctx, patience) })
	delay := max(hedgeDelay(a.FirstTokenAt.Sub(c.r.now())), work.FirstTokenBy.Sub(c.r.now())/2)
	return race.wait(ctx, delay, func(ctx context.Context) (*response, error) {
		a, err := c.r.acquireHedge(ctx, a)
		if err != nil {
			return nil, err
		}
		return c.newAttempt(a).open(ctx, patience)
	})
}

func (c *callState) newAttempt(a *egretflow.Assignment) *callAttempt {
	return &callAttempt{callState: c, a: a, cancel: func() {}}
}

func (c *callState) nextWork(work *egretflow.Work, f *failure) *egretflow.Work {
	next := *work
	next.Avoid = append(work.Avoid[:len(work.Avoid):len(work.Avoid)], f.server)
	next.Retry = true
	c.result.Retries++
	c.r.record(egretflow.EventRetried, &next, nil, field("stage", "Call"), field("reason", f.kind))
	return &next
}

// pass writes a response to the caller.
func (c *callState) pass(w http.ResponseWriter, resp *response) (Result, error) {
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
	resp.attempt.served(c.result.FirstTokenAt)
	return c.result, nil
}

func (c *callState) copyBody(w http.ResponseWriter, resp *response) error {
	if _, err := w.Write(resp.held); err != nil {
		return fmt.Errorf("write response: %w", err)
	}
	if resp.whole {
		return nil
	}
	control := http.NewResponseController(w)
	buf := make([]byte, heldBytes)
	for {
		n, readErr := resp.Body.Read(buf)
		if _, err := w.Write(buf[:n]); err != nil {
			return fmt.Errorf("write response: %w", err)
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return fmt.Errorf("read response: %w", readErr)
		}
		if err := control.Flush(); err != nil {
			return fmt.Errorf("flush response: %w", err)
		}
	}
}

// refusal turns the error that ends a call into one for the caller.
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
}

// open sends the call and reads the first part of the response. On an error the
// attempt is released.
func (at *callAttempt) open(ctx context.Context, patience time.Duration) (*response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	at.cancel = func() { cancel(context.Canceled) }
	timer := time.AfterFunc(patience, func() { cancel(errStalled) })
	defer timer.Stop()
	resp, err := at.send(ctx, false)
	var held []byte
	if err == nil {
		held, err = io.ReadAll(io.LimitReader(resp.Body, heldBytes))
	}
	if err != nil {
		// end cancels ctx and would hide the cause.
		cause := context.Cause(ctx)
		at.end(resp)
		if cause != nil && !errors.Is(cause, errStalled) {
			return nil, cause
		}
		var f *failure
		if !errors.As(err, &f) {
			f = brokenConnection(ctx, at.a.Decode, err)
		}
		at.r.attemptFailed(f, at.a)
		return nil, f
	}
	return &response{attempt: at, Response: resp, held: held, whole: len(held) < heldBytes}, nil
}

// send writes the call to the server. A response that states that the call did
// not run is returned as a failure.
func (at *callAttempt) send(ctx context.Context, fresh bool) (*http.Response, error) {
	at.started = at.r.now()
	server := at.a.Decode
	if by := at.a.GrantExpiresAt; !by.IsZero() && !at.started.Before(by) {
		return nil, &failure{kind: failureRefused, server: server.Name, err: fmt.Errorf("grant expired at %v", by)}
	}
	do := at.r.client.Do
	if fresh {
		do = at.r.client.Open
	}
	resp, used, err := do(at.call.request(ctx, server))
	if err != nil && !used {
		return nil, unreachable(server, err)
	}
	if err == nil && resp.Header.Get(runStateHeader) == string(egretflow.RunStateNotRun) {
		resp.Body.Close()
		return nil, &failure{kind: failureRefused, server: server.Name, err: fmt.Errorf("status %d, stated as not run", resp.StatusCode)}
	}
	at.mayHaveRun.Store(true)
	if err != nil {
		return nil, brokenConnection(ctx, server, err)
	}
	return resp, nil
}

// request builds the request to one server. Without GetBody, net/http cannot send
// its body twice.
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
		// An empty value keeps net/http from adding its own.
		req.Header.Set("User-Agent", "")
	}
	return req
}

func (at *callAttempt) served(firstByteAt time.Time) {
	at.r.cfg.Scheduler.Observe(egretflow.Observation{
		Kind: egretflow.ObservationServed, Server: at.a.Decode.Name, Attempt: at.a.Attempt,
		StartedAt: at.started, EndedAt: firstByteAt,
	})
}

// end closes the connection and releases the attempt.
func (at *callAttempt) end(resp *http.Response) {
	at.cancel()
	if resp != nil {
		resp.Body.Close()
	}
	at.r.cfg.Scheduler.Release(egretflow.Release{Attempt: at.a.Attempt})
}
