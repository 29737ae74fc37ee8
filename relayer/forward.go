package relayer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/admitter"
	"github.com/egretflow/egretflow/connector"
)

const (
	// maxForwardTries bounds the places that one forwarded request tries.
	maxForwardTries = 8
	// forwardPatienceFactor times the target of a route is the wait for a server
	// whose request may be repeated elsewhere.
	forwardPatienceFactor = 4
)

// wholeAnswer is an answer of a server that was read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// forwarding is the state of a forwarded request across attempts.
type forwarding struct {
	r    *Relayer
	call *Call
	// deadline is when the request ends, for the caller and for servers.
	deadline time.Time
	result   Result
	// runs counts the servers that may have run the request, tries the places.
	runs  int
	tries int
	// generated counts the events that the caller has, lastID names the last.
	generated int
	lastID    string
	// answer is the newest whole answer of a server, with an error status.
	answer *wholeAnswer
	// heardAt is when the server was last asked or heard.
	heardAt time.Time
}

func (r *Relayer) newForwarding(ctx context.Context, call *Call) *forwarding {
	deadline, _ := ctx.Deadline()
	return &forwarding{r: r, call: call, deadline: deadline, lastID: call.Terms.ResumeAfter}
}

// Forward runs a forwarded call of a plain service and writes its answer to w.
// Answers are passed on only when they are whole.
func (r *Relayer) Forward(ctx context.Context, call *Call, w http.ResponseWriter) (Result, error) {
	f := r.newForwarding(ctx, call)
	err := f.run(ctx, func(work *egretflow.Work) error {
		answer, err := f.attempt(ctx, work)
		if err != nil {
			return err
		}
		return f.pass(w, answer)
	}, w)
	return f.result, err
}

// run repeats attempt until it succeeds or the request must end (5.5).
func (f *forwarding) run(ctx context.Context, attempt func(work *egretflow.Work) error, w http.ResponseWriter) error {
	work := f.call.Work
	for {
		f.tries++
		err := attempt(work)
		if err == nil {
			return nil
		}
		var cause *failure
		if !errors.As(err, &cause) || ctx.Err() != nil {
			return f.settle(ctx, w, err)
		}
		if cause.answer != nil {
			f.answer = cause.answer
		}
		next, ok := f.next(work, cause)
		if !ok {
			return f.settle(ctx, w, cause)
		}
		work = next
	}
}

// next is the work of the next attempt; false when there must be none.
func (f *forwarding) next(work *egretflow.Work, cause *failure) (*egretflow.Work, bool) {
	switch {
	case f.tries >= maxForwardTries:
		return nil, false
	case f.runs > 0 && !f.call.Work.Idempotent:
		return nil, false
	case f.runs >= f.attempts():
		return nil, false
	}
	next := *work
	if cause.kind != failureFull {
		next.Avoid = append(work.Avoid[:len(work.Avoid):len(work.Avoid)], cause.server)
	}
	next.Retry = cause.arrived
	next.Reacquired = !next.Retry
	next.PromptTokens = f.call.Work.PromptTokens + f.generated*f.call.Pool.EventTokens
	f.result.Retries++
	f.r.record(egretflow.EventRetried, &next, nil, field("reason", cause.kind), field("server", cause.server))
	return &next, true
}

// attempts is the number of servers that may run the request.
func (f *forwarding) attempts() int {
	if f.call.MaxAttempts > 0 {
		return f.call.MaxAttempts
	}
	return maxAttempts
}

// settle ends a request that failed: with the newest answer if a server gave one,
// otherwise with a refusal.
func (f *forwarding) settle(ctx context.Context, w http.ResponseWriter, err error) error {
	if f.answer != nil && !f.result.Started && ctx.Err() == nil {
		return f.pass(w, f.answer)
	}
	return f.refusal(ctx, err)
}

