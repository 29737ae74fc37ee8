package coordinator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/egretflow/egretflow"
)

// ErrStopped is returned by Acquire and Replace after Run has ended.
var ErrStopped = errors.New("coordinator stopped")

// Config holds the settings and dependencies of a Coordinator.
type Config struct {
	Self egretflow.Member
	// Incarnation grows with each start of the instance.
	Incarnation uint64
	// Conn is bound to AddressOf(Self).
	Conn net.PacketConn
	// Scheduler decides for the shards that this instance coordinates, and for
	// service pools. Its tables are those of SplitPools.
	Scheduler egretflow.AdoptingScheduler
	// Members lists the live registered instances, with this one if it is
	// registered.
	Members  func() []egretflow.Member
	Clock    egretflow.Clock
	Rand     *rand.Rand
	Recorder egretflow.Recorder
}

// AddressOf returns the address at which the coordinator of a member listens: the
// port after the one for other messages between instances.
func AddressOf(m egretflow.Member) netip.AddrPort {
	return netip.AddrPortFrom(m.Address.Addr(), m.Address.Port()+1)
}

// Coordinator implements egretflow.Scheduler. It passes requests to the coordinators
// of their shards, and serves as the coordinator of some shards itself.
type Coordinator struct {
	cfg     Config
	inputs  chan input
	stopped chan struct{}

	mu sync.Mutex
	// shards holds the shards of the model pools.
	shards map[egretflow.PoolName][]shard
	// attempts maps the attempts that a coordinator has assigned to their shards.
	// Other attempts belong to Config.Scheduler.
	attempts map[egretflow.AttemptID]egretflow.PoolName
}

var _ egretflow.Scheduler = (*Coordinator)(nil)

// inputBuffer is the number of inputs that can wait for the goroutine of Run.
const inputBuffer = 256

// New returns a Coordinator that does nothing until Run is called.
func New(cfg Config) *Coordinator {
	return &Coordinator{
		cfg: cfg, inputs: make(chan input, inputBuffer), stopped: make(chan struct{}),
		shards: map[egretflow.PoolName][]shard{}, attempts: map[egretflow.AttemptID]egretflow.PoolName{},
	}
}

// input is one of the types below, for the goroutine of Run.
type input any

type (
	acquireInput struct{ waiter *waiter }
	cancelInput  struct{ waiter *waiter }
	observeInput struct {
		pool        egretflow.PoolName
		observation egretflow.Observation
	}
	releaseInput struct {
		pool    egretflow.PoolName
		release egretflow.Release
	}
	datagramInput struct {
		message *message
		from    netip.AddrPort
		reads   layout
	}
	scheduledInput struct{ outcome scheduled }
	leaveInput     struct{}
)

