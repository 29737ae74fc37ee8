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
	// ListBytesPerSecond bounds the average rate at which the list is read.
	ListBytesPerSecond = 16 << 10
	// DefaultInterval is the time between two reads of a small list. A leaving
	// server must get no new work after 3 s (9.2).
	DefaultInterval = time.Second

	listTimeout   = 2 * time.Second
	checkInterval = 100 * time.Millisecond
	messageBuffer = 256
)

// Config is what a tracker needs.
type Config struct {
	Self egretflow.Member
	// URL of the list in the format of Prometheus HTTP service discovery.
	URL      string
	Client   *http.Client
	Interval time.Duration
	Clock    egretflow.Clock
	Rand     *rand.Rand
	Recorder egretflow.Recorder
	// State is told which servers are unavailable.
	State interface {
		SetUnavailable(servers []egretflow.ServerName)
	}
}

// Answer is what a response of a peer says of it.
type Answer struct {
	From        egretflow.InstanceName
	Incarnation uint64
	Leaving     bool
	At          time.Time
}

// View is the membership at one time. It must not be changed.
type View struct {
	// Version grows with every change except those of HeardAt.
	Version uint64
	// Members lists all listed members by name, with the own instance. HeardAt
	// may lag by the interval of the checks, 100 ms.
	Members []egretflow.Member
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

// Tracker owns the membership of one instance.
type Tracker struct {
	cfg      Config
	messages chan message
	stopped  chan struct{}
	view     atomic.Pointer[View]
}

// message is one of the types below.
type message any

type (
	answerMessage struct{ answer Answer }
	loadMessage   struct{ report egretflow.LoadReport }
	listMessage   struct{ result listResult }
)

// New returns a tracker that knows only its own instance until Run is called.
func New(cfg Config) *Tracker {
	if cfg.Interval == 0 {
		cfg.Interval = DefaultInterval
	}
	t := &Tracker{cfg: cfg, messages: make(chan message, messageBuffer), stopped: make(chan struct{})}
	t.view.Store(newState(cfg).view(1))
	return t
}

// View returns the current membership.
func (t *Tracker) View() *View { return t.view.Load() }

// Answered enters a response of a peer.
func (t *Tracker) Answered(a Answer) { t.send(answerMessage{a}) }

// ObserveLoad enters a load report of a backend server.
func (t *Tracker) ObserveLoad(r egretflow.LoadReport) { t.send(loadMessage{r}) }

func (t *Tracker) send(m message) {
	select {
	case t.messages <- m:
	case <-t.stopped:
	}
}

// Run owns the membership until ctx ends. It must be called once.
func (t *Tracker) Run(ctx context.Context) error {
	defer close(t.stopped)
	s := newState(t.cfg)
	lists := make(chan listResult)
	readerStopped := make(chan struct{})
	go func() {
		defer close(readerStopped)
		newLister(t.cfg).run(ctx, lists)
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
			s.check(t.cfg.Clock())
			s.heard = true
		}
		t.publish(s)
	}
}

// publish stores a new view if something changed.
func (t *Tracker) publish(s *state) {
	old := t.view.Load()
	switch {
	case s.changed:
		t.view.Store(s.view(old.Version + 1))
	case s.heard:
		t.view.Store(s.view(old.Version))
	}
	s.changed, s.heard = false, false
}
