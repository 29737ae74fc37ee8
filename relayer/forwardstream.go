package relayer

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/egretflow/egretflow"
)

const (
	// holdMargin is the time after the expected first token for which memory at the
	// decode server stays reserved.
	holdMargin = 500 * time.Millisecond
	// eventStallFactor times the route's target for the gap between events is the
	// stall timeout of a stream that can be continued on another server.
	eventStallFactor = 3
	// eventsPerObservation is the number of events after which the time per event
	// and the tokens generated so far are reported to the scheduler.
	eventsPerObservation = 4
	// eventBufferBytes is the size of the read buffer, which holds a few events.
	eventBufferBytes = 2 << 10
	// maxEventBytes is the maximum size of an event.
	maxEventBytes = 256 << 10
)

// ForwardStream runs a forwarded call of a model pool and writes its events to w
// as they arrive. It reserves memory at the decode server before the prompt is
// computed. If it returns an error and Result.Started is true, the stream is
// incomplete and the connection to the caller must be aborted.
func (r *Relayer) ForwardStream(ctx context.Context, call *Call, w http.ResponseWriter) (Result, error) {
	f := &forwardedStream{forwardState: r.newForwardState(ctx, call), w: w}
	defer f.free()
	if !f.claimed.Claim(answerBytes) {
		return f.result, r.noRoom()
	}
	defer f.releaseSuccessor()
	err := f.run(ctx, func(work *egretflow.Work) error { return f.attempt(ctx, work) }, w)
	return f.result, err
}

// errNoModel is the refusal of a request whose pool has become a service since it
// arrived.
var errNoModel = &egretflow.Refusal{
	Status: http.StatusServiceUnavailable, Reason: egretflow.RefusalNoServer, RunState: egretflow.RunStateNotRun, Message: "the pool no longer serves a model",
}

// forwardedStream holds the state of a forwarded stream across its attempts.
type forwardedStream struct {
	*forwardState
	w http.ResponseWriter
}

// attempt runs the request under one assignment.
func (f *forwardedStream) attempt(ctx context.Context, work *egretflow.Work) error {
	a, hold, err := f.acquire(ctx, work)
	if err != nil {
		return err
	}
	if a.Prefill == nil {
		f.r.freeSuccessor(&successor{a: a, hold: hold})
		return errNoModel
	}
	ctx, cancel := context.WithCancelCause(ctx)
	g := &streamAttempt{forwardedStream: f, a: a, hold: hold, cancel: cancel, earlierEvents: f.writtenEvents}
	g.suspectedAfter.Store(notSuspected)
	defer g.release()
	err = g.run(ctx)
	g.completed = err == nil
	cancel(context.Canceled)
	g.checks.Wait()
	if err != nil {
		return f.reportFailure(g.a, err)
	}
	return nil
}

// notSuspected is the value of streamAttempt.suspectedAfter while no check has found
// its server stalled.
const notSuspected = -1

// streamAttempt is one execution of a forwarded stream under one assignment.
type streamAttempt struct {
	*forwardedStream
	a      *egretflow.Assignment
	cancel context.CancelCauseFunc
	// hold is the memory reservation at the decode server, and handle identifies the
	// KV cache at the prefill server. They are empty when there is nothing to free.
	hold   egretflow.HoldID
	handle egretflow.KVHandle
	// prefillTokens is the prompt length that the prefill server reported.
	prefillTokens int
	// observedSince is the start of the next observation of the time per event. The time
	// of writes to the caller does not count.
	observedSince time.Time
	// pressure measures how long the stream was not read.
	pressure backpressure
	// events counts the events that this attempt sent to the caller.
	events int
	// comments holds the comments that arrived before the first event of the stream.
	comments []byte
	// receivedID is the id of the last event that this attempt received, even if the
	// caller already had it.
	receivedID string
	// completed reports whether the answer was read to its end.
	completed bool
	// earlierEvents counts the events of earlier attempts.
	earlierEvents int
	// receivedEvents counts the events with an id, which comments have not. It is
	// read by checkProgress on another goroutine.
	receivedEvents atomic.Int64
	// suspectedAfter is the value of receivedEvents at the last check, if that found
	// the server stalled, and notSuspected otherwise.
	suspectedAfter atomic.Int64
	// stopReserving ends the wait for a successor, if there is one, because the stream
	// goes on.
	stopReserving atomic.Pointer[context.CancelFunc]
	// checks runs checkProgress, which must end before the attempt does.
	checks sync.WaitGroup
}

