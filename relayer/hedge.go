package relayer

import (
	"context"
	"fmt"
	"time"

	"github.com/egretflow/egretflow"
)

const (
	// hedgeFactor times the expected time to the first token is when a second
	// attempt starts.
	hedgeFactor = 2
	// minHedgeDelay keeps short requests from being hedged for small delays.
	minHedgeDelay = 150 * time.Millisecond
)

// race runs attempts on their own goroutines. The first success is taken, the
// others are cancelled and discarded.
type race[T any] struct {
	r       *Relayer
	discard func(T)
	results chan raceResult[T]
	over    chan struct{}
	cancels []context.CancelCauseFunc
}

type raceResult[T any] struct {
	number int
	value  T
	err    error
}

func newRace[T any](r *Relayer, discard func(T)) *race[T] {
	return &race[T]{r: r, discard: discard, results: make(chan raceResult[T]), over: make(chan struct{})}
}

func (c *race[T]) run(ctx context.Context, open func(ctx context.Context) (T, error)) {
	ctx, cancel := context.WithCancelCause(ctx)
	number := len(c.cancels)
	c.cancels = append(c.cancels, cancel)
	c.r.cleanups.Go(func() {
		value, err := open(ctx)
		select {
		case c.results <- raceResult[T]{number: number, value: value, err: err}:
		case <-c.over:
			if err == nil {
				c.discard(value)
			}
		}
	})
}

// wait returns the first success. When delay passes before it, second is run as
// well. The error is that of the first attempt, which says more than that of a
// hedge.
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
				winner = result.number
				return result.value, nil
			}
			if result.number == 0 {
				firstErr = result.err
			}
		}
	}
	var none T
	return none, firstErr
}

// end cancels all attempts but the winner, whose context ends with the request.
func (c *race[T]) end(winner int) {
	close(c.over)
	for n, cancel := range c.cancels {
		if n != winner {
			cancel(errLost)
		}
	}
}

func hedgeDelay(expected time.Duration) time.Duration {
	return max(minHedgeDelay, hedgeFactor*expected)
}

// open gets an assignment for work and opens its stream. If the first token is
// late and the scheduler grants a hedge, a second attempt runs beside the first
// (5.4).
func (p *progress) open(ctx context.Context, work *egretflow.Work) (*stream, error) {
	a, err := p.r.acquire(ctx, work, &p.result)
	if err != nil {
		return nil, err
	}
	c := newRace(p.r, func(s *stream) { s.close(errLost) })
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

// acquireHedge asks for a second attempt on other servers than first.
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
