package relayer

import (
	"context"
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

// opener opens the stream of one attempt up to its first token.
type opener func(ctx context.Context) (*stream, error)

// race runs openers on their own goroutines. The first stream that opens is
// taken, the others are aborted.
type race struct {
	r       *Relayer
	results chan raceResult
	over    chan struct{}
	cancels []context.CancelCauseFunc
}

type raceResult struct {
	number int
	stream *stream
	err    error
}

func (c *race) run(ctx context.Context, open opener) {
	ctx, cancel := context.WithCancelCause(ctx)
	number := len(c.cancels)
	c.cancels = append(c.cancels, cancel)
	c.r.cleanups.Go(func() {
		s, err := open(ctx)
		select {
		case c.results <- raceResult{number: number, stream: s, err: err}:
		case <-c.over:
			if s != nil {
				s.close(errLost)
			}
		}
	})
}

// end aborts all attempts but the winner, whose context ends with its stream.
func (c *race) end(winner int) {
	close(c.over)
	for n, cancel := range c.cancels {
		if n != winner {
			cancel(errLost)
		}
	}
}

// open gets an assignment for work and opens its stream. If the first token is
// late and the scheduler grants a hedge, a second attempt runs beside the first
// (5.4).
func (p *progress) open(ctx context.Context, work *egretflow.Work) (*stream, error) {
	a, err := p.r.cfg.Scheduler.Acquire(ctx, work)
	if err != nil {
		return nil, err
	}
	c := &race{r: p.r, results: make(chan raceResult), over: make(chan struct{})}
	winner := -1
	defer func() { c.end(winner) }()
	c.run(ctx, p.newAttempt(a).open)
	hedge := time.NewTimer(max(minHedgeDelay, hedgeFactor*a.FirstTokenAt.Sub(p.r.now())))
	defer hedge.Stop()
	for running := 1; running > 0; {
		select {
		case <-hedge.C:
			running++
			c.run(ctx, p.hedge(a))
		case result := <-c.results:
			running--
			if result.err == nil {
				winner = result.number
				return result.stream, nil
			}
			// The error of the first attempt says more than that of a hedge.
			if result.number == 0 {
				err = result.err
			}
		}
	}
	return nil, err
}

func (p *progress) newAttempt(a *egretflow.Assignment) *attempt {
	return &attempt{r: p.r, job: p.job, mayHaveRun: &p.mayHaveRun, a: a, sentText: string(p.text), sentTokens: p.result.Tokens}
}

// hedge opens a second attempt on other servers than first.
func (p *progress) hedge(first *egretflow.Assignment) opener {
	work := *first.Work
	work.Hedge = true
	work.Avoid = append(work.Avoid[:len(work.Avoid):len(work.Avoid)], first.Prefill.Name, first.Decode.Name)
	return func(ctx context.Context) (*stream, error) {
		a, err := p.r.cfg.Scheduler.Acquire(ctx, &work)
		if err != nil {
			return nil, err
		}
		p.r.record(egretflow.EventHedged, &work, a)
		return p.newAttempt(a).open(ctx)
	}
}