// refusal says whether the request has run: only servers know, and none was
// asked to run it while runs is 0.
func (f *forwarding) refusal(ctx context.Context, err error) error {
	p := &progress{r: f.r, result: f.result}
	p.mayHaveRun.Store(f.runs > 0)
	err = p.refusal(ctx, err)
	var refusal *egretflow.Refusal
	if errors.As(err, &refusal) && f.returns(refusal) {
		refusal.RetryAt = f.r.returnAt(f.call.Work)
	}
	return err
}

// returns reports whether the caller of a request that found no engine should
// return after the crest.
func (f *forwarding) returns(refusal *egretflow.Refusal) bool {
	if refusal.Reason != egretflow.RefusalBackend || refusal.RunState != egretflow.RunStateNotRun {
		return false
	}
	return f.call.Pool.Kind == egretflow.PoolKindModel && admitter.MayReturn(f.call.Work)
}

// attempt runs the call once.
func (f *forwarding) attempt(ctx context.Context, work *egretflow.Work) (*wholeAnswer, error) {
	a, err := f.r.acquire(ctx, work, &f.result)
	if err != nil {
		return nil, err
	}
	defer f.r.cfg.Scheduler.Release(egretflow.Release{Attempt: a.Attempt})
	sentAt := f.r.now()
	answer, err := f.exchange(ctx, a)
	if err != nil {
		return nil, f.failed(a, err)
	}
	f.r.cfg.Scheduler.Observe(egretflow.Observation{
		Kind: egretflow.ObservationServed, Server: a.Decode.Name, Attempt: a.Attempt, StartedAt: sentAt, EndedAt: f.r.now(),
	})
	if answer.status >= http.StatusInternalServerError && work.Idempotent {
		return nil, f.failed(a, &failure{
			kind: failureError, server: a.Decode.Name, answer: answer, arrived: true, err: fmt.Errorf("status %d", answer.status),
		})
	}
	return answer, nil
}

// exchange sends the call and reads the whole answer. Work that must not be
// repeated goes on when its caller leaves, so that it is not cut midway.
func (f *forwarding) exchange(ctx context.Context, a *egretflow.Assignment) (*wholeAnswer, error) {
	sendCtx, cancel := f.sendContext(ctx, a)
	defer cancel()
	resp, err := f.send(sendCtx, a, egretflow.ExchangeTerms{Server: a.Decode, Stage: egretflow.StageWhole})
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return f.readWhole(sendCtx, a.Decode, resp)
}

func (f *forwarding) sendContext(ctx context.Context, a *egretflow.Assignment) (context.Context, context.CancelFunc) {
	if !a.Work.Idempotent {
		return context.WithDeadline(context.WithoutCancel(ctx), f.deadline)
	}
	if f.runs+1 >= f.attempts() {
		return context.WithCancel(ctx)
	}
	target := f.call.Work.FirstTokenBy.Sub(f.call.Work.ArrivedAt)
	return context.WithTimeoutCause(ctx, max(minPatience, forwardPatienceFactor*target), errStalled)
}

