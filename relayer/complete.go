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

// Complete runs a model request and writes its answer to job.Sink.
func (r *Relayer) Complete(ctx context.Context, job *Job) (Result, error) {
	ctx, cancel := withHandover(ctx, job)
	defer cancel()
	p := &progress{r: r, job: job, held: r.cfg.Responses.Part()}
	defer p.held.Free()
	if !p.held.Claim(answerBytes) {
		return p.result, r.noRoom()
	}
	s, err := p.open(ctx, job.Work)
	return p.run(ctx, s, err)
}

// Resume writes the part of an answer that follows the event id to job.Sink. Any
// instance can resume an answer, because the id contains the server and the
// attempt of the stream (4.6).
func (r *Relayer) Resume(ctx context.Context, job *Job, id EventID) (Result, error) {
	ctx, cancel := withHandover(ctx, job)
	defer cancel()
	p := &progress{r: r, job: job, held: r.cfg.Responses.Part(), resumeOffset: id.Offset, resumed: true}
	defer p.held.Free()
	p.result.Tokens = id.Base
	server := findServer(job.Pool, id.Server)
	if server == nil {
		return p.result, goneRefusal(fmt.Errorf("server %s is not in pool %s", id.Server, job.Pool.Name))
	}
	s := newStream(r, job, server, id.Attempt)
	s.base = id.Base
	// The stream is read from its first token, so that this instance has the
	// complete text and can continue the answer on another server.
	if err := s.start(ctx, s.sendResume); err != nil {
		s.disconnect()
		return p.result, goneRefusal(err)
	}
	return p.run(ctx, s, nil)
}

// withHandover returns a context that is cancelled with ErrHandedOver when
// job.Handover is done.
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

// goneRefusal returns the refusal of a resume whose stream cannot be read.
func goneRefusal(err error) error {
	return &egretflow.Refusal{
		Status: http.StatusGone, Reason: egretflow.RefusalBackend, RunState: egretflow.RunStateRan,
		Message: "the answer can no longer be resumed", Err: err,
	}
}

// findServer returns the server of pool with the name, or nil.
func findServer(pool *egretflow.Pool, name egretflow.ServerName) *egretflow.Server {
	for n := range pool.Servers {
		if pool.Servers[n].Name == name {
			return &pool.Servers[n]
		}
	}
	return nil
}

// run sends the answer of stream s to the caller and opens further attempts when
// one fails. err is the error of opening s, which is nil in that case.
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
		if p.onlyEndMissing() {
			return p.result, p.writeEnd()
		}
		work = p.nextWork(work, err)
		p.r.record(egretflow.EventRetried, work, nil, field("stage", "Request"), field("tokens", strconv.Itoa(p.result.Tokens)))
		s, err = p.open(ctx, work)
	}
}

// retryable reports whether another attempt can complete the answer after err. It
// counts the failed attempt.
func (p *progress) retryable(ctx context.Context, err error) bool {
	var f *failure
	if ctx.Err() != nil || !errors.As(err, &f) || f.kind == failureRejected || f.kind == failureUnread || f.kind == failureNoRoom {
		return false
	}
	p.attempts++
	return p.attempts < maxAttempts && (p.result.Tokens == 0 || !p.textIncomplete)
}

// nextWork returns the work of the next attempt. Continuing a started answer does
// not consume the retry budget, because a refusal would cut the answer off.
func (p *progress) nextWork(work *egretflow.Work, err error) *egretflow.Work {
	next := *work
	var f *failure
	if errors.As(err, &f) && f.kind != failureExpired {
		next.Avoid = append(work.Avoid[:len(work.Avoid):len(work.Avoid)], f.server)
	}
	next.Retry = p.result.Tokens == 0
	if !next.Retry {
		next.FirstTokenBy = p.r.now().Add(continuationTarget)
	}
	p.result.Retries++
	return &next
}

// refusal converts the error that ends a request to the *egretflow.Refusal that
// the caller receives.
func (p *progress) refusal(ctx context.Context, err error) error {
	state := p.runState()
	if cause := context.Cause(ctx); cause != nil {
		return p.contextRefusal(cause, state)
	}
	var refusal *egretflow.Refusal
	if errors.As(err, &refusal) {
		updated := *refusal
		// The scheduler does not know whether earlier attempts ran.
		if updated.RunState != egretflow.RunStateRan {
			updated.RunState = state
		}
		return &updated
	}
	var f *failure
	if errors.As(err, &f) && f.kind == failureRejected {
		// An error response of an engine does not state that nothing ran.
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

// contextRefusal returns the refusal of a request whose context ended with cause.
func (p *progress) contextRefusal(cause error, state egretflow.RunState) error {
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

// runState returns what is known about whether any attempt ran the request.
func (p *progress) runState() egretflow.RunState {
	switch {
	case p.result.Tokens > 0 || p.resumed:
		return egretflow.RunStateRan
	case p.mayHaveRun.Load():
		return egretflow.RunStateMayHaveRun
	}
	return egretflow.RunStateNotRun
}
