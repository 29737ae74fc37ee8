package relayer

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/pkg/errors"
)

// Complete runs a model request and passes its answer to job.Sink.
func (r *Relayer) Complete(ctx context.Context, job *Job) (Result, error) {
	ctx, cancel := withHandover(ctx, job)
	defer cancel()
	p := &progress{r: r, job: job}
	s, err := p.open(ctx, job.Work)
	return p.run(ctx, s, err)
}

// Resume passes on the part of an answer that follows id. Any instance can do
// it, because the id names the engine that holds the stream (4.6).
func (r *Relayer) Resume(ctx context.Context, job *Job, id EventID) (Result, error) {
	ctx, cancel := withHandover(ctx, job)
	defer cancel()
	p := &progress{r: r, job: job, resumeAt: id.Offset, resumed: true}
	p.result.Tokens = id.Base
	server := findServer(job.Pool, id.Server)
	if server == nil {
		return p.result, gone(fmt.Errorf("server %s is not in pool %s", id.Server, job.Pool.Name))
	}
	s := newStream(r, job, server, id.Attempt)
	s.base = id.Base
	// The stream is read from its first token, so that this instance knows the
	// whole text and can continue it on another server.
	if err := s.start(ctx, s.get); err != nil {
		s.disconnect()
		return p.result, gone(err)
	}
	return p.run(ctx, s, nil)
}

// withHandover ends ctx with ErrHandedOver when the job is handed over.
func withHandover(ctx context.Context, job *Job) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := func() bool { return false }
	if job.Handover != nil {
		stop = context.AfterFunc(job.Handover, func() { cancel(ErrHandedOver) })
	}
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}

func gone(err error) error {
	return &egretflow.Refusal{
		Status: http.StatusGone, Reason: egretflow.RefusalBackend, RunState: egretflow.RunStateRan,
		Message: "the answer can no longer be resumed", Err: err,
	}
}

func findServer(pool *egretflow.Pool, name egretflow.ServerName) *egretflow.Server {
	for n := range pool.Servers {
		if pool.Servers[n].Name == name {
			return &pool.Servers[n]
		}
	}
	return nil
}

// run passes on the answer of s, which is nil after an error, and opens further
// attempts when attempts fail.
func (p *progress) run(ctx context.Context, s *stream, err error) (Result, error) {
	work := p.job.Work
	for {
		if err == nil {
			err = p.relay(s)
		}
		if err == nil {
			return p.result, nil
		}
		if !p.retryable(ctx, err) {
			return p.result, p.refusal(ctx, err)
		}
		if p.concludable() {
			return p.result, p.conclude()
		}
		work = p.nextWork(work, err)
		p.r.record(egretflow.EventRetried, work, nil, field("stage", "Request"), field("tokens", strconv.Itoa(p.result.Tokens)))
		s, err = p.open(ctx, work)
	}
}

// retryable reports whether another attempt can complete the answer.
func (p *progress) retryable(ctx context.Context, err error) bool {
	var f *failure
	if ctx.Err() != nil || !errors.As(err, &f) || f.kind == failureRejected {
		return false
	}
	p.attempts++
	return p.attempts < maxAttempts && (p.result.Tokens == 0 || !p.unknownText)
}

// nextWork returns the work of the next attempt. An answer that has begun does
// not spend the retry budget, because a refusal would cut it.
func (p *progress) nextWork(work *egretflow.Work, err error) *egretflow.Work {
	next := *work
	var f *failure
	if errors.As(err, &f) && f.kind != failureExpired {
		next.Avoid = append(work.Avoid[:len(work.Avoid):len(work.Avoid)], f.server)
	}
	next.Retry = p.result.Tokens == 0
	if !next.Retry {
		next.FirstTokenBy = p.r.now().Add(continueWithin)
	}
	p.result.Retries++
	return &next
}

// refusal turns the error that ends a request into one for the caller.
func (p *progress) refusal(ctx context.Context, err error) error {
	state := p.runState()
	if cause := context.Cause(ctx); cause != nil {
		return p.ended(cause, state)
	}
	var refusal *egretflow.Refusal
	if errors.As(err, &refusal) {
		known := *refusal
		// The scheduler does not know what became of earlier attempts.
		if known.RunState != egretflow.RunStateRan {
			known.RunState = state
		}
		return &known
	}
	var f *failure
	if errors.As(err, &f) && f.kind == failureRejected {
		// The engine does not state that nothing ran.
		if state == egretflow.RunStateNotRun {
			state = egretflow.RunStateMayHaveRun
		}
		return &egretflow.Refusal{
			Status: f.status, Reason: egretflow.RefusalBadRequest, RunState: state, Message: f.message, Err: err,
		}
	}
	return &egretflow.Refusal{
		Status: http.StatusBadGateway, Reason: egretflow.RefusalBackend, RunState: state,
		Message: "the backend servers failed", RetryAt: p.r.now().Add(p.r.jitter(2 * time.Second)), Err: err,
	}
}

// ended is the refusal for a request whose context ended with cause.
func (p *progress) ended(cause error, state egretflow.RunState) error {
	refusal := &egretflow.Refusal{
		Status: http.StatusGatewayTimeout, Reason: egretflow.RefusalDeadline, RunState: state,
		Message: "the request was not completed in time", Err: cause,
	}
	if errors.Is(cause, ErrHandedOver) {
		refusal.Status, refusal.Reason = http.StatusServiceUnavailable, egretflow.RefusalDraining
		refusal.Message = "the instance is shutting down"
		refusal.RetryAt = p.r.now().Add(p.r.jitter(time.Second))
	}
	return refusal
}

func (p *progress) runState() egretflow.RunState {
	switch {
	case p.result.Tokens > 0 || p.resumed:
		return egretflow.RunStateRan
	case p.mayHaveRun.Load():
		return egretflow.RunStateMayHaveRun
	}
	return egretflow.RunStateNotRun
}