func (g *streamAttempt) run(ctx context.Context) error {
	if err := g.takeHold(ctx); err != nil {
		return err
	}
	if err := g.prefill(ctx); err != nil {
		return err
	}
	return g.decode(ctx)
}

// takeHold reserves memory at the decode server unless it is reserved already.
func (g *streamAttempt) takeHold(ctx context.Context) (err error) {
	if g.hold == "" {
		g.hold, err = g.r.takeHold(ctx, g.call.Pool, g.a)
	}
	return err
}

// takeHold reserves a slot and memory at the decode server of a before the prompt is
// computed (5.2). It does nothing for pools without HoldTTL.
func (r *Relayer) takeHold(ctx context.Context, pool *egretflow.Pool, a *egretflow.Assignment) (egretflow.HoldID, error) {
	if pool.HoldTTL == 0 {
		return "", nil
	}
	if err := r.checkAccepts(a.Decode); err != nil {
		return "", err
	}
	now := r.now()
	until := now.Add(time.Duration(pool.HoldTTL))
	if latest := a.FirstTokenAt.Add(holdMargin); latest.Before(until) {
		until = latest
	}
	id, err := r.cfg.Engines.TakeHold(ctx, a.Decode, a.Work.HoldTokens(), until)
	r.noteBusy(a.Decode, err)
	switch {
	case err == nil:
		return id, nil
	case ctx.Err() != nil:
		return "", context.Cause(ctx)
	case errors.Is(err, egretflow.ErrFull):
		return "", &failure{kind: failureFull, server: a.Decode.Name, err: err}
	}
	f := dialFailure(a.Decode, err)
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		f.kind = failureStalled
	case errors.Is(err, egretflow.ErrNotFound):
		f.kind = failureReplaced
	}
	return "", f
}

// prefill computes the prompt at a prefill server. If that fails, it tries other
// prefill servers and keeps the decode server.
func (g *streamAttempt) prefill(ctx context.Context) error {
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

// prefillOnce computes the prompt at the prefill server of the assignment.
func (g *streamAttempt) prefillOnce(ctx context.Context) error {
	server, started := g.a.Prefill, g.r.now()
	ctx, cancel := context.WithTimeoutCause(ctx, stageTimeout(g.a.PrefillBy.Sub(started)), errStalled)
	defer cancel()
	resp, err := g.send(ctx, g.a, egretflow.ExchangeMetadata{Server: server, Stage: egretflow.StagePrefill, Importance: g.a.Work.Importance})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &failure{kind: failureBroken, server: server.Name, delivered: true, status: resp.StatusCode, err: fmt.Errorf("prefill failed with status %d", resp.StatusCode)}
	}
	body := g.r.cfg.Responses.Part()
	defer body.Free()
	result, err := g.r.cfg.Engines.ReadPrefill(body.Reader(io.LimitReader(resp.Body, maxResponseBytes)))
	if err != nil {
		return g.connectionError(ctx, server, err)
	}
	g.handle, g.prefillTokens = result.Handle, result.Tokens
	g.r.cfg.Scheduler.Observe(egretflow.Observation{
		Kind: egretflow.ObservationPrefillDone, Server: server.Name, Attempt: g.a.Attempt,
		StartedAt: started, EndedAt: g.r.now(), Tokens: result.Tokens,
	})
	g.r.cfg.Scheduler.Release(egretflow.Release{Attempt: g.a.Attempt, PrefillOnly: true})
	g.r.record(egretflow.EventPrefillDone, g.a.Work, g.a, field("server", server.Name))
	return nil
}

// replacePrefill gets an assignment with the same decode server and another
// prefill server than the one that failed.
func (g *streamAttempt) replacePrefill(ctx context.Context, cause *failure) error {
	_ = g.reportFailure(g.a, cause)
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

// decode starts the stream at the decode server and sends its events to the
// caller.
func (g *streamAttempt) decode(ctx context.Context) error {
	server, started := g.a.Decode, g.r.now()
	watch := g.startStallWatch(ctx)
	defer watch.stop()
	resp, err := g.send(ctx, g.a, egretflow.ExchangeMetadata{
		Server: server, Stage: egretflow.StageDecode, Source: g.a.Prefill.Address, Handle: g.handle, Hold: g.hold,
		Importance: g.a.Work.Importance,
	})
	var cause *failure
	if err == nil || errors.As(err, &cause) && cause.delivered {
		g.handle, g.hold = "", ""
	}
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return g.errorResponse(ctx, resp)
	}
	if !isEventStream(resp.Header) {
		return g.plainResponse(ctx, resp)
	}
	g.observedSince = started
	return g.relay(ctx, resp, watch)
}