// Apply takes the pools of new tables.
func (c *Coordinator) Apply(t *egretflow.Tables) {
	shards := map[egretflow.PoolName][]shard{}
	for n := range t.Pools {
		if p := &t.Pools[n]; p.Kind == egretflow.PoolKindModel {
			shards[p.Name] = shardsOf(p)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shards = shards
}

// Leave makes this instance send the requests of other instances to the next
// coordinators. It is called when a shutdown begins.
func (c *Coordinator) Leave() { c.send(leaveInput{}) }

// Coordinated returns the number of shards of the pool that has the given shard, and
// whether this instance coordinates that shard.
func (c *Coordinator) Coordinated(name egretflow.PoolName) (shards int, ok bool) {
	ranked := rank(name, c.cfg.Members())
	if len(ranked) == 0 || ranked[0].Name != c.cfg.Self.Name {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range c.shards {
		if slices.ContainsFunc(list, func(s shard) bool { return s.pool == name }) {
			return len(list), true
		}
	}
	return 0, false
}

// shardsOf returns the names of the shards of a pool.
func (c *Coordinator) shardsOf(pool egretflow.PoolName) []egretflow.PoolName {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []egretflow.PoolName
	for _, s := range c.shards[pool] {
		names = append(names, s.pool)
	}
	return names
}

// Shards returns the names under which Config.Scheduler knows the parts of a pool that
// this instance coordinates.
func (c *Coordinator) Shards(pool egretflow.PoolName) []egretflow.PoolName {
	members := c.cfg.Members()
	var own []egretflow.PoolName
	for _, name := range c.shardsOf(pool) {
		if ranked := rank(name, members); len(ranked) > 0 && ranked[0].Name == c.cfg.Self.Name {
			own = append(own, name)
		}
	}
	return own
}

// Acquire implements egretflow.Scheduler. It returns the errors of Scheduler.Acquire,
// or ErrStopped.
func (c *Coordinator) Acquire(ctx context.Context, work *egretflow.Work) (*egretflow.Assignment, error) {
	pool, ok := c.choose(work)
	if !ok {
		return c.cfg.Scheduler.Acquire(ctx, work) //nolint:wrapcheck // the same interface
	}
	for {
		a, err := c.await(ctx, newWaiter(pool, work, ""))
		if err != nil {
			return nil, err
		}
		if c.cfg.Clock().Before(a.GrantExpiresAt) {
			return a, nil
		}
		c.Release(egretflow.Release{Attempt: a.Attempt})
	}
}

// choose returns the shard for a request, or false for a hedge, for a service call and
// for a pool that is not in the tables.
func (c *Coordinator) choose(work *egretflow.Work) (egretflow.PoolName, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	shards := c.shards[work.Pool]
	if len(shards) == 0 || work.Hedge {
		return "", false
	}
	return chooseShard(shards, c.cfg.Rand), true
}

// Replace implements egretflow.Scheduler.
func (c *Coordinator) Replace(ctx context.Context, a *egretflow.Assignment) (*egretflow.Assignment, error) {
	pool, ok := c.shardOfAttempt(a.Attempt)
	if !ok {
		return c.cfg.Scheduler.Replace(ctx, a) //nolint:wrapcheck // the same interface
	}
	return c.await(ctx, newWaiter(pool, a.Work, a.Attempt))
}

// shardOfAttempt returns the shard of an attempt that a coordinator has assigned.
func (c *Coordinator) shardOfAttempt(a egretflow.AttemptID) (egretflow.PoolName, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	pool, ok := c.attempts[a]
	return pool, ok
}

// Observe implements egretflow.Scheduler.
func (c *Coordinator) Observe(o egretflow.Observation) {
	if pool, ok := c.shardOfAttempt(o.Attempt); ok {
		c.send(observeInput{pool, o})
		return
	}
	c.cfg.Scheduler.Observe(o)
}

// Release implements egretflow.Scheduler.
func (c *Coordinator) Release(r egretflow.Release) {
	pool, ok := c.shardOfAttempt(r.Attempt)
	if !ok {
		c.cfg.Scheduler.Release(r)
		return
	}
	if !r.PrefillOnly {
		c.mu.Lock()
		delete(c.attempts, r.Attempt)
		c.mu.Unlock()
	}
	c.send(releaseInput{pool, r})
}

// send passes an input to the goroutine of Run and returns false if Run has ended.
func (c *Coordinator) send(in input) bool {
	select {
	case c.inputs <- in:
		return true
	case <-c.stopped:
		return false
	}
}

// await sends w and waits for its result. If ctx ends first, it cancels w and
// releases an assignment that w received in the meantime.
func (c *Coordinator) await(ctx context.Context, w *waiter) (*egretflow.Assignment, error) {
	if err := ctx.Err(); err != nil {
		return nil, err //nolint:wrapcheck // callers compare it with context.Canceled
	}
	if !c.send(acquireInput{w}) {
		return nil, ErrStopped
	}
	select {
	case <-w.ready:
		return w.assignment, w.err
	case <-c.stopped:
		return nil, ErrStopped
	case <-ctx.Done():
	}
	if !c.send(cancelInput{w}) {
		return nil, ctx.Err() //nolint:wrapcheck // as above
	}
	select {
	case <-w.ready:
		if w.assignment != nil && w.replaces == "" {
			c.Release(egretflow.Release{Attempt: w.assignment.Attempt})
		}
	case <-c.stopped:
	}
	return nil, ctx.Err() //nolint:wrapcheck // as above
}

// Run exchanges messages until ctx ends and closes the connection then. It returns
// an error only if the connection fails before.
func (c *Coordinator) Run(ctx context.Context) error {
	defer close(c.stopped)
	// Ends the goroutine of receive.
	defer func() { _ = c.cfg.Conn.Close() }()
	t := newTask(ctx, c)
	failed := make(chan error, 1)
	go func() { failed <- c.receive(ctx) }()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			t.end()
			return nil
		case err := <-failed:
			if ctx.Err() == nil {
				return err
			}
			return nil
		case <-timer.C:
			t.tick()
		case in := <-c.inputs:
			t.handle(in)
			t.handleQueued()
		}
		t.sendDue()
		timer.Reset(t.untilNext())
	}
}

// maxQueued bounds the inputs that are handled before messages are sent.
const maxQueued = 64

// handleQueued handles the inputs that wait, so that one message carries the effects
// of all.
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
func (c *Coordinator) receive(ctx context.Context) error {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := c.cfg.Conn.ReadFrom(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("receive datagram: %w", err)
		}
		m, reads, err := decode(buf[:n])
		if err != nil {
			c.record(egretflow.EventDatagramRefused, "From", from.String(), "Error", err.Error())
			continue
		}
		if address, ok := from.(*net.UDPAddr); ok && m.From != c.cfg.Self.Name {
			at := address.AddrPort()
			c.send(datagramInput{m, netip.AddrPortFrom(at.Addr().Unmap(), at.Port()), reads})
		}
	}
}

// record writes an event with fields given as pairs of a key and a value.
func (c *Coordinator) record(name egretflow.EventName, pairs ...string) {
	c.cfg.Recorder.Record(egretflow.NewEvent(name, c.cfg.Clock(), c.cfg.Self.Name, pairs...))
}
