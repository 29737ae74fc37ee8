package tracker

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/egretflow/egretflow"
)

const (
	// AnswerLifetime is how long an answer proves that a member is reachable.
	AnswerLifetime = 1500 * time.Millisecond
	// ListBytesPerSecond bounds the average number of bytes per second that one
	// instance reads of the list.
	ListBytesPerSecond = 16 << 10
	// DefaultInterval is the default of Config.Interval. A leaving server must get
	// no new work after 3 s (9.2).
	DefaultInterval = time.Second

	listTimeout   = 2 * time.Second
	checkInterval = 100 * time.Millisecond
	messageBuffer = 256
)

// Config holds the settings and dependencies of a Tracker.
type Config struct {
	// Self is this instance; its state is taken to be Live.
	Self egretflow.Member
	// URL of the list in the format of Prometheus HTTP service discovery.
	URL    string
	Client *http.Client
	// Interval is the time between two reads of a small list; 0 means
	// DefaultInterval.
	Interval time.Duration
	Clock    egretflow.Clock
	Rand     *rand.Rand
	Recorder egretflow.Recorder
	// Unavailable receives the names of the servers that must get no new work,
	// whenever they change.
	Unavailable interface {
		SetUnavailable(servers []egretflow.ServerName)
	}
}

// Answer holds what a response of a peer says about the peer.
type Answer struct {
	From egretflow.InstanceName
	// Incarnation is higher after each restart of the peer.
	Incarnation uint64
	Leaving     bool
	// At is when this instance received the response.
	At time.Time
}

// View is the membership at one time. It must not be changed.
type View struct {
	// Version grows with every change except those of HeardAt.
	Version uint64
	// Members holds all listed members in the order of their names, including this
	// instance. HeardAt may lag by checkInterval.
	Members []egretflow.Member
	// ListRead reports whether a list was read since the start. Until then Members
	// holds only this instance, whatever the fleet is.
	ListRead bool
	// Reachable holds the names of the members that are reachable.
	Reachable map[egretflow.InstanceName]bool
}

// Member returns the listed member with the given name.
func (v *View) Member(name egretflow.InstanceName) (egretflow.Member, bool) {
	for _, m := range v.Members {
		if m.Name == name {
			return m, true
		}
	}
	return egretflow.Member{}, false
}

// Tracker keeps the membership as one instance sees it. Its methods are safe for
// concurrent use.
type Tracker struct {
	cfg      Config
	messages chan message
	stopped  chan struct{}
	view     atomic.Pointer[View]
}

// message is an input of Run: one of the types below.
type message any

type (
	answerMessage struct{ answer Answer }
	loadMessage   struct{ report egretflow.LoadReport }
	listMessage   struct{ result listResult }
)

// New returns a tracker whose view has only this instance until Run is called.
func New(cfg Config) *Tracker {
	if cfg.Interval == 0 {
		cfg.Interval = DefaultInterval
	}
	t := &Tracker{cfg: cfg, messages: make(chan message, messageBuffer), stopped: make(chan struct{})}
	t.view.Store(newState(cfg).view(1))
	return t
}

// View returns the current membership without blocking.
func (t *Tracker) View() *View { return t.view.Load() }

// ObserveAnswer applies a response of a peer. It may block until Run takes it,
// and does nothing after Run has ended.
func (t *Tracker) ObserveAnswer(a Answer) { t.send(answerMessage{a}) }

// ObserveLoad applies a load report of a backend server; it blocks like
// ObserveAnswer.
func (t *Tracker) ObserveLoad(r egretflow.LoadReport) { t.send(loadMessage{r}) }

func (t *Tracker) send(m message) {
	select {
	case t.messages <- m:
	case <-t.stopped:
	}
}

// Run reads the list and updates the membership until ctx ends. It must be called
// once.
func (t *Tracker) Run(ctx context.Context) error {
	defer close(t.stopped)
	s := newState(t.cfg)
	lists := make(chan listResult)
	readerStopped := make(chan struct{})
	go func() {
		defer close(readerStopped)
		newListReader(t.cfg).run(ctx, lists)
	}()
	defer func() { <-readerStopped }()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case result := <-lists:
			s.handle(listMessage{result}, t.cfg.Clock())
		case m := <-t.messages:
			s.handle(m, t.cfg.Clock())
		case <-ticker.C:
			s.expireMembers(t.cfg.Clock())
			s.refreshView = true
		}
		t.publish(s)
	}
}

// publish stores a new view if s has changed, and a new one of the same version
// after each check, for the changes of HeardAt.
func (t *Tracker) publish(s *state) {
	old := t.view.Load()
	switch {
	case s.changed:
		t.view.Store(s.view(old.Version + 1))
	case s.refreshView:
		t.view.Store(s.view(old.Version))
	}
	s.changed, s.refreshView = false, false
}
