package scheduler

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/picker"
	"github.com/pkg/errors"
)

// Config holds the settings of a Scheduler.
type Config struct {
	Instance egretflow.InstanceName
	Clock    egretflow.Clock
	// Rand is used only by the goroutine of Run.
	Rand     *rand.Rand
	Recorder egretflow.Recorder
	Checker  egretflow.Checker
	// Sharing says how servers are shared with other instances (5.3); empty means
	// that they are not.
	Sharing picker.Sharing
	// Policy selects how servers are chosen; empty means picker.PolicyJoint.
	// The other policies are baselines for comparison in load tests.
	Policy picker.Policy
	// SharedRetryBudget, if set, replaces the retry budgets of the routes by
	// one budget per pool.
	SharedRetryBudget *SharedRetryBudget
	// OnServerLost, if set, is called when an attempt of this instance proves
	// that a server is lost and this instance has not reported the loss to
	// peers yet, and when a request is charged with it. The goroutine of Run calls
	// it, so it must not block.
	OnServerLost func()
	// OnVerdict, if set, is called when this instance has made or changed a verdict that
	// must outlast it (CrashRecord). The goroutine of Run calls it, so it must not block.
	OnVerdict func()
	// MaxStreams is the number of open streams that one caller may have on a
	// route without a limit of its own; 0 means DefaultMaxStreams.
	MaxStreams int
}

// DefaultMaxStreams is the value of Config.MaxStreams if none is set.
const DefaultMaxStreams = 1000

func (c *Config) maxStreams() int {
	if c.MaxStreams == 0 {
		return DefaultMaxStreams
	}
	return c.MaxStreams
}

// messageBuffer is the number of messages that can wait for the goroutine of Run
// before senders block.
const messageBuffer = 256

// ErrStopped is returned by Acquire and Replace after Run has ended.
var ErrStopped = errors.New("scheduler stopped")

// Scheduler implements egretflow.Scheduler and egretflow.ExchangeState.
type Scheduler struct {
	cfg      Config
	messages chan message
	stopped  chan struct{}
}

var (
	_ egretflow.Scheduler     = (*Scheduler)(nil)
	_ egretflow.ExchangeState = (*Scheduler)(nil)
	_ egretflow.CrashMemory   = (*Scheduler)(nil)
)

// New returns a Scheduler that does nothing until Run is called.
func New(cfg Config) *Scheduler {
	return &Scheduler{
		cfg:      cfg,
		messages: make(chan message, messageBuffer),
		stopped:  make(chan struct{}),
	}
}

// Run processes messages and periodic work until ctx ends. It must be called
// exactly once. Requests that still wait when it ends get ErrStopped. The
// returned error is always nil.
func (s *Scheduler) Run(ctx context.Context) error {
	defer close(s.stopped)
	newTask(s.cfg).run(ctx, s.messages)
	return nil
}

// send queues m for the goroutine of Run and returns false if Run has ended. If
// Run ends soon after, m may stay unread although send returned true.
func (s *Scheduler) send(m message) bool {
	select {
	case s.messages <- m:
		return true
	case <-s.stopped:
		return false
	}
}

// Apply replaces the tables. Running attempts keep their servers; requests that
// wait for a pool that the new tables do not list are refused.
func (s *Scheduler) Apply(t *egretflow.Tables) { s.send(tablesMessage{tables: t}) }

// Acquire waits until work is assigned to servers. An assignment whose grant has
// expired by then is released, and the request waits again. The error is a
// *egretflow.Refusal, the error of ctx or ErrStopped.
func (s *Scheduler) Acquire(ctx context.Context, work *egretflow.Work) (*egretflow.Assignment, error) {
	for {
		a, err := s.await(ctx, newWaiter(work, ""))
		if err != nil {
			return nil, err
		}
		if a.GrantExpiresAt.IsZero() || s.cfg.Clock().Before(a.GrantExpiresAt) {
			return a, nil
		}
		s.Release(egretflow.Release{Attempt: a.Attempt})
	}
}

