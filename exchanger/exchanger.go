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
	// demandRenewInterval is the age at which an unchanged demand is sent again. It
	// makes such demands part of every second heartbeat.
	demandRenewInterval = 750 * time.Millisecond
	// messageBuffer is the capacity of the queue to the goroutine of Run.
	messageBuffer = 256
)

// Hints receives the table revisions that peers report, so that the tables are pulled
// from a peer with a higher one.
type Hints interface {
	Hint(from egretflow.Member, rev egretflow.Revision)
}

// Membership is the part of a tracker that an Exchanger uses.
type Membership interface {
	View() *tracker.View
	ObserveAnswer(a tracker.Answer)
}

// Budget limits the bytes that are sent to peers. Without budget, early heartbeats and
// all contents that can wait are left out.
type Budget interface {
	// AllowsEarly reports whether n more bytes may be written now.
	AllowsEarly(n int) bool
}

// Config holds the settings and dependencies of an Exchanger.
type Config struct {
	Self egretflow.Member
	// Incarnation grows with each start of the instance.
	Incarnation uint64
	Clock       egretflow.Clock
	// Rand is used only by the goroutine of Run.
	Rand     *rand.Rand
	Recorder egretflow.Recorder
	Peers    egretflow.PeerClient
	State    egretflow.ExchangeState
	Tables   egretflow.TablesSource
	Members  Membership
	Hints    Hints
	Budget   Budget
	// OnPlan, if set, is called with each new plan of the slice. It must not
	// block.
	OnPlan func(slicer.Plan)
}

// OwnedServer is a server that this instance owns.
type OwnedServer struct {
	slicer.ServerShare
	// NeedsLoad is true if slots cannot be granted until a load report arrives,
	// so the poller requests one sooner.
	NeedsLoad bool
}

// ErrStopped is returned by calls that arrive or wait when Run ends.
var ErrStopped = errors.New("exchanger stopped")

// Exchanger runs the exchange of one instance.
type Exchanger struct {
	cfg      Config
	messages chan message
	stopped  chan struct{}
	owned    atomic.Pointer[[]OwnedServer]
}

// message is a message to the goroutine of Run, of one of the types below.
type message interface{ isMessage() }

type (
	// requestMessage asks for the response to a peer's request.
	requestMessage struct {
		request *egretflow.ExchangeRequest
		reply   chan *egretflow.ExchangeResponse
	}
	// resultMessage is the response or error of a request that this instance sent.
	resultMessage struct {
		to       egretflow.InstanceName
		request  *egretflow.ExchangeRequest
		response *egretflow.ExchangeResponse
		err      error
	}
	loadMessage  struct{ report egretflow.LoadReport }
	leaveMessage struct{ done chan struct{} }
)

func (requestMessage) isMessage() {}
func (resultMessage) isMessage()  {}
func (loadMessage) isMessage()    {}
func (leaveMessage) isMessage()   {}

// New returns an Exchanger that sends and answers nothing until Run is called.
func New(cfg Config) *Exchanger {
	e := &Exchanger{cfg: cfg, messages: make(chan message, messageBuffer), stopped: make(chan struct{})}
	e.owned.Store(&[]OwnedServer{})
	return e
}

// Run exchanges messages with the peers until ctx ends, and then returns nil. It must
// be called once.
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

// HandleExchange answers the request of a peer. It fails with the error of ctx, or with
// egretflow.ErrUnavailable and ErrStopped when Run ends.
func (e *Exchanger) HandleExchange(ctx context.Context, r *egretflow.ExchangeRequest) (*egretflow.ExchangeResponse, error) {
	m := requestMessage{request: r, reply: make(chan *egretflow.ExchangeResponse, 1)}
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

// Observe passes load reports to the allocator.Owner. It ignores other observations.
func (e *Exchanger) Observe(o egretflow.Observation) {
	if o.Kind == egretflow.ObservationLoad && o.Load != nil {
		_ = e.send(context.Background(), loadMessage{*o.Load})
	}
}

// Owned lists the servers that this instance owns. The caller must not change the
// result.
func (e *Exchanger) Owned() []OwnedServer { return *e.owned.Load() }

// Leave gives up the grants of this instance. It returns once every reachable peer of
// the slice has acknowledged that, or with ErrStopped or the error of ctx.
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

// send passes a message to the goroutine of Run.
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
