package exchanger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/slicer"
	"github.com/egretflow/egretflow/tracker"
	"github.com/pkg/errors"
)

const (
	// HeartbeatInterval is the longest time between two messages to a peer.
	HeartbeatInterval = 500 * time.Millisecond
	// EarlyInterval is the shortest time between two messages to a peer.
	EarlyInterval = 50 * time.Millisecond

	// callTimeout is shorter than the heartbeat interval, so that a lost
	// message does not delay the next one.
	callTimeout = 400 * time.Millisecond
	// renewAfter makes unchanged demands part of every second heartbeat.
	renewAfter    = 750 * time.Millisecond
	messageBuffer = 256
)

// Hints takes the revisions of peers, so that a higher one is pulled.
type Hints interface {
	Hint(from egretflow.Member, rev egretflow.Revision)
}

// Membership is the part of a tracker that the exchange uses.
type Membership interface {
	View() *tracker.View
	Answered(a tracker.Answer)
}

// Budget limits messages before the regular interval.
type Budget interface {
	// Allows reports whether n more bytes may be written now.
	Allows(n int) bool
}

// Config is what an exchanger needs.
type Config struct {
	Self egretflow.Member
	// Incarnation grows with each start of the instance.
	Incarnation uint64
	Clock       egretflow.Clock
	// Rand is used only by the goroutine of Run.
	Rand     *rand.Rand
	Recorder egretflow.Recorder
	Peers    egretflow.Peers
	State    egretflow.ExchangeState
	Tables   egretflow.TablesHolder
	Members  Membership
	Hints    Hints
	Budget   Budget
	// OnPlan, if set, is called with each new plan of the slice. It must not
	// block.
	OnPlan func(slicer.Plan)
}

// OwnedServer is a server that the own instance owns.
type OwnedServer struct {
	slicer.Share
	// Urgent says that grants wait for a load report.
	Urgent bool
}

// ErrStopped is returned after Run has ended.
var ErrStopped = errors.New("exchanger stopped")

// Exchanger runs the exchange of one instance.
type Exchanger struct {
	cfg      Config
	messages chan message
	stopped  chan struct{}
	owned    atomic.Pointer[[]OwnedServer]
}

// message is one of the types below.
type message interface{ isMessage() }

type (
	// answerMessage asks for the response to a peer's request.
	answerMessage struct {
		request *egretflow.ExchangeRequest
		reply   chan *egretflow.ExchangeResponse
	}
	// resultMessage is the outcome of an own exchange.
	resultMessage struct {
		to       egretflow.InstanceName
		request  *egretflow.ExchangeRequest
		response *egretflow.ExchangeResponse
		err      error
	}
	loadMessage  struct{ report egretflow.LoadReport }
	leaveMessage struct{ done chan struct{} }
)

func (answerMessage) isMessage() {}
func (resultMessage) isMessage() {}
func (loadMessage) isMessage()   {}
func (leaveMessage) isMessage()  {}

// New returns an exchanger that does nothing until Run is called.
func New(cfg Config) *Exchanger {
	e := &Exchanger{cfg: cfg, messages: make(chan message, messageBuffer), stopped: make(chan struct{})}
	e.owned.Store(&[]OwnedServer{})
	return e
}

// Run owns the exchange until ctx ends. It must be called once.
func (e *Exchanger) Run(ctx context.Context) error {
	defer close(e.stopped)
	t := newTask(e.cfg, e.messages)
	defer t.calls.Wait()
	ticker := time.NewTicker(EarlyInterval)
	defer ticker.Stop()
	for {
		t.tick(ctx)
		owned := t.owned
		e.owned.Store(&owned)
		if err := t.receive(ctx, ticker.C); err != nil {
			return nil
		}
	}
}

// HandleExchange answers a peer.
func (e *Exchanger) HandleExchange(ctx context.Context, r *egretflow.ExchangeRequest) (*egretflow.ExchangeResponse, error) {
	m := answerMessage{request: r, reply: make(chan *egretflow.ExchangeResponse, 1)}
	if err := e.send(ctx, m); err != nil {
		return nil, fmt.Errorf("answer exchange: %w", err)
	}
	select {
	case response := <-m.reply:
		return response, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("answer exchange: %w", ctx.Err())
	case <-e.stopped:
		return nil, fmt.Errorf("answer exchange: %w: %w", egretflow.ErrUnavailable, ErrStopped)
	}
}

// Observe takes load reports; other observations are ignored.
func (e *Exchanger) Observe(o egretflow.Observation) {
	if o.Kind == egretflow.ObservationLoad && o.Load != nil {
		_ = e.send(context.Background(), loadMessage{*o.Load})
	}
}

// Owned lists the servers that the own instance owns.
func (e *Exchanger) Owned() []OwnedServer { return *e.owned.Load() }

// Leave gives up the grants and returns once every reachable peer has been
// told, or with the error of ctx.
func (e *Exchanger) Leave(ctx context.Context) error {
	m := leaveMessage{done: make(chan struct{})}
	if err := e.send(ctx, m); err != nil {
		return fmt.Errorf("leave slice: %w", err)
	}
	select {
	case <-m.done:
		return nil
	case <-e.stopped:
		return fmt.Errorf("leave slice: %w", ErrStopped)
	case <-ctx.Done():
		return fmt.Errorf("leave slice: %w", ctx.Err())
	}
}

func (e *Exchanger) send(ctx context.Context, m message) error {
	select {
	case e.messages <- m:
		return nil
	case <-e.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}
