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

// instance is a member of the fleet. It has at most one running process; killed
// or stopped processes are replaced by new ones.
type instance struct {
	cluster *cluster
	index   int
	host    netip.Addr

	mu          sync.Mutex
	incarnation uint64
	process     *process
	processes   []*process
	// connectionFaultAt is when a fault last affected the connections of the
	// host; it may be in the future.
	connectionFaultAt time.Time
}

// process is one run of an instance, from its start until it is killed or shut
// down.
type process struct {
	assembled *assembler.Instance
	stop      context.CancelFunc
	listeners []net.Listener
	ended     chan struct{}
	err       error
	// stopping is closed when a graceful shutdown begins.
	stopping chan struct{}

	mu     sync.Mutex
	killed bool
	// stoppingAt is when a graceful shutdown began; zero if none has.
	stoppingAt time.Time
	// revision is the last one that the process reported.
	revision egretflow.Revision
}

func (i *instance) name() egretflow.InstanceName {
	return egretflow.InstanceName(fmt.Sprintf("entry-%d", i.index))
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

func (i *instance) recordConnectionFault() { i.recordConnectionFaultUntil(time.Now()) }

func (i *instance) recordConnectionFaultUntil(t time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if t.After(i.connectionFaultAt) {
		i.connectionFaultAt = t
	}
}

// noConnectionFaultSince reports whether no fault has affected the connections
// of the host at or after t.
func (i *instance) noConnectionFaultSince(t time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.connectionFaultAt.Before(t)
}

// start starts a process unless one is running.
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
	i.cluster.list.Set(lister.Entry{
		Name: string(i.name()), Address: cfg.Self.Address, FailureDomain: cfg.Self.FailureDomain,
		Region: region, State: egretflow.MemberStateLive, Kind: lister.KindInstance,
	})
	return nil
}

func (i *instance) config(p *process) (assembler.Config, error) {
	listeners := map[uint16]net.Listener{}
	for _, port := range []uint16{callerPort, peerPort, operatorPort} {
		ln, err := i.cluster.network.Listen(netip.AddrPortFrom(i.host, port))
		if err != nil {
			return assembler.Config{}, fmt.Errorf("listen: %w", err)
		}
		listeners[port] = ln
		p.listeners = append(p.listeners, ln)
	}
	planted := &i.cluster.opts.PlantedFaults
	callers := listeners[callerPort]
	if planted.Callers != nil {
		callers = planted.Callers(callers, p.stopping)
	}
	dial := p.dialer(i.cluster.network.Dialer(i.host))
	if planted.Dial != nil {
		dial = planted.Dial(dial)
	}
	client, err := i.cluster.storeClient(dial)
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
			FailureDomain: failureDomains[i.index%len(failureDomains)], State: egretflow.MemberStateLive,
		},
		Incarnation: i.incarnation, Clock: time.Now,
		Rand: rand.New(rand.NewPCG(i.cluster.opts.Seed, uint64(i.index)<<32|i.incarnation)), Dial: dial, Logger: i.cluster.opts.Logger,
		Callers: authenticator.StaticKeys(map[string]string{callerKey: "clerk"}), CallerListener: callers,
		Limits:    frontend.Limits{DrainTimeout: drainTimeout},
		Operators: authenticator.StaticKeys(map[string]string{operatorKey: "operator"}), OperatorListener: listeners[operatorPort],
		Peers:   &assembler.PeerSettings{Listener: listeners[peerPort], Key: func() string { return peerKey }, Verifier: verifier},
		ListURL: "http://" + listAddress.String() + "/targets", Store: client,
		WrapScheduler: planted.Scheduler, WrapClaimer: planted.Claimer,
	}, nil
}

// dialer returns a function that opens connections until the process is killed.
func (p *process) dialer(dial dialFunc) dialFunc {
	refused := &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if p.isKilled() {
			return nil, refused
		}
		c, err := dial(ctx, network, address)
		if err == nil && p.isKilled() {
			_ = c.Close()
			return nil, refused
		}
		return c, err
	}
}

func (p *process) isKilled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed
}

// kill ends the process without a graceful shutdown and resets its connections.
func (i *instance) kill() {
	i.mu.Lock()
	p := i.process
	i.process = nil
	i.mu.Unlock()
	if p == nil {
		return
	}
	i.reportCheckerViolations(p)
	p.mu.Lock()
	p.killed = true
	p.mu.Unlock()
	i.recordConnectionFault()
	for _, ln := range p.listeners {
		_ = ln.Close()
	}
	i.cluster.network.Cut(i.host)
	i.cluster.network.Restore(i.host)
	p.stop()
}

// shutDown stops the process gracefully and returns when it has ended.
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
		i.reportCheckerViolations(p)
	}
}

// beginShutdown marks the process as shutting down. It returns false if it was
// marked before.
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

func (p *process) shutdownStartedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stoppingAt
}

// reportCheckerViolations adds the violations that the Checker of a process has
// counted to the report.
func (i *instance) reportCheckerViolations(p *process) {
	for _, invariant := range allInvariants {
		if invariant == egretflow.InvariantNoCutOnShutdown && i.cluster.hasSilentConnection() {
			// A request on a silent connection may take longer than the shutdown:
			// its caller or server is unreachable, and a service call cannot be
			// handed over.
			continue
		}
		if count := p.assembled.Checker.Count(invariant); count > 0 {
			i.cluster.report.violate(invariant, "%s counted %d violations", i.name(), count)
		}
	}
}

// waitEnded waits until the goroutines of all processes of the instance have
// ended.
func (i *instance) waitEnded() {
	for _, p := range i.processes {
		<-p.ended
	}
}

// status reads the status of the instance from its operator listener.
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
