package relayer

import (
	"context"
	"fmt"
	"time"

	"github.com/egretflow/egretflow"
)

const (
	// hedgeFactor times the expected time to the first token is the delay after
	// which a second attempt starts.
	hedgeFactor = 2
	// minHedgeDelay is the lower bound of the hedge delay. It prevents hedges of
	// short requests that are only slightly late.
	minHedgeDelay = 150 * time.Millisecond
)

// race runs attempts concurrently. The first successful result is used. The other
// attempts are cancelled with errRaceLost, and their results are discarded.
type race[T any] struct {
	r       *Relayer
	discard func(T)
	results chan raceResult[T]
	done    chan struct{}
	cancels []context.CancelCauseFunc
}

// raceResult is the result of the attempt with the index, in the order of run
// calls.
type raceResult[T any] struct {
	index int
	value T
	err   error
}

// newRace returns a race without attempts. discard frees the result of an attempt
// that succeeded after another one.
func newRace[T any](r *Relayer, discard func(T)) *race[T] {
	return &race[T]{r: r, discard: discard, results: make(chan raceResult[T]), done: make(chan struct{})}
}

// run starts an attempt on a new goroutine.
func (c *race[T]) run(ctx context.Context, open func(ctx context.Context) (T, error)) {
	ctx, cancel := context.WithCancelCause(ctx)
	index := len(c.cancels)
	c.cancels = append(c.cancels, cancel)
	c.r.cleanups.Go(func() {
		value, err := open(ctx)
		select {
		case c.results <- raceResult[T]{index: index, value: value, err: err}:
		case <-c.done:
			if err == nil {
				c.discard(value)
			}
		}
	})
}

// wait returns the first successful result. If there is none after delay, it also
// runs second, a hedge. If all attempts fail, it returns the error of the first
// one, which describes the problem better than that of a hedge.
func (c *race[T]) wait(ctx context.Context, delay time.Duration, second func(ctx context.Context) (T, error)) (T, error) {
	winner := -1
	defer func() { c.end(winner) }()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var firstErr error
	for running := len(c.cancels); running > 0; {
		select {
		case <-timer.C:
			running++
			c.run(ctx, second)
		case result := <-c.results:
			running--
			if result.err == nil {
				winner = result.index
				return result.value, nil
			}
			if result.index == 0 {
				firstErr = result.err
			}
		}
	}
	var zero T
	return zero, firstErr
}

// end cancels all attempts except the one with the index winner, whose context
// ends with the request; -1 cancels all.
func (c *race[T]) end(winner int) {
	close(c.done)
	for n, cancel := range c.cancels {
		if n != winner {
			cancel(errRaceLost)
		}
	}
}

// hedgeDelay returns the delay of a hedge for the expected time to the first
// token.
func hedgeDelay(expected time.Duration) time.Duration {
	return max(minHedgeDelay, hedgeFactor*expected)
}

// open gets an assignment for work and opens its stream. If the first token is
// late and the scheduler grants a hedge, a second attempt runs in parallel (5.4).
func (p *progress) open(ctx context.Context, work *egretflow.Work) (*stream, error) {
	a, err := p.r.acquire(ctx, work, &p.result)
	if err != nil {
		return nil, err
	}
	c := newRace(p.r, func(s *stream) { s.close(errRaceLost) })
	c.run(ctx, p.newAttempt(a).open)
	return c.wait(ctx, hedgeDelay(a.FirstTokenAt.Sub(p.r.now())), func(ctx context.Context) (*stream, error) {
		a, err := p.r.acquireHedge(ctx, a)
		if err != nil {
			return nil, err
		}
		return p.newAttempt(a).open(ctx)
	})
}

func (p *progress) newAttempt(a *egretflow.Assignment) *attempt {
	return &attempt{
		r: p.r, job: p.job, mayHaveRun: &p.mayHaveRun, a: a, sentText: string(p.text), sentTokens: p.result.Tokens,
	}
}

// acquireHedge gets an assignment for a second attempt that avoids the servers of
// first.
func (r *Relayer) acquireHedge(ctx context.Context, first *egretflow.Assignment) (*egretflow.Assignment, error) {
	work := *first.Work
	work.Hedge = true
	avoid := work.Avoid[:len(work.Avoid):len(work.Avoid)]
	if first.Prefill != nil {
		avoid = append(avoid, first.Prefill.Name)
	}
	work.Avoid = append(avoid, first.Decode.Name)
	a, err := r.cfg.Scheduler.Acquire(ctx, &work)
	if err != nil {
		return nil, fmt.Errorf("acquire hedge: %w", err)
	}
	r.record(egretflow.EventHedged, &work, a)
	return a, nil
}