// Replace waits for another prefill server for a and keeps its decode slots. The
// returned assignment has the attempt id of a. The error is a
// *egretflow.Refusal, egretflow.ErrNotFound if the attempt is not running, the
// error of ctx or ErrStopped.
func (s *Scheduler) Replace(ctx context.Context, a *egretflow.Assignment) (*egretflow.Assignment, error) {
	return s.await(ctx, newWaiter(a.Work, a.Attempt))
}

// await sends w and waits for its result. If ctx ends first, it cancels w and
// releases an assignment that w received in the meantime.
func (s *Scheduler) await(ctx context.Context, w *waiter) (*egretflow.Assignment, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if !s.send(acquireMessage{waiter: w}) {
		return nil, ErrStopped
	}
	select {
	case <-w.ready:
		return w.assignment, w.err
	case <-s.stopped:
		return nil, ErrStopped
	case <-ctx.Done():
	}
	if !s.send(cancelMessage{waiter: w}) {
		return nil, ctx.Err()
	}
	select {
	case <-w.ready:
		if w.assignment != nil && w.replaces == "" {
			s.Release(egretflow.Release{Attempt: w.assignment.Attempt})
		}
	case <-s.stopped:
	}
	return nil, ctx.Err()
}

// Observe updates the estimates, the slots and the usability of a server from an
// observation by an attempt, in a load report or in cache events.
func (s *Scheduler) Observe(o egretflow.Observation) { s.send(observeMessage{observation: o}) }

// Release ends an attempt and frees its slots, or frees only its prefill slot.
func (s *Scheduler) Release(r egretflow.Release) { s.send(releaseMessage{release: r}) }

// Demands implements egretflow.ExchangeState.
func (s *Scheduler) Demands(now time.Time) []egretflow.Demand {
	m := demandsMessage{now: now, reply: make(chan []egretflow.Demand, 1)}
	return ask(s, m, m.reply)
}

// ApplyGrants implements egretflow.ExchangeState.
func (s *Scheduler) ApplyGrants(grants []egretflow.Grant) { s.send(grantsMessage{grants: grants}) }

// PrefillLoad implements egretflow.ExchangeState.
func (s *Scheduler) PrefillLoad(now time.Time) egretflow.PrefillLoad {
	m := prefillLoadMessage{now: now, reply: make(chan egretflow.PrefillLoad, 1)}
	return ask(s, m, m.reply)
}

// ApplyPrefillLoad implements egretflow.ExchangeState.
func (s *Scheduler) ApplyPrefillLoad(from egretflow.InstanceName, load egretflow.PrefillLoad) {
	s.send(peerLoadMessage{from: from, load: load})
}

// SetUnavailable implements egretflow.ExchangeState. It replaces the servers of
// the previous call.
func (s *Scheduler) SetUnavailable(servers []egretflow.ServerName) {
	s.send(unavailableMessage{servers: servers})
}

// CrashReports implements egretflow.ExchangeState.
func (s *Scheduler) CrashReports(now time.Time) []egretflow.CrashReport {
	m := crashesMessage{now: now, reply: make(chan []egretflow.CrashReport, 1)}
	return ask(s, m, m.reply)
}

// MergeCrashReports implements egretflow.ExchangeState.
func (s *Scheduler) MergeCrashReports(reports []egretflow.CrashReport) {
	s.send(mergeCrashesMessage{reports: reports})
}

// CrashRecord implements egretflow.CrashMemory.
func (s *Scheduler) CrashRecord(now time.Time) egretflow.CrashRecord {
	m := crashRecordMessage{now: now, reply: make(chan egretflow.CrashRecord, 1)}
	return ask(s, m, m.reply)
}

// RestoreCrashes implements egretflow.CrashMemory.
func (s *Scheduler) RestoreCrashes(r egretflow.CrashRecord) {
	s.send(restoreCrashesMessage{record: r})
}

// ask sends m and waits for the answer on reply. It returns the zero value if Run
// has ended.
func ask[T any](s *Scheduler, m message, reply chan T) T {
	var zero T
	if !s.send(m) {
		return zero
	}
	select {
	case v := <-reply:
		return v
	case <-s.stopped:
		return zero
	}
}
