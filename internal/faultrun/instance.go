package faultrun

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/assembler"
	"github.com/egretflow/egretflow/authenticator"
	"github.com/egretflow/egretflow/frontend"
	"github.com/egretflow/egretflow/internal/stub/lister"
	"github.com/egretflow/egretflow/messenger"
	"github.com/egretflow/egretflow/supervisor"
	"github.com/pkg/errors"
)

const (
	callerKey    = "caller-key"
	operatorKey  = "operator-key"
	peerKey      = "peer-key"
	drainTimeout = 4 * time.Second
)

// instance is a place in the fleet; its processes come and go.
type instance struct {
	w    *world
	n    int
	host netip.Addr

	mu          sync.Mutex
	incarnation uint64
	process     *process
	processes   []*process
	// disturbedAt is when a fault last hit the connections of the host.
	disturbedAt time.Time
}

// process is one run of an instance.
type process struct {
	assembled *assembler.Instance
	stop      context.CancelFunc
	listeners []net.Listener
	ended     chan struct{}
	err       error
	// stopping is closed when a graceful shutdown begins.
	stopping chan struct{}

	mu   sync.Mutex
	dead bool
	// stoppingAt is when a graceful shutdown began.
	stoppingAt time.Time
	// revision is the highest that the process has reported.
	revision egretflow.Revision
}

func (i *instance) name() egretflow.InstanceName {
	return egretflow.InstanceName(fmt.Sprintf("entry-%d", i.n))
}

func (i *instance) current() *process {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.process
}

func (i *instance) ready() bool {
	p := i.current()
	return p != nil && p.assembled.Ready()
}

func (i *instance) disturb() { i.disturbUntil(time.Now()) }

func (i *instance) disturbUntil(t time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if t.After(i.disturbedAt) {
		i.disturbedAt = t
	}
}

// undisturbedSince reports whether no fault hit the connections of the host
// after a time.
func (i *instance) undisturbedSince(t time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.disturbedAt.Before(t)
}

// start starts a process unless one runs.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process != nil {
		return nil
	}
	i.incarnation++
	p := &process{ended: make(chan struct{}), stopping: make(chan struct{})}
	cfg, err := i.config(p)
	if err != nil {
		return err
	}
	if p.assembled, err = assembler.New(cfg); err != nil {
		return fmt.Errorf("assemble %s: %w", i.name(), err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	go func() {
		defer close(p.ended)
		p.err = supervisor.Run(ctx, p.assembled.Tasks())
	}()
	i.process = p
	i.processes = append(i.processes, p)
	i.w.list.Set(lister.Entry{
		Name: string(i.name()), Address: cfg.Self.Address, FailureDomain: cfg.Self.FailureDomain,
		Region: region, State: egretflow.MemberStateLive, Kind: lister.KindInstance,
	})
	return nil
}

func (i *instance) config(p *process) (assembler.Config, error) {
	listeners := map[uint16]net.Listener{}
	for _, port := range []uint16{callerPort, peerPort, operatorPort} {
		ln, err := i.w.network.Listen(netip.AddrPortFrom(i.host, port))
		if err != nil {
			return assembler.Config{}, fmt.Errorf("listen: %w", err)
		}
		listeners[port] = ln
		p.listeners = append(p.listeners, ln)
	}
	planted := &i.w.opts.Planted
	callers := listeners[callerPort]
	if planted.Callers != nil {
		callers = planted.Callers(callers, p.stopping)
	}
	dial := p.dialer(i.w.network.Dialer(i.host))
	if planted.Dial != nil {
		dial = planted.Dial(dial)
	}
	client, err := i.w.storeClient(dial)
	if err != nil {
		return assembler.Config{}, err
	}
	verifier, err := messenger.NewKeyVerifier([]string{authenticator.Hash(peerKey)})
	if err != nil {
		return assembler.Config{}, fmt.Errorf("create verifier: %w", err)
	}
	return assembler.Config{
		Self: egretflow.Member{
			Name: i.name(), Address: netip.AddrPortFrom(i.host, peerPort), Region: region,
			FailureDomain: failureDomains[i.n%len(failureDomains)], State: egretflow.MemberStateLive,
		},
		Incarnation: i.incarnation, Clock: time.Now,
		Rand: rand.New(rand.NewPCG(i.w.opts.Seed, uint64(i.n)<<32|i.incarnation)), Dial: dial, Logger: i.w.opts.Logger,
		Callers: authenticator.Static(map[string]string{callerKey: "clerk"}), CallerListener: callers,
		Limits:    frontend.Limits{DrainTimeout: drainTimeout},
		Operators: authenticator.Static(map[string]string{operatorKey: "operator"}), OperatorListener: listeners[operatorPort],
		Peers:   &assembler.PeerSettings{Listener: listeners[peerPort], Key: func() string { return peerKey }, Verifier: verifier},
		ListURL: "http://" + listAddress.String() + "/targets", Store: client,
		WrapScheduler: planted.Scheduler, WrapClaimer: planted.Claimer,
	}, nil
}

// dialer opens connections until the process is dead.
func (p *process) dialer(dial dialFunc) dialFunc {
	refused := &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if p.isDead() {
			return nil, refused
		}
		c, err := dial(ctx, network, address)
		if err == nil && p.isDead() {
			_ = c.Close()
			return nil, refused
		}
		return c, err
	}
}