// errorResponse reads a response with an error status and returns it as a *failure
// whose response may be sent to the caller.
func (g *streamAttempt) errorResponse(ctx context.Context, resp *http.Response) error {
	response, err := g.readResponse(ctx, g.a.Decode, resp)
	if err != nil {
		return err
	}
	return &failure{kind: failureError, server: g.a.Decode.Name, response: response, delivered: true, err: fmt.Errorf("status %d", response.status)}
}

// plainResponse handles a response with status 200 that is not an event stream. It may
// be sent to the caller, but not into a stream that has begun.
func (g *streamAttempt) plainResponse(ctx context.Context, resp *http.Response) error {
	if g.result.Started {
		return g.mismatch("response of type %q continues a stream", resp.Header.Get("Content-Type"))
	}
	response, err := g.readResponse(ctx, g.a.Decode, resp)
	if err != nil {
		return err
	}
	return g.writeResponse(g.w, response)
}

// mismatch returns the failure of a decode server whose response is not, or not only,
// the stream that was requested.
func (g *streamAttempt) mismatch(format string, args ...any) *failure {
	return &failure{kind: failureMismatch, server: g.a.Decode.Name, delivered: true, err: fmt.Errorf(format, args...)}
}

// relay sends complete events to the caller until the stream ends.
func (g *streamAttempt) relay(ctx context.Context, resp *http.Response, watch *stallWatch) error {
	events := bufio.NewReaderSize(&measuredReader{Reader: resp.Body, clock: g.r.cfg.Clock, pressure: &g.pressure}, eventBufferBytes)
	control := http.NewResponseController(g.w)
	for progress := true; ; {
		if progress {
			watch.begin()
		}
		data, err := g.readEvent(events)
		event := parseEvent(data)
		// An event without an id, such as a comment, is no progress: a stalled server
		// may send some.
		progress = event.id != ""
		if progress || err != nil {
			watch.end()
		}
		if errors.Is(err, io.EOF) && len(bytes.TrimRight(data, "\r\n")) == 0 {
			return g.complete(resp, data)
		}
		if err != nil {
			return g.pressure.markUnread(g.connectionError(ctx, g.a.Decode, fmt.Errorf("read event: %w", err)))
		}
		if err := g.checkEvent(event); err != nil {
			return err
		}
		if err := g.writeEvent(resp, event); err != nil {
			return err
		}
		// A flush before the first event would send a header that is not the server's.
		if hasEvent(events) || !g.result.Started {
			continue
		}
		flushedAt := g.r.now()
		if err := control.Flush(); err != nil {
			return fmt.Errorf("flush event: %w", err)
		}
		g.noteWrite(flushedAt)
	}
}

// complete checks a stream that was read to its end and reports its last events to
// the scheduler. rest holds the empty lines after the last event.
func (g *streamAttempt) complete(resp *http.Response, rest []byte) error {
	switch {
	case g.writtenEvents == 0 && g.lastEventID == "":
		return &failure{kind: failureBroken, server: g.a.Decode.Name, delivered: true, err: errors.New("the stream has no events")}
	case g.events == 0 && g.receivedID == "" && !isFramed(resp):
		return &failure{kind: failureBroken, server: g.a.Decode.Name, delivered: true, err: errors.New("the connection was closed before the first event")}
	case g.receivedID != "" && g.receivedID != g.lastEventID:
		return g.mismatch("the stream ends after event %s, but the caller has event %s", g.receivedID, g.lastEventID)
	}
	// A caller that resumes its stream may have had its last event already.
	g.start(resp, g.r.now())
	if g.events > 0 {
		g.reportTokens()
	}
	return g.writeComment(rest)
}

// checkEvent returns an error if the event must not reach the caller: it is none, it
// reports that the server failed, or nothing shows that it follows the events of earlier
// attempts.
func (g *streamAttempt) checkEvent(event streamEvent) error {
	switch {
	case event.kind == eventInvalid:
		return g.mismatch("the stream has other data than events")
	case event.kind == eventError:
		return &failure{kind: failureBroken, server: g.a.Decode.Name, delivered: true, err: errors.New("the stream has an error event")}
	case event.kind == eventUnnumbered && g.continues() && g.receivedEvents.Load() == 0:
		return g.mismatch("the stream is continued by an event without an id")
	case g.continues() && g.events == 0 && g.consecutive && idStep(g.lastEventID, event.id) > 1:
		return g.mismatch("the stream is continued after event %s by event %s", g.lastEventID, event.id)
	case event.id != "" && event.id == g.lastEventID && g.lastEvent != nil && !bytes.Equal(event.data, g.lastEvent):
		return g.mismatch("event %s is not the one that the caller has", event.id)
	}
	return nil
}

