package relayer

import (
	"bufio"
	"bytes"
	"context"
	stderrors "errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/egretflow/egretflow"
)

const (
	// holdMargin is how much longer than the expected first token memory is held.
	holdMargin = 500 * time.Millisecond
	// eventStallFactor times the pause target without an event is a stall of a
	// stream that can be continued elsewhere.
	eventStallFactor = 3
	// observedEvents is the number of events per report of pace and growth.
	observedEvents = 4
	// eventBuffer holds a few events.
	eventBuffer = 2 << 10
	// maxEvent bounds one event of a stream.
	maxEvent = 256 << 10
	// cleanupTimeout bounds the calls that free what an attempt did not use.
	cleanupTimeout = time.Second
)

// ForwardStream runs a forwarded call of a model pool: memory is held at the
// decode server before the prompt is computed, and events are passed on as they
// come. When it returns an error after Result.Started, the stream was cut and
// the connection to the caller must be aborted.
func (r *Relayer) ForwardStream(ctx context.Context, call *Call, w http.ResponseWriter) (Result, error) {
	f := &forwardedStream{forwarding: r.newForwarding(ctx, call), w: w}
	err := f.run(ctx, func(work *egretflow.Work) error { return f.attempt(ctx, work) }, w)
	return f.result, err
}

type forwardedStream struct {
	*forwarding
	w http.ResponseWriter
}

// attempt runs the request under one assignment.
func (f *forwardedStream) attempt(ctx context.Context, work *egretflow.Work) error {
	a, err := f.r.acquire(ctx, work, &f.result)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(context.Canceled)
	g := &generation{forwardedStream: f, a: a, cancel: cancel}
	defer g.release()
	if err := g.run(ctx); err != nil {
		return f.failed(g.a, err)
	}
	return nil
}

// generation is one execution of a forwarded stream.
type generation struct {
	*forwardedStream
	a      *egretflow.Assignment
	cancel context.CancelCauseFunc
	// hold and handle are what servers keep for the attempt; empty once used.
	hold   egretflow.HoldID
	handle egretflow.KVHandle
	tokens int
	// pace reports the time between events.
	paceSince  time.Time
	paceEvents int
	// received counts the events of this attempt, for examine, and unknown says
	// that an earlier examination found no sign of the request.
	received atomic.Int64
	unknown  atomic.Bool
}

func (g *generation) run(ctx context.Context) error {
	if err := g.takeHold(ctx); err != nil {
		return err
	}
	if err := g.prefill(ctx); err != nil {
		return err
	}
	return g.decode(ctx)
}

// takeHold makes sure of the decode place before the prompt is computed (5.2).
func (g *generation) takeHold(ctx context.Context) error {
	if g.call.Pool.HoldTTL == 0 {
		return nil
	}
	now := g.r.now()
	until := now.Add(time.Duration(g.call.Pool.HoldTTL))
	if by := g.a.FirstTokenAt.Add(holdMargin); by.Before(until) {
		until = by
	}
	server := g.a.Decode
	id, err := g.r.cfg.Engines.TakeHold(ctx, server, g.a.Work.HoldTokens(), until)
	switch {
	case err == nil:
		g.hold = id
		return nil
	case ctx.Err() != nil:
		return context.Cause(ctx)
	case errors.Is(err, egretflow.ErrFull):
		return &failure{kind: failureFull, server: server.Name, err: err}
	}
	f := unreachable(server, err)
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		f.kind = failureStalled
	case errors.Is(err, egretflow.ErrNotFound):
		f.kind = failureGone
	}
	return f
}

// prefill computes the prompt at a prefill server and keeps the decode place
// while it tries another one.
func (g *generation) prefill(ctx context.Context) error {
	for prefills := 1; ; prefills++ {
		err := g.prefillOnce(ctx)
		if err == nil || ctx.Err() != nil {
			return err
		}
		var cause *failure
		if prefills == maxPrefills || !errors.As(err, &cause) {
			return err
		}
		if err := g.replacePrefill(ctx, cause); err != nil {
			return err
		}
	}
}

