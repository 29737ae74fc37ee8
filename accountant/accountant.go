package accountant

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/egretflow/egretflow"
)

// ErrStopped is returned by Spend after Run has ended.
var ErrStopped = errors.New("accountant stopped")

// Config holds the settings and dependencies of an Accountant.
type Config struct {
	Self egretflow.Member
	// Incarnation grows with each start of the instance.
	Incarnation uint64
	// Conn is bound to AddressOf(Self). Without it the instance asks only itself, with
	// the share of one of Instances.
	Conn net.PacketConn
	// Members lists the live registered instances, with this one if it is registered.
	Members func() []egretflow.Member
	// Instances returns the number of instances of the fleet as far as it is known. Alone
	// reports whether this one certainly is the only one.
	Instances func() int
	Alone     func() bool
	Tolerance Tolerance
	Clock     egretflow.Clock
	Recorder  egretflow.Recorder
	// Observe, if set, is called with each decision.
	Observe func(o egretflow.CallerName, cost int, granted bool)
}

// portOffset is the distance of the port of the accountant from that for other messages
// between instances. The port between them is that of the coordinator.
const portOffset = 2

// AddressOf returns the address at which the accountant of a member listens.
func AddressOf(m egretflow.Member) netip.AddrPort {
	return netip.AddrPortFrom(m.Address.Addr(), m.Address.Port()+portOffset)
}

// Accountant implements egretflow.QuotaSpender. It asks the owners of the shards, and
// owns some shards itself.
type Accountant struct {
	cfg     Config
	inputs  chan input
	stopped chan struct{}
}

var _ egretflow.QuotaSpender = (*Accountant)(nil)

// inputBuffer is the number of inputs that can wait for the goroutine of Run.
const inputBuffer = 256

// New returns an Accountant that does nothing until Run is called.
func New(cfg Config) *Accountant {
	if cfg.Tolerance.Window <= 0 {
		cfg.Tolerance.Window = DefaultWindow
	}
	if cfg.Instances == nil {
		cfg.Instances = func() int { return 1 }
	}
	return &Accountant{cfg: cfg, inputs: make(chan input, inputBuffer), stopped: make(chan struct{})}
}

// input is one of the types below, for the goroutine of Run.
type input any

type (
	spendInput    struct{ waiter *waiter }
	cancelInput   struct{ waiter *waiter }
	refundInput   struct{ charge egretflow.QuotaCharge }
	datagramInput struct {
		message *message
		from    netip.AddrPort
	}
	tablesInput struct{ organisations []egretflow.Organisation }
	statusInput struct {
		list chan<- []egretflow.QuotaStatus
	}
	leaveInput struct{}
)

// Apply takes the organisations of new tables.
func (a *Accountant) Apply(t *egretflow.Tables) { a.send(tablesInput{t.Organisations}) }

// Leave makes the other instances turn to the next owners. It is called when a shutdown
// begins.
func (a *Accountant) Leave() { a.send(leaveInput{}) }

// Status returns the state of the quotas that this instance counts for the fleet.
func (a *Accountant) Status() []egretflow.QuotaStatus {
	list := make(chan []egretflow.QuotaStatus, 1)
	if !a.send(statusInput{list}) {
		return nil
	}
	select {
	case s := <-list:
		return s
	case <-a.stopped:
		return nil
	}
}

// Spend implements egretflow.QuotaSpender. It returns a *egretflow.Refusal, the error of
// ctx or ErrStopped.
func (a *Accountant) Spend(ctx context.Context, o *egretflow.Organisation, cost int) (egretflow.QuotaCharge, error) {
	if o == nil || o.Quota == nil || cost <= 0 {
		return egretflow.QuotaCharge{}, nil
	}
	w := &waiter{organisation: o.Name, cost: min(cost, maxCost), ready: make(chan struct{}, 1)}
	if !a.send(spendInput{w}) {
		return egretflow.QuotaCharge{}, ErrStopped
	}
	select {
	case <-w.ready:
		return a.finish(w)
	case <-a.stopped:
		return egretflow.QuotaCharge{}, ErrStopped
	case <-ctx.Done():
		a.abandon(w)
		return egretflow.QuotaCharge{}, ctx.Err() //nolint:wrapcheck // callers compare it with context.Canceled
	}
}

