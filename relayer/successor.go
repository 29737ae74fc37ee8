package relayer

import (
	"context"
	"time"

	"github.com/egretflow/egretflow"
)

// successor holds the servers of the next attempt. They are reserved before a running
// attempt is given up for its silence: its server may only be slow, and without
// another one the answer would be lost.
type successor struct {
	a    *egretflow.Assignment
	hold egretflow.HoldID
}

// acquire returns the servers of the next attempt: those of the successor, if there is
// one, and otherwise those that the scheduler assigns.
func (f *forwardState) acquire(ctx context.Context, work *egretflow.Work) (*egretflow.Assignment, egretflow.HoldID, error) {
	if s := f.successor; s != nil {
		f.successor = nil
		return s.a, s.hold, nil
	}
	work, err := f.withoutClosed(ctx, work)
	if err != nil {
		return nil, "", err
	}
	a, err := f.r.acquire(ctx, work, &f.result)
	return a, "", err
}

// releaseSuccessor frees a successor that is not used.
func (f *forwardState) releaseSuccessor() {
	s := f.successor
	if s == nil {
		return
	}
	f.successor = nil
	f.r.freeSuccessor(s)
}

func (r *Relayer) freeSuccessor(s *successor) {
	if s.hold != "" {
		r.cleanups.Go(func() { r.freeHold(s) })
	}
	r.cfg.Scheduler.Release(egretflow.Release{Attempt: s.a.Attempt})
}

func (r *Relayer) freeHold(s *successor) {
	ctx, cancel := context.WithTimeout(context.Background(), cleanupTimeout)
	defer cancel()
	if err := r.cfg.Engines.ReleaseHold(ctx, s.a.Decode, s.hold); err != nil {
		// The engine frees it when its lifetime ends.
		r.record(egretflow.EventCleanupFailed, s.a.Work, s.a, field("error", err.Error()))
	}
}

// giveUpAfter reserves a successor of the attempt a when timeout has passed, and ends
// the attempt with errStalled if there is one. Otherwise it asks the scheduler again
// after the same time. The returned function must be called after ctx has ended;
// f.successor is not written after it returns.
func (f *forwardState) giveUpAfter(ctx context.Context, a *egretflow.Assignment, timeout time.Duration, cancel context.CancelCauseFunc) (stop func()) {
	ended := make(chan struct{})
	timer := time.AfterFunc(timeout, func() {
		defer close(ended)
		for ctx.Err() == nil {
			if f.successor = f.reserve(ctx, f.stalledWork(a, 0, a.Work.ArrivedAt)); f.successor != nil {
				cancel(errStalled)
				return
			}
			wait(ctx, timeout)
		}
	})
	return func() {
		if !timer.Stop() {
			<-ended
		}
	}
}

// wait waits until d has passed or ctx ends.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// stalledWork returns the work of an attempt that follows a after its server has
// stopped responding.
func (f *forwardState) stalledWork(a *egretflow.Assignment, events int, lastEventAt time.Time) *egretflow.Work {
	cause := &failure{kind: failureStalled, server: a.Decode.Name, delivered: true, err: errStalled}
	work := f.retryWork(a.Work, cause, events, lastEventAt)
	work.Overlaps = true
	return work
}

// reserve waits for servers for work and returns them, or nil if the request gets
// none. It may run beside an attempt.
func (f *forwardState) reserve(ctx context.Context, work *egretflow.Work) *successor {
	work, err := f.withoutClosed(ctx, work)
	var a *egretflow.Assignment
	if err == nil {
		a, err = f.r.cfg.Scheduler.Acquire(ctx, work)
	}
	if err != nil {
		if ctx.Err() == nil {
			f.r.record(egretflow.EventReplacementRefused, work, nil, field("error", err.Error()))
		}
		return nil
	}
	s := &successor{a: a}
	if f.call.Pool.Kind != egretflow.PoolKindModel {
		return s
	}
	if a.Prefill == nil {
		f.r.freeSuccessor(s)
		return nil
	}
	if s.hold, err = f.r.takeHold(ctx, f.call.Pool, a); err != nil {
		_ = f.reportFailure(a, err)
		f.r.freeSuccessor(s)
		return nil
	}
	return s
}

// retryWork returns the work of an attempt that follows work after the failure cause.
// The caller has received the given number of events, the last one at lastEventAt, or
// has sent the request then.
func (f *forwardState) retryWork(work *egretflow.Work, cause *failure, events int, lastEventAt time.Time) *egretflow.Work {
	next := *work
	if cause.kind != failureFull {
		next.Avoid = append(work.Avoid[:len(work.Avoid):len(work.Avoid)], cause.server)
	}
	next.Retry, next.Overlaps = cause.delivered, false
	next.Reacquired = !next.Retry
	next.PromptTokens = f.call.Work.PromptTokens + events*f.call.Pool.EventTokens
	if next.Retry {
		f.extendTarget(&next, lastEventAt)
	}
	return &next
}

// extendTarget lets a retry start for as long as its caller waits for the next event.
// The target of the first attempt does not apply to it: what was missed cannot be made
// up for, and a refusal would cut off an answer that has begun, or promise nothing to a
// caller whose request may have run.
func (f *forwardState) extendTarget(next *egretflow.Work, lastEventAt time.Time) {
	if f.call.Work.GiveUpBy.IsZero() {
		return
	}
	patience := f.call.Work.GiveUpBy.Sub(f.call.Work.ArrivedAt)
	next.GiveUpBy = lastEventAt.Add(patience)
	if soonest := f.r.now().Add(patience / 2); next.GiveUpBy.Before(soonest) {
		// The caller is still there, so that it goes on waiting.
		next.GiveUpBy = soonest
	}
	if !next.Deadline.IsZero() && next.Deadline.Before(next.GiveUpBy) {
		next.GiveUpBy = next.Deadline
	}
	next.FirstTokenBy = next.GiveUpBy
}

// lastEventAt returns when the caller received the last event, or sent the request.
func (f *forwardState) lastEventAt() time.Time {
	if f.result.LastTokenAt.IsZero() {
		return f.call.Work.ArrivedAt
	}
	return f.result.LastTokenAt
}