func (g *generation) prefillOnce(ctx context.Context) error {
	server, started := g.a.Prefill, g.r.now()
	ctx, cancel := context.WithTimeoutCause(ctx, patience(g.a.PrefillBy.Sub(started)), errStalled)
	defer cancel()
	resp, err := g.send(ctx, g.a, egretflow.ExchangeTerms{Server: server, Stage: egretflow.StagePrefill, Importance: g.a.Work.Importance})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &failure{kind: failureBroken, server: server.Name, arrived: true, err: fmt.Errorf("prefill answered with status %d", resp.StatusCode)}
	}
	result, err := g.r.cfg.Engines.ReadPrefill(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return g.broken(ctx, server, err)
	}
	g.handle, g.tokens = result.Handle, result.Tokens
	g.r.cfg.Scheduler.Observe(egretflow.Observation{
		Kind: egretflow.ObservationPrefillDone, Server: server.Name, Attempt: g.a.Attempt,
		StartedAt: started, EndedAt: g.r.now(), Tokens: result.Tokens,
	})
	g.r.cfg.Scheduler.Release(egretflow.Release{Attempt: g.a.Attempt, PrefillOnly: true})
	g.r.record(egretflow.EventPrefillDone, g.a.Work, g.a, field("server", server.Name))
	return nil
}

func (g *generation) replacePrefill(ctx context.Context, cause *failure) error {
	_ = g.failed(g.a, cause)
	work := *g.a.Work
	work.Avoid = append(work.Avoid[:len(work.Avoid):len(work.Avoid)], cause.server)
	next := *g.a
	next.Work = &work
	replaced, err := g.r.cfg.Scheduler.Replace(ctx, &next)
	if err != nil {
		return fmt.Errorf("replace prefill server: %w", err)
	}
	g.r.record(egretflow.EventRetried, &work, replaced, field("stage", "Prefill"), field("reason", cause.kind))
	g.a = replaced
	return nil
}

// decode starts the stream at the decode server and passes its events on.
func (g *generation) decode(ctx context.Context) error {
	server, started := g.a.Decode, g.r.now()
	watch := g.watchStall(ctx)
	defer watch.stop()
	resp, err := g.send(ctx, g.a, egretflow.ExchangeTerms{
		Server: server, Stage: egretflow.StageDecode, Source: g.a.Prefill.Address, Handle: g.handle, Hold: g.hold,
		Importance: g.a.Work.Importance,
	})
	var cause *failure
	if err == nil || errors.As(err, &cause) && cause.arrived {
		g.handle, g.hold = "", ""
	}
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return g.errorAnswer(ctx, resp)
	}
	g.paceSince = started
	return g.relay(ctx, resp, watch)
}

// watchStall cancels the attempt when a stream that can be continued elsewhere
// falls silent.
func (g *generation) watchStall(ctx context.Context) *stallWatch {
	if !g.call.Work.Idempotent || g.runs+1 >= g.attempts() {
		return newStallWatch(g.r.cfg.Clock, g.deadline.Sub(g.r.now())+time.Minute, func(*stallWatch) {})
	}
	wait := max(patience(g.a.FirstTokenAt.Sub(g.r.now())), eventStallFactor*g.call.EventGapTarget)
	return newStallWatch(g.r.cfg.Clock, wait, func(w *stallWatch) { g.r.cleanups.Go(func() { g.examine(ctx, w) }) })
}

// examine asks the engine of a silent stream. The stream is given up only when
// the engine has made events that did not arrive, or when it twice does not answer
// or does not know the request while none waits; a slow engine is waited for.
func (g *generation) examine(ctx context.Context, watch *stallWatch) {
	p, err := g.r.cfg.Engines.Progress(ctx, g.a.Decode, g.call.Terms.ID)
	if ctx.Err() != nil {
		return
	}
	received := int(g.received.Load())
	verdict := "Slow"
	switch {
	case err != nil && g.unknown.Swap(true):
		verdict = "Unreachable"
	case err != nil:
	case p.Running && p.Events > received:
		verdict = "Silent"
	case !p.Running && p.Waiting == 0 && g.unknown.Swap(true):
		// A preempted request waits at its engine and is not among those that run.
		verdict = "Unknown"
	}
	g.r.record(egretflow.EventSilentConnection, g.a.Work, g.a, field("server", g.a.Decode.Name), field("verdict", verdict),
		field("received", strconv.Itoa(received)), field("made", strconv.Itoa(p.Events)))
	if verdict == "Slow" {
		watch.restart()
		return
	}
	g.cancel(errStalled)
}

// errorAnswer reads an answer with an error status, which may be passed on.
func (g *generation) errorAnswer(ctx context.Context, resp *http.Response) error {
	answer, err := g.readWhole(ctx, g.a.Decode, resp)
	if err != nil {
		return err
	}
	return &failure{kind: failureError, server: g.a.Decode.Name, answer: answer, arrived: true, err: fmt.Errorf("status %d", answer.status)}
}