// abandon ends the wait of w, and refunds a grant that w received in the meantime.
func (a *Accountant) abandon(w *waiter) {
	a.send(cancelInput{w})
	select {
	case <-w.ready:
		if w.result.Granted {
			a.Refund(w.charge())
		}
	default:
	}
}

func (w *waiter) charge() egretflow.QuotaCharge {
	if w.result.Left < 0 {
		return egretflow.QuotaCharge{}
	}
	return egretflow.QuotaCharge{Organisation: w.organisation, Cost: w.cost, At: w.sentAt, Epoch: w.epoch}
}

// finish returns the outcome of w.
func (a *Accountant) finish(w *waiter) (egretflow.QuotaCharge, error) {
	if a.cfg.Observe != nil {
		a.cfg.Observe(w.organisation, w.cost, w.result.Granted)
	}
	if w.result.Granted {
		return w.charge(), nil
	}
	return egretflow.QuotaCharge{}, a.refusal(w)
}

// refusal returns the refusal for a request that has no room.
func (a *Accountant) refusal(w *waiter) *egretflow.Refusal {
	r := &egretflow.Refusal{
		Status: http.StatusTooManyRequests, Reason: egretflow.RefusalQuota, RunState: egretflow.RunStateNotRun,
		Message: "the organisation has reached its quota",
		RetryAt: a.cfg.Clock().Add(time.Duration(w.result.RetryAfter) * time.Microsecond),
		Err:     &egretflow.QuotaError{Organisation: w.organisation, Cost: w.cost, Left: w.result.Left, Owner: w.owner},
	}
	if w.result.Unsure {
		r.Status, r.Reason, r.RetryAt = http.StatusServiceUnavailable, egretflow.RefusalQuotaUnknown, time.Time{}
		r.Message = "the quota of the organisation is not known at present"
	}
	return r
}

// Refund implements egretflow.QuotaSpender.
func (a *Accountant) Refund(c egretflow.QuotaCharge) {
	if c.Cost > 0 {
		a.send(refundInput{c})
	}
}

// send passes an input to the goroutine of Run and returns false if Run has ended.
func (a *Accountant) send(in input) bool {
	select {
	case a.inputs <- in:
		return true
	case <-a.stopped:
		return false
	}
}

// Run exchanges messages until ctx ends and closes the connection then. It returns an
// error only if the connection fails before.
func (a *Accountant) Run(ctx context.Context) error {
	defer close(a.stopped)
	failed := make(chan error, 1)
	if a.cfg.Conn != nil {
		// Ends the goroutine of receive.
		defer func() { _ = a.cfg.Conn.Close() }()
		go func() { failed <- a.receive(ctx) }()
	}
	t := newTask(a)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			if ctx.Err() == nil {
				return err
			}
			return nil
		case <-timer.C:
			t.tick()
		case in := <-a.inputs:
			t.handle(in)
			t.handleQueued()
		}
		t.sendDue()
		timer.Reset(t.untilNext())
	}
}

// maxQueued bounds the inputs that are handled before messages are sent.
const maxQueued = 64

// handleQueued handles the inputs that wait, so that one message carries the effects of
// all.
func (t *task) handleQueued() {
	for range maxQueued {
		select {
		case in := <-t.inputs:
			t.handle(in)
		default:
			return
		}
	}
}

// receive decodes datagrams until ctx ends or the connection fails.
func (a *Accountant) receive(ctx context.Context) error {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := a.cfg.Conn.ReadFrom(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("receive datagram: %w", err)
		}
		m, err := decode(buf[:n])
		if err != nil {
			a.record(egretflow.EventDatagramRefused, "From", from.String(), "Error", err.Error())
			continue
		}
		if address, ok := from.(*net.UDPAddr); ok && m.From != a.cfg.Self.Name {
			at := address.AddrPort()
			a.send(datagramInput{m, netip.AddrPortFrom(at.Addr().Unmap(), at.Port())})
		}
	}
}

// record writes an event with fields given as pairs of a key and a value.
func (a *Accountant) record(name egretflow.EventName, pairs ...string) {
	a.recordAt(name, a.cfg.Clock(), pairs...)
}

func (a *Accountant) recordAt(name egretflow.EventName, at time.Time, pairs ...string) {
	a.cfg.Recorder.Record(egretflow.NewEvent(name, at, a.cfg.Self.Name, pairs...))
}
