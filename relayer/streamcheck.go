package relayer

import (
	"context"
	"strconv"
	"time"

	"github.com/egretflow/egretflow"
)

// progressVerdict says what a check found of a stream that sent nothing for the stall
// timeout.
type progressVerdict string

const (
	// progressSlow means that the engine works on the request or will do so.
	progressSlow progressVerdict = "Slow"
	// progressUnreachable means that the engine did not respond.
	progressUnreachable progressVerdict = "Unreachable"
	// progressSilent means that the engine has generated events that did not arrive.
	progressSilent progressVerdict = "Silent"
	// progressUnknown means that the engine neither runs the request nor has waiting
	// ones. A preempted request is waiting at its engine.
	progressUnknown progressVerdict = "Unknown"
)

// verdictOf returns the verdict for what an engine reported of a request of which
// received events have arrived.
func verdictOf(p egretflow.Progress, err error, received int64) progressVerdict {
	switch {
	case err != nil:
		return progressUnreachable
	case p.Running && int64(p.Events) > received:
		return progressSilent
	case !p.Running && p.Waiting == 0:
		return progressUnknown
	}
	return progressSlow
}

// startStallWatch returns a watch that checks the progress of a stalled stream. A
// stream that cannot be continued on another server is not checked.
func (g *streamAttempt) startStallWatch(ctx context.Context) *stallWatch {
	if !g.call.Work.Idempotent || g.isLast() {
		return newStallWatch(g.r.cfg.Clock, g.deadline.Sub(g.r.now())+time.Minute, func(*stallWatch) {})
	}
	wait := max(stageTimeout(g.a.FirstTokenAt.Sub(g.r.now())), eventStallFactor*g.call.EventGapTarget)
	return newStallWatch(g.r.cfg.Clock, wait, func(w *stallWatch) {
		silentSince := w.begunAt
		g.checks.Go(func() { g.checkProgress(ctx, w, silentSince) })
	})
}

// checkProgress queries the decode engine about a stream that has sent nothing since
// silentSince, for at least the stall timeout. A sound engine may be silent for about a
// second, so the attempt is given up only if two checks in a row find the stream
// stalled, and only once another server is reserved. Otherwise the wait is restarted.
func (g *streamAttempt) checkProgress(ctx context.Context, watch *stallWatch, silentSince time.Time) {
	received := g.receivedEvents.Load()
	p, err := g.r.cfg.Engines.Progress(ctx, g.a.Decode, g.call.Terms.ID)
	if ctx.Err() != nil {
		return
	}
	verdict := verdictOf(p, err, received)
	g.r.record(egretflow.EventSilentConnection, g.a.Work, g.a, field("server", g.a.Decode.Name), field("verdict", verdict),
		field("received", strconv.FormatInt(received, 10)), field("made", strconv.Itoa(p.Events)))
	if g.confirmStalled(verdict, received) {
		g.reportSilence()
		if !g.unnumbered.Load() && g.reserveSuccessor(ctx, received, silentSince) {
			g.cancel(errStalled)
			return
		}
	}
	watch.restart()
}

// confirmStalled reports whether this check and the one before found the stream
// stalled, with no event in between.
func (g *streamAttempt) confirmStalled(verdict progressVerdict, received int64) bool {
	if verdict == progressSlow {
		g.suspectedAfter.Store(notSuspected)
		return false
	}
	return g.suspectedAfter.Swap(received) == received
}

// reportSilence keeps new work from the server for a while. Without a successor the
// attempt does not end and reports no failure.
func (g *streamAttempt) reportSilence() {
	now := g.r.now()
	g.r.cfg.Scheduler.Observe(egretflow.Observation{
		Kind: egretflow.ObservationSilent, Server: g.a.Decode.Name, Attempt: g.a.Attempt, StartedAt: now, EndedAt: now,
	})
}

// reserveSuccessor reserves servers on which the stream can continue. It returns false
// if there are none, or if events arrived in the meantime.
func (g *streamAttempt) reserveSuccessor(ctx context.Context, received int64, silentSince time.Time) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g.stopReserving.Store(&cancel)
	defer g.stopReserving.Store(nil)
	s := g.reserve(ctx, g.stalledWork(g.a, g.earlierEvents+int(received), silentSince))
	switch {
	case s == nil:
		return false
	case g.receivedEvents.Load() != received:
		g.r.freeSuccessor(s)
		return false
	}
	g.successor = s
	return true
}