// relay passes on whole events until the stream ends.
func (g *generation) relay(ctx context.Context, resp *http.Response, watch *stallWatch) error {
	events := bufio.NewReaderSize(resp.Body, eventBuffer)
	control := http.NewResponseController(g.w)
	for {
		watch.begin()
		event, err := readEvent(events)
		watch.end()
		if errors.Is(err, io.EOF) && len(event) == 0 {
			return g.complete()
		}
		if err != nil {
			return g.broken(ctx, g.a.Decode, fmt.Errorf("read event: %w", err))
		}
		if err := g.pass(resp, event); err != nil {
			return err
		}
		if events.Buffered() > 0 {
			continue
		}
		if err := control.Flush(); err != nil {
			return fmt.Errorf("flush event: %w", err)
		}
	}
}

// complete ends a stream that was read to its end.
func (g *generation) complete() error {
	if g.generated == 0 {
		return &failure{kind: failureBroken, server: g.a.Decode.Name, arrived: true, err: errors.New("the stream holds no event")}
	}
	g.reportPace()
	return nil
}

// pass writes one event to the caller unless the caller has it.
func (g *generation) pass(resp *http.Response, event []byte) error {
	id := eventIDOf(event)
	if id != "" && !follows(id, g.lastID) {
		return nil
	}
	now := g.r.now()
	if g.paceEvents == 0 {
		g.firstEvent(now)
	}
	if !g.result.Started {
		g.result.Started, g.result.Status, g.result.FirstTokenAt = true, resp.StatusCode, now
		writeHeader(g.w, resp.Header, resp.StatusCode)
	}
	if _, err := g.w.Write(event); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	g.result.received(now)
	g.heardAt = now
	g.generated++
	g.received.Add(1)
	g.result.Tokens++
	if id != "" {
		g.lastID = id
	}
	if g.paceEvents++; g.paceEvents%observedEvents == 0 {
		g.reportPace()
	}
	return nil
}

// firstEvent reports that the KV cache was transferred.
func (g *generation) firstEvent(now time.Time) {
	g.r.cfg.Scheduler.Observe(egretflow.Observation{
		Kind: egretflow.ObservationTransferDone, Server: g.a.Prefill.Name, Attempt: g.a.Attempt,
		StartedAt: g.paceSince, EndedAt: now, Tokens: g.tokens,
	})
	g.r.record(egretflow.EventFirstToken, g.a.Work, g.a, field("server", g.a.Decode.Name))
	g.paceSince = now
}

func (g *generation) reportPace() {
	events := g.paceEvents % observedEvents
	if events == 0 && g.paceEvents > 0 {
		events = observedEvents
	}
	now := g.r.now()
	g.r.cfg.Scheduler.Observe(egretflow.Observation{
		Kind: egretflow.ObservationTokens, Server: g.a.Decode.Name, Attempt: g.a.Attempt,
		StartedAt: g.paceSince, EndedAt: now, Tokens: events, Generated: g.paceEvents * g.call.Pool.EventTokens,
	})
	g.paceSince = now
}

// release gives back the place and frees what servers keep for the attempt.
func (g *generation) release() {
	if g.handle != "" || g.hold != "" {
		g.r.cleanups.Go(g.free)
	}
	g.r.cfg.Scheduler.Release(egretflow.Release{Attempt: g.a.Attempt})
}

func (g *generation) free() {
	ctx, cancel := context.WithTimeout(context.Background(), cleanupTimeout)
	defer cancel()
	var err error
	if g.handle != "" {
		g.wasted()
		err = g.r.cfg.Engines.FreePrefill(ctx, g.a.Prefill, g.handle)
	}
	if g.hold != "" {
		err = stderrors.Join(err, g.r.cfg.Engines.DropHold(ctx, g.a.Decode, g.hold))
	}
	if err != nil {
		// Both end by themselves within their lifetime.
		g.r.record(egretflow.EventCleanupFailed, g.a.Work, g.a, field("error", err.Error()))
	}
}

// wasted counts a prompt that was computed and not used.
func (g *generation) wasted() {
	if g.r.cfg.Wasted != nil {
		g.r.cfg.Wasted(g.a.Work, g.tokens)
	}
}

// readEvent reads up to the empty line that ends an event. At the end of the
// stream it returns what is left.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(event) < maxEvent {
			continue
		}
		if err != nil {
			return event, err //nolint:wrapcheck // the caller tells the end of the stream by it
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && len(event) > len(line) {
			return event, nil
		}
	}
}

// eventIDOf returns the id of an event, or "".
func eventIDOf(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// follows reports whether an event comes after the last one that was passed on.
func follows(id, last string) bool {
	if last == "" {
		return true
	}
	a, errA := strconv.ParseUint(id, 10, 64)
	b, errB := strconv.ParseUint(last, 10, 64)
	if errA != nil || errB != nil {
		return id != last
	}
	return a > b
}