// noteWrite records a write to the caller that began at startedAt and has ended now. Its
// time must not count as slowness or silence of the server.
func (g *streamAttempt) noteWrite(startedAt time.Time) {
	now := g.r.now()
	took := now.Sub(startedAt)
	g.pressure.noteWrite(took)
	g.observedSince = g.observedSince.Add(took)
	g.lastActivityAt = now
}

// continues reports whether the attempt continues a stream of which the caller has
// events.
func (g *streamAttempt) continues() bool { return g.earlierEvents > 0 }

// writeEvent writes one event to the caller unless the caller already has it.
func (g *streamAttempt) writeEvent(resp *http.Response, event streamEvent) error {
	id := event.id
	if event.kind == eventComment {
		return g.writeComment(event.data)
	}
	if id != "" {
		g.receivedID = id
	}
	if id != "" && !follows(id, g.lastEventID) {
		return nil
	}
	now := g.r.now()
	if g.events == 0 {
		g.reportFirstEvent(now)
	}
	g.start(resp, now)
	data := event.data
	if len(g.comments) > 0 {
		data, g.comments = append(g.comments, data...), nil
	}
	if _, err := g.w.Write(data); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	g.noteWrite(now)
	g.result.noteEvent(now)
	g.writtenEvents++
	if id == "" {
		g.unnumbered.Store(true)
	}
	g.result.Tokens++
	if id != "" {
		g.consecutive = idStep(g.lastEventID, id) == 1 && (g.consecutive || g.writtenEvents == 1)
		g.lastEventID, g.lastEvent = id, event.data
		g.receivedEvents.Add(1)
		if stop := g.stopReserving.Load(); stop != nil {
			(*stop)()
		}
	}
	if g.events++; g.events%eventsPerObservation == 0 {
		g.reportTokens()
	}
	return nil
}

// start writes the header of the response to the caller unless it has one.
func (g *streamAttempt) start(resp *http.Response, now time.Time) {
	if g.result.Started {
		return
	}
	g.result.Started, g.result.Status, g.result.FirstTokenAt = true, resp.StatusCode, now
	// Another server may continue the stream, with another length.
	header := resp.Header.Clone()
	header.Del("Content-Length")
	writeHeader(g.w, header, resp.StatusCode)
}

// writeComment writes a comment to the caller. Before the first event it is kept until
// then, because the header of the response is that of the server whose events follow.
func (g *streamAttempt) writeComment(comment []byte) error {
	if !g.result.Started {
		if g.comments = append(g.comments, comment...); len(g.comments) > maxEventBytes {
			return g.mismatch("the comments before the first event are too large")
		}
		return nil
	}
	if _, err := g.w.Write(comment); err != nil {
		return fmt.Errorf("write comment: %w", err)
	}
	return nil
}

// reportFirstEvent reports to the scheduler that the KV cache transfer is complete.
func (g *streamAttempt) reportFirstEvent(now time.Time) {
	g.r.cfg.Scheduler.Observe(egretflow.Observation{
		Kind: egretflow.ObservationTransferDone, Server: g.a.Prefill.Name, Attempt: g.a.Attempt,
		StartedAt: g.observedSince, EndedAt: now, Tokens: g.prefillTokens,
	})
	g.r.record(egretflow.EventFirstToken, g.a.Work, g.a, field("server", g.a.Decode.Name))
	g.observedSince = now
}

// reportTokens reports the events since the last report to the scheduler, with the
// tokens generated so far.
func (g *streamAttempt) reportTokens() {
	events := g.events % eventsPerObservation
	if events == 0 && g.events > 0 {
		events = eventsPerObservation
	}
	now := g.r.now()
	g.r.cfg.Scheduler.Observe(egretflow.Observation{
		Kind: egretflow.ObservationTokens, Server: g.a.Decode.Name, Attempt: g.a.Attempt,
		StartedAt: g.observedSince, EndedAt: now, Tokens: events, Generated: g.events * g.call.Pool.EventTokens,
	})
	g.observedSince = now
}
