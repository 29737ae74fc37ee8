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
	"github.com/egretflow/egretflow/reserver"
	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"
)

// ErrHandedOver is the cause of an answer that ends after a complete event because
// this instance shuts down. The caller resumes the answer at another instance
// (10.1).
var ErrHandedOver = errors.New("answer handed over at shutdown")

// Config holds the dependencies and settings of a Relayer.
type Config struct {
	Instance  egretflow.InstanceName
	Scheduler egretflow.Scheduler
	Recorder  egretflow.Recorder
	Checker   egretflow.Checker
	// Claimer records claims of non-idempotent service calls, so that each runs at
	// most once. If nil, Call refuses them.
	Claimer egretflow.Claimer
	Clock   egretflow.Clock
	Rand    *rand.Rand
	Dial    connector.DialFunc
	// PrefillWasted, if set, is called with the number of prompt tokens that a
	// prefill computed and that no decode server used.
	PrefillWasted func(w *egretflow.Work, tokens int)
	// AttemptFailed, if set, is called for each failed attempt. The reason is the
	// kind of the failure, such as "Stalled".
	AttemptFailed func(w *egretflow.Work, reason string)
	// Responses bounds what the responses of servers take in memory together, for all
	// requests. It is unbounded if nil.
	Responses *reserver.Reserver
	// TLS configures connections to servers of pools with ServerTLS.
	TLS *tls.Config
	// Dialect writes and reads the headers that are exchanged with servers of
	// forwarded requests. It may be nil if there are no forwarded routes.
	Dialect egretflow.Dialect
	// Engines reserves and frees memory of engines and queries the progress of
	// their requests, for forwarded streams only.
	Engines egretflow.EngineClient
	// Gate, if set, is asked right before a forwarded request is sent, because the
	// server may have started to drain since the scheduler chose it. It learns from
	// the responses.
	Gate egretflow.ServerGate
}

// Relayer executes requests on backend servers. Its methods are safe for
// concurrent use.
type Relayer struct {
	cfg    Config
	client *connector.Client
	// cleanups runs the goroutines that open, check or clean up attempts and may
	// outlive their request.
	cleanups background
	// aborts ends when aborts are no longer repeated, and stopAborts ends it.
	aborts     context.Context
	stopAborts context.CancelFunc
	// crashes joins the checks of one server by confirmCrash.
	crashes singleflight.Group
	// randMu guards cfg.Rand.
	randMu sync.Mutex
}

// New returns a Relayer that sends requests over connections of cfg.Dial.
func New(cfg Config) *Relayer {
	aborts, stop := context.WithCancel(context.Background())
	if cfg.Responses == nil {
		cfg.Responses = reserver.Unbounded()
	}
	return &Relayer{cfg: cfg, client: connector.New(cfg.Dial, cfg.TLS, cfg.Responses), aborts: aborts, stopAborts: stop}
}

// Close waits until no attempt is being opened, checked, aborted or freed. Aborts that are not acknowledged within releaseDelay are
// given up. Answers that are being sent to callers are not waited for.
func (r *Relayer) Close() {
	giveUp := time.AfterFunc(releaseDelay, r.stopAborts)
	defer giveUp.Stop()
	r.cleanups.Wait()
	r.stopAborts()
}

// Sink receives the chunks of an answer in order. An error ends the request.
type Sink interface {
	// Chunk receives one chunk with the id of its event. It must not retain c.
	Chunk(id EventID, c *openai.Chunk) error
	// Flush is called before a read that may block and at the end of the answer.
	Flush() error
}

// Job is one model request, the input of Complete and Resume.
type Job struct {
	Work    *egretflow.Work
	Request *openai.Request
	Pool    *egretflow.Pool
	// Header holds headers that are added to requests to engines.
	Header map[string]string
	Sink   Sink
	// Handover is done when the answer must end after the current event, so that
	// another instance can resume it; nil means never.
	Handover context.Context
}

// Result describes the part of an answer that the caller has received.
type Result struct {
	FirstTokenAt time.Time
	LastTokenAt  time.Time
	Tokens       int
	PromptTokens int
	Retries      int
	// QueueTime is the total time that the attempts waited for their
	// assignments.
	QueueTime time.Duration
	// LongestGap is the longest time between two consecutive events.
	LongestGap time.Duration
	// Started reports whether any part of the answer was sent to the caller.
	Started bool
	// Status is the HTTP status of the server's response if that response was sent
	// to the caller; otherwise 0.
	Status int
	// NotSent reports whether a call with an idempotency key was certainly not sent to a
	// server, because it got no claim. If an earlier call with its key has the claim, the
	// answer is that of the earlier call.
	NotSent bool
}

// noteEvent updates LastTokenAt and LongestGap for an event received at now.
func (r *Result) noteEvent(now time.Time) {
	if !r.LastTokenAt.IsZero() {
		r.LongestGap = max(r.LongestGap, now.Sub(r.LastTokenAt))
	}
	r.LastTokenAt = now
}

// acquire waits for an assignment of work and adds the wait to
// result.QueueTime.
func (r *Relayer) acquire(ctx context.Context, work *egretflow.Work, result *Result) (*egretflow.Assignment, error) {
	startedAt := r.now()
	a, err := r.cfg.Scheduler.Acquire(ctx, work)
	result.QueueTime += r.now().Sub(startedAt)
	return a, err
}

func (r *Relayer) now() time.Time { return r.cfg.Clock() }

// retryAt returns the time at which the caller of w should retry after a refusal.
func (r *Relayer) retryAt(w *egretflow.Work) time.Time {
	r.randMu.Lock()
	defer r.randMu.Unlock()
	return admitter.RetryTime(w, r.now(), r.cfg.Rand)
}

// jitter returns a random duration between d/2 and d.
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