func (p *process) isDead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead
}

// kill ends the process without any goodbye.
func (i *instance) kill() {
	i.mu.Lock()
	p := i.process
	i.process = nil
	i.mu.Unlock()
	if p == nil {
		return
	}
	i.noteChecks(p)
	p.mu.Lock()
	p.dead = true
	p.mu.Unlock()
	i.disturb()
	for _, ln := range p.listeners {
		_ = ln.Close()
	}
	i.w.network.Cut(i.host)
	i.w.network.Restore(i.host)
	p.stop()
}

// shutDown stops the process gracefully and returns after its end.
func (i *instance) shutDown() {
	p := i.current()
	if p == nil {
		return
	}
	if !p.beginShutdown() {
		return
	}
	p.stop()
	<-p.ended
	for _, ln := range p.listeners {
		_ = ln.Close()
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process == p {
		i.process = nil
		i.noteChecks(p)
	}
}

// beginShutdown returns false if a shutdown has begun before.
func (p *process) beginShutdown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stoppingAt.IsZero() {
		return false
	}
	p.stoppingAt = time.Now()
	close(p.stopping)
	return true
}

func (p *process) shutdownBegan() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stoppingAt
}

// noteChecks adds what the Checker of a process has counted while it lived.
func (i *instance) noteChecks(p *process) {
	for _, invariant := range allInvariants {
		if invariant == egretflow.InvariantNoCutOnShutdown && i.w.silenced() {
			// A request on a silent connection may outlast the shutdown: its caller
			// or server is out of reach, and a service call cannot be handed over.
			continue
		}
		if count := p.assembled.Checker.Count(invariant); count > 0 {
			i.w.report.violate(invariant, "%s counted %d violations", i.name(), count)
		}
	}
}

// awaitEnd waits for the goroutines of all processes.
func (i *instance) awaitEnd() {
	for _, p := range i.processes {
		<-p.ended
	}
}

// status asks the operator listener for the state of the instance.
func (i *instance) status(ctx context.Context, client *http.Client) (*egretflow.InstanceStatus, error) {
	url := fmt.Sprintf("http://%s%s", netip.AddrPortFrom(i.host, operatorPort), egretflow.StatusPath)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	resp, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("get status: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.New(resp.Status)
	}
	var status egretflow.InstanceStatus
	if err := json.NewDecoder(resp.Body).Decode(&status); err != nil {
		return nil, fmt.Errorf("decode status: %w", err)
	}
	return &status, nil
}
