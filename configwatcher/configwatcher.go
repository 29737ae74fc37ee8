package configwatcher

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/egretflow/egretflow"
)

const (
	// newsGrace is how long a running call may still deliver a version that a peer has
	// reported, because all watchers receive a change at nearly the same time.
	newsGrace = 50 * time.Millisecond
	// checkInterval is the longest wait until this instance checks whether it must watch
	// or read.
	checkInterval = 700 * time.Millisecond
)

// Config holds the settings and dependencies of a Watcher.
type Config struct {
	Instance egretflow.InstanceName
	Source   egretflow.Directory
	Clock    egretflow.Clock
	Recorder egretflow.Recorder
	// Apply is called with each configuration that comes into force, in the order of
	// their versions.
	Apply func(c *egretflow.Configuration)
	// OnRead, if set, is called after each successful read or watch, so that the peers
	// can be sent the result.
	OnRead func()
	// Rank returns the position of this instance in the order in which instances read
	// the platform for the fleet. Watches reports whether this instance is one of those
	// that watch it. Relayed reports whether Source reads through another instance.
	Rank    func() int
	Watches func() bool
	Relayed func() bool
}

// Watcher keeps the configuration of one instance up to date.
type Watcher struct {
	cfg  Config
	wake chan struct{}

	mu    sync.Mutex
	state state
	// activity is what Run does, and abandon ends the call that it waits for; nil if it
	// does not wait for one.
	activity activity
	abandon  context.CancelFunc
}

// New returns a Watcher without a configuration.
func New(cfg Config) *Watcher {
	return &Watcher{cfg: cfg, wake: make(chan struct{}, 1), activity: activityWait}
}

// Run keeps the configuration up to date until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		do, at := w.next()
		if wait := at.Sub(w.cfg.Clock()); wait > 0 {
			w.await(ctx, min(wait, checkInterval))
			continue
		}
		if do == activityWatch {
			w.watch(ctx)
			continue
		}
		w.read(ctx)
	}
}

// next returns what is due next, and when.
func (w *Watcher) next() (activity, time.Time) {
	p := position{rank: w.cfg.Rank(), watches: w.cfg.Watches(), relayed: w.cfg.Relayed(), spread: spread(w.cfg.Instance)}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.next(p)
}

// State returns what this instance knows of the configuration.
func (w *Watcher) State() egretflow.ConfigurationState {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state.ConfigurationState
}

// Recheck makes Run check at once what is due, because the position of this instance in
// the fleet may have changed.
func (w *Watcher) Recheck() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Observe applies what a peer knows of the configuration (rules 3 and 4).
func (w *Watcher) Observe(peer egretflow.InstanceName, s egretflow.ConfigurationState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state.confirm(s.Version, s.ConfirmedAt, s.ConfirmedBy)
	if !w.state.learn(s.Version, w.cfg.Clock()) {
		return
	}
	w.record(egretflow.EventNewerVersionKnown, "Version", format(s.Version), "InForce", format(w.state.Version),
		"From", string(peer), "During", string(w.activity))
	w.Recheck()
	if w.abandon != nil {
		time.AfterFunc(newsGrace, w.abandonIfBehind(w.abandon))
	}
}

// abandonIfBehind returns a function that ends a call if the instance is still behind.
func (w *Watcher) abandonIfBehind(abandon context.CancelFunc) func() {
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.state.Behind() {
			abandon()
		}
	}
}

// begin notes a call that Run waits for. The returned context ends when the call is
// abandoned; end must be called after it.
func (w *Watcher) begin(ctx context.Context, a activity) (call context.Context, end func()) {
	call, cancel := context.WithCancel(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.activity, w.abandon = a, cancel
	return call, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.activity, w.abandon = activityWait, nil
		cancel()
	}
}

// read reads the configuration and applies it.
func (w *Watcher) read(ctx context.Context) {
	startedAt := w.cfg.Clock()
	call, end := w.begin(ctx, activityRead)
	c, err := w.cfg.Source.Configuration(call)
	abandoned := call.Err() != nil
	end()
	switch {
	case err == nil:
		w.apply(c, startedAt)
	case !abandoned:
		w.fail(err)
	}
}

// apply applies a configuration that was read.
func (w *Watcher) apply(c *egretflow.Configuration, startedAt time.Time) {
	if w.advance(c, startedAt) {
		w.cfg.Apply(c)
	}
	if w.cfg.OnRead != nil {
		w.cfg.OnRead()
	}
}

// advance notes a configuration that was read and reports whether it comes into force.
func (w *Watcher) advance(c *egretflow.Configuration, startedAt time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.cfg.Clock()
	advanced := w.state.advance(c.Version)
	if advanced {
		w.record(egretflow.EventRevisionInForce, "Version", format(c.Version), "Routes", strconv.Itoa(len(c.Routes)),
			"KnownForMs", w.state.knownFor(now), "From", string(c.ConfirmedBy))
	}
	if c.ConfirmedBy == "" {
		w.state.confirmOwn(c.Version, startedAt, w.cfg.Instance)
	} else {
		w.state.confirm(c.Version, c.ConfirmedAt, c.ConfirmedBy)
	}
	if !w.state.finishRead(now) {
		w.record(egretflow.EventOldReading, "Version", format(c.Version), "Known", format(w.state.KnownVersion), "From", string(c.ConfirmedBy))
	}
	return advanced
}

// fail notes a failed read. Only the first one in a row is recorded.
func (w *Watcher) fail(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state.fail(w.cfg.Clock()) == 1 && !errors.Is(err, egretflow.ErrNotFound) {
		w.record(egretflow.EventConfigurationUnread, "Error", err.Error())
	}
}

// watch waits for a change of the configuration.
func (w *Watcher) watch(ctx context.Context) {
	call, end := w.begin(ctx, activityWatch)
	result, err := w.cfg.Source.AwaitChange(call)
	abandoned := call.Err() != nil
	end()
	w.mu.Lock()
	confirmed := err == nil && !result.Changed
	switch {
	case confirmed:
		w.state.confirmOwn(w.state.Version, result.ConfirmedAt, w.cfg.Instance)
		w.state.finishWatch()
	case err == nil:
		w.state.readDue = true
	case !abandoned:
		w.state.failWatch(w.cfg.Clock())
	}
	w.mu.Unlock()
	if confirmed && w.cfg.OnRead != nil {
		w.cfg.OnRead()
	}
}

// await waits until d has passed, Recheck is called or ctx ends.
func (w *Watcher) await(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-w.wake:
	case <-timer.C:
	}
}

// record writes an event with fields given as pairs of a key and a value.
func (w *Watcher) record(name egretflow.EventName, pairs ...string) {
	w.cfg.Recorder.Record(egretflow.NewEvent(name, w.cfg.Clock(), w.cfg.Instance, pairs...))
}

func format(version uint64) string { return strconv.FormatUint(version, 10) }
