package relayer

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/admitter"
	"github.com/egretflow/egretflow/connector"
	"github.com/egretflow/egretflow/internal/openai"
	"github.com/pkg/errors"
)

// ErrHandedOver ends an answer after a complete event because the instance
// shuts down. The caller resumes it at another instance (10.1).
var ErrHandedOver = errors.New("answer handed over at shutdown")

// Config holds what a Relayer needs.
type Config struct {
	Instance  egretflow.InstanceName
	Scheduler egretflow.Scheduler
	Recorder  egretflow.Recorder
	Checker   egretflow.Checker
	// Claimer decides on non-idempotent requests; nil rejects them.
	Claimer egretflow.Claimer
	Clock   egretflow.Clock
	Rand    *rand.Rand
	Dial    connector.DialFunc
	// Wasted, if set, is called with prompt tokens whose computation was not
	// used.
	Wasted func(w *egretflow.Work, tokens int)
	// AttemptFailed, if set, is called for each attempt that failed.
	AttemptFailed func(w *egretflow.Work, reason string)
	// TLS is used towards servers of pools with ServerTLS.
	TLS *tls.Config
	// Dialect is how forwarded requests speak to servers; nil without forwarded
	// routes. Engines are called for forwarded streams.
	Dialect egretflow.Dialect
	Engines egretflow.Engines
	// TakesWork, if set, reports whether a server that was chosen earlier may
	// still get new work.
	TakesWork func(name egretflow.ServerName) bool
}

// Relayer carries out requests. Its methods are safe for concurrent use.
type Relayer struct {
	cfg    Config
	client *connector.Client
	// cleanups counts attempts that are opened or aborted.
	cleanups background
	randMu   sync.Mutex
}

// New returns a Relayer.
func New(cfg Config) *Relayer {
	return &Relayer{cfg: cfg, client: connector.New(cfg.Dial, cfg.TLS)}
}

// Close waits until all aborts are acknowledged or have timed out and closes
// idle connections. Requests that still run are not waited for.
func (r *Relayer) Close() {
	r.cleanups.Wait()
	r.client.Close()
}

// Sink receives the chunks of an answer in order. An error ends the request.
type Sink interface {
	// Chunk takes one chunk. It must not keep c.
	Chunk(id EventID, c *openai.Chunk) error
	// Flush is called when no further chunk is at hand.
	Flush() error
}

// Job is one model request.
type Job struct {
	Work    *egretflow.Work
	Request *openai.Request
	Pool    *egretflow.Pool
	// Header holds the headers that are passed on to engines.
	Header map[string]string
	Sink   Sink
	// Handover ends when the answer must end after the current event; nil means
	// never.
	Handover context.Context
}

// Result describes an answer that was passed on.
type Result struct {
	FirstTokenAt time.Time
	LastTokenAt  time.Time
	Tokens       int
	PromptTokens int
	Retries      int
	// Waited is the time in the queue over all attempts, LongestGap the longest
	// between two events.
	Waited     time.Duration
	LongestGap time.Duration
	// Started says that the sink has received a chunk.
	Started bool
	// Status is that of the server's answer where it is passed on.
	Status int
}

// received notes the time of an event.
func (r *Result) received(now time.Time) {
	if !r.LastTokenAt.IsZero() {
		r.LongestGap = max(r.LongestGap, now.Sub(r.LastTokenAt))
	}
	r.LastTokenAt = now
}

// acquire waits for a place and adds the wait to result.
func (r *Relayer) acquire(ctx context.Context, work *egretflow.Work, result *Result) (*egretflow.Assignment, error) {
	startedAt := r.now()
	a, err := r.cfg.Scheduler.Acquire(ctx, work)
	result.Waited += r.now().Sub(startedAt)
	return a, err
}

func (r *Relayer) now() time.Time { return r.cfg.Clock() }

// returnAt is when the caller of w should return after a refusal.
func (r *Relayer) returnAt(w *egretflow.Work) time.Time {
	r.randMu.Lock()
	defer r.randMu.Unlock()
	return admitter.ReturnAt(w, r.now(), r.cfg.Rand)
}

// jitter returns a duration between half of d and d.
func (r *Relayer) jitter(d time.Duration) time.Duration {
	r.randMu.Lock()
	defer r.randMu.Unlock()
	return d/2 + time.Duration(r.cfg.Rand.Int64N(int64(d/2)+1))
}

func (r *Relayer) record(name egretflow.EventName, w *egretflow.Work, a *egretflow.Assignment, fields ...egretflow.EventField) {
	e := egretflow.Event{Name: name, At: r.now(), Instance: r.cfg.Instance, Request: w.Request, Fields: fields}
	if a != nil {
		e.Attempt, e.Decision = a.Attempt, a.Decision
	}
	r.cfg.Recorder.Record(e)
}

func field[T ~string](key string, value T) egretflow.EventField {
	return egretflow.EventField{Key: key, Value: string(value)}
}