// readWhole reads an answer to its end.
func (f *forwarding) readWhole(ctx context.Context, s *egretflow.Server, resp *http.Response) (*wholeAnswer, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxOnceBytes+1))
	if err == nil && len(body) > maxOnceBytes {
		err = fmt.Errorf("answer is larger than %d bytes", maxOnceBytes)
	}
	if err != nil {
		return nil, f.broken(ctx, s, err)
	}
	return &wholeAnswer{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

// broken classifies the error of a connection after the request was sent. When
// the request ended by its caller or its time, that says something of the server
// only if the server had been silent for long.
func (f *forwarding) broken(ctx context.Context, s *egretflow.Server, err error) error {
	cause := context.Cause(ctx)
	ended := cause != nil && !errors.Is(cause, errStalled)
	if ended && f.r.now().Sub(f.heardAt) < f.silence() {
		return fmt.Errorf("%w: %w", cause, err)
	}
	failure := brokenConnection(ctx, s, err)
	if ended {
		failure.kind = failureStalled
	}
	failure.arrived = true
	return failure
}

// silence is how long a server may send nothing before it counts as stalled.
func (f *forwarding) silence() time.Duration {
	target := f.call.Work.FirstTokenBy.Sub(f.call.Work.ArrivedAt)
	return max(minPatience, forwardPatienceFactor*target, eventStallFactor*f.call.EventGapTarget)
}

// send writes one request to the server of t and reads the header of the
// answer. An answer that states that the request did not run is a failure.
func (f *forwarding) send(ctx context.Context, a *egretflow.Assignment, t egretflow.ExchangeTerms) (*http.Response, error) {
	t.Deadline, t.ResumeAfter = f.deadline, f.lastID
	if takes := f.r.cfg.TakesWork; takes != nil && !takes(t.Server.Name) {
		return nil, &failure{kind: failureRefused, server: t.Server.Name, err: errors.New("the server is leaving")}
	}
	f.heardAt = f.r.now()
	resp, used, err := f.r.client.Open(f.request(ctx, t))
	if err != nil && !used {
		if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, errStalled) {
			return nil, cause
		}
		return nil, unreachable(t.Server, err)
	}
	if t.Stage != egretflow.StagePrefill {
		f.runs++
	}
	if err != nil {
		return nil, f.broken(ctx, t.Server, err)
	}
	if err := f.checkAnswer(a, t, resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// checkAnswer checks that the answer belongs to the request and that the server
// did not refuse it.
func (f *forwarding) checkAnswer(a *egretflow.Assignment, t egretflow.ExchangeTerms, resp *http.Response) error {
	terms := f.r.cfg.Dialect.ReadAnswer(resp)
	if terms.ID != "" && terms.ID != f.call.Terms.ID {
		f.r.record(egretflow.EventMismatch, a.Work, a, field("server", t.Server.Name), field("got", terms.ID))
		return &failure{kind: failureMismatch, server: t.Server.Name, arrived: true, err: fmt.Errorf("answer names request %q", terms.ID)}
	}
	if !terms.NotRun {
		return nil
	}
	if t.Stage != egretflow.StagePrefill {
		f.runs--
	}
	kind := failureRefused
	if terms.Gone {
		kind = failureGone
	}
	return &failure{
		kind: kind, server: t.Server.Name, arrived: true, status: resp.StatusCode,
		err: fmt.Errorf("status %d, stated as not run", resp.StatusCode),
	}
}

// request builds the request to one server.
func (f *forwarding) request(ctx context.Context, t egretflow.ExchangeTerms) *http.Request {
	req := f.call.request(ctx, t.Server)
	f.r.cfg.Dialect.WriteExchange(req.Header, t, f.r.now())
	return req
}

// failed reports a failure to the scheduler and returns it.
func (f *forwarding) failed(a *egretflow.Assignment, err error) error {
	var cause *failure
	if !errors.As(err, &cause) {
		return err
	}
	f.r.attemptFailed(cause, a)
	return err
}

// pass writes a whole answer to the caller.
func (f *forwarding) pass(w http.ResponseWriter, answer *wholeAnswer) error {
	f.result.Started, f.result.Status = true, answer.status
	f.result.FirstTokenAt = f.r.now()
	f.result.LastTokenAt = f.result.FirstTokenAt
	writeHeader(w, answer.header, answer.status)
	if _, err := w.Write(answer.body); err != nil {
		return fmt.Errorf("write answer: %w", err)
	}
	return nil
}

// writeHeader passes on the header of a server without additions.
func writeHeader(w http.ResponseWriter, header http.Header, status int) {
	h := w.Header()
	connector.CopyHeader(h, header)
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := header[name]; !ok {
			// A nil value keeps net/http from adding its own.
			h[name] = nil
		}
	}
	w.WriteHeader(status)
}
