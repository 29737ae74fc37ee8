package assembler

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/checker"
	"github.com/egretflow/egretflow/connector"
	"github.com/egretflow/egretflow/explainer"
	"github.com/egretflow/egretflow/frontend"
	"github.com/egretflow/egretflow/gossiper"
	"github.com/egretflow/egretflow/limiter"
	"github.com/egretflow/egretflow/picker"
	"github.com/egretflow/egretflow/rebalancer"
	"github.com/egretflow/egretflow/recorder"
	"github.com/egretflow/egretflow/registrar"
	"github.com/egretflow/egretflow/relayer"
	"github.com/egretflow/egretflow/scheduler"
	"github.com/egretflow/egretflow/supervisor"
)

const (
	readyPath   = "/ready"
	metricsPath = "/metrics"
	// probeTimeout bounds one request of the balancer or of a metrics reader.
	probeTimeout = 2 * time.Second
)

// ForwardingConfig is what an instance is built from that forwards the requests
// of routes by host and path, on a platform that registers backend servers.
type ForwardingConfig struct {
	Self      egretflow.Member
	Clock     egretflow.Clock
	Rand      *rand.Rand
	Dial      connector.DialFunc
	Explainer *explainer.Explainer
	Metrics   *recorder.Metrics
	Policy    picker.Policy

	Directory egretflow.Directory
	Dialect   egretflow.Dialect
	Engines   egretflow.Engines

	// Store and PeerConn, if set, let the instance tell its peers what it uses.
	Store       egretflow.Store
	PeerConn    net.PacketConn
	Incarnation uint64
	// Retries is the budget for extra attempts at each pool of the whole fleet.
	Retries limiter.Shared
	// LeaseTTL is the lifetime of the lease for orders to engines.
	LeaseTTL time.Duration

	CallerListener  net.Listener
	ReadyListener   net.Listener
	MetricsListener net.Listener
	Limits          frontend.Limits
}

// Forwarding is an assembled instance that forwards requests.
type Forwarding struct {
	cfg       ForwardingConfig
	registrar *registrar.Registrar
	scheduler *scheduler.Scheduler
	relayer   *relayer.Relayer
	frontend  *frontend.Frontend
	gossiper  *gossiper.Gossiper
	// rebalancer is nil without peers and a store.
	rebalancer *rebalancer.Rebalancer
}

// NewForwarding builds an instance that does nothing until its tasks run.
func NewForwarding(cfg ForwardingConfig) (*Forwarding, error) {
	name, metrics := cfg.Self.Name, cfg.Metrics
	check := checker.New(name, cfg.Clock, cfg.Explainer, metrics.InvariantViolated)
	f := &Forwarding{cfg: cfg}
	directory := registrar.Config{Instance: name, Directory: cfg.Directory, Clock: cfg.Clock, Recorder: cfg.Explainer}
	if cfg.PeerConn != nil {
		directory.Rank = func() int { return f.gossiper.Rank() }
		directory.Told = func() { f.gossiper.Tell() }
	}
	f.registrar = registrar.New(directory)
	f.scheduler = scheduler.New(scheduler.Config{
		Instance: name, Clock: cfg.Clock, Rand: cfg.newRand(), Recorder: cfg.Explainer, Checker: check,
		Sharing: picker.SharingPeers, Policy: cfg.Policy,
		SharedRetries: &scheduler.SharedRetries{Shared: cfg.Retries, Instances: f.instances}, Lost: f.tellLoss,
	})
	f.relayer = relayer.New(relayer.Config{
		Instance: name, Scheduler: f.scheduler, Recorder: cfg.Explainer, Checker: check, Clock: cfg.Clock,
		Rand: cfg.newRand(), Dial: cfg.Dial, Wasted: metrics.WastedPrefill, AttemptFailed: metrics.AttemptFailed,
		Dialect: cfg.Dialect, Engines: cfg.Engines, TakesWork: f.registrar.TakesWork,
	})
	f.frontend = frontend.New(frontend.Config{
		Instance: name, Relayer: f.relayer, Tables: f.registrar.Tables, Recorder: cfg.Explainer, Checker: check,
		Metrics: metrics, Clock: cfg.Clock, Rand: cfg.newRand(), Limits: cfg.Limits, Dialect: cfg.Dialect,
	})
	if err := metrics.Watch(cfg.Clock, f.state); err != nil {
		return nil, wrapPart("metrics", err)
	}
	if cfg.PeerConn != nil {
		f.gossiper = gossiper.New(gossiper.Config{
			Self: cfg.Self, Incarnation: cfg.Incarnation, Conn: cfg.PeerConn, Store: cfg.Store, State: f.scheduler,
			Clock: cfg.Clock, Recorder: cfg.Explainer,
			Confirmation: f.registrar.Confirmation, Hear: f.registrar.Hear,
		})
		f.addRebalancer()
	}
	return f, nil
}

// state is what the metrics tell of the instance.
func (f *Forwarding) state() recorder.State {
	return stateOf(f.scheduler, f.registrar, f.cfg.Explainer)
}

// stateOf reads the state of the parts for a scrape.
func stateOf(s *scheduler.Scheduler, tables egretflow.TablesHolder, x *explainer.Explainer) recorder.State {
	inForce := tables.Current()
	state := recorder.State{Pools: s.Status(), ConfirmedAt: inForce.ConfirmedAt, DroppedLines: map[string]uint64{}}
	if inForce.Tables != nil {
		state.Revision = inForce.Tables.Revision
	}
	for level, n := range x.Dropped() {
		state.DroppedLines[level.String()] = n
	}
	return state
}

// tellLoss lets the peers know soon which server was lost.
func (f *Forwarding) tellLoss() {
	if f.gossiper != nil {
		f.gossiper.Tell()
	}
}

// fewestInstances is assumed until the peers are known.
const fewestInstances = 8

// instances counts the instances that share the retry budgets.
func (f *Forwarding) instances() int {
	if f.gossiper == nil {
		return 1
	}
	return max(fewestInstances, f.gossiper.Peers()+1)
}

func (f *Forwarding) addRebalancer() {
	f.rebalancer = rebalancer.New(rebalancer.Config{
		Instance: f.cfg.Self.Name, Tables: f.registrar, Store: f.cfg.Store, Engines: f.cfg.Engines, Members: f.gossiper.Members,
		Rates: func(pool egretflow.PoolName) (rebalancer.Rates, bool) {
			rates, ok := f.scheduler.PoolRates(pool)
			return rebalancer.Rates(rates), ok
		},
		Changing: f.scheduler.SetChanging, LeaseTTL: f.cfg.LeaseTTL, Clock: f.cfg.Clock, Recorder: f.cfg.Explainer,
	})
}

func (c *ForwardingConfig) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(c.Rand.Uint64(), c.Rand.Uint64()))
}

// Tasks returns the tasks of the instance in their start order.
func (f *Forwarding) Tasks() []supervisor.Task {
	tasks := []supervisor.Task{
		{Name: "explainer", Run: f.cfg.Explainer.Run},
		{Name: "scheduler", Run: f.scheduler.Run},
		{Name: "registrar", Run: f.followPlatform},
	}
	if f.gossiper != nil {
		tasks = append(tasks, supervisor.Task{Name: "gossiper", Run: f.gossiper.Run}, supervisor.Task{Name: "rebalancer", Run: f.rebalancer.Run})
	}
	return append(tasks, []supervisor.Task{
		{Name: "relayer", Run: f.closeRelayer},
		{Name: "metrics", Run: func(ctx context.Context) error { return serve(ctx, f.cfg.MetricsListener, f.metricsHandler()) }},
		{Name: "ready", Run: func(ctx context.Context) error { return serve(ctx, f.cfg.ReadyListener, f.readyHandler()) }},
		{Name: "callers", Run: func(ctx context.Context) error { return f.frontend.Serve(ctx, f.cfg.CallerListener) }},
	}...)
}

func (f *Forwarding) followPlatform(ctx context.Context) error {
	f.registrar.Subscribe(f.scheduler.Apply)
	return f.registrar.Run(ctx)
}

func (f *Forwarding) closeRelayer(ctx context.Context) error {
	<-ctx.Done()
	f.relayer.Close()
	return nil
}

func (f *Forwarding) readyHandler() http.Handler {
	e := echo.New()
	e.GET(readyPath, func(c echo.Context) error {
		if !f.frontend.Ready() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	return e
}

func (f *Forwarding) metricsHandler() http.Handler {
	e := echo.New()
	e.GET(metricsPath, echo.WrapHandler(f.cfg.Metrics.Handler()))
	return e
}

// serve answers short requests until ctx ends. A nil listener serves nothing.
func serve(ctx context.Context, ln net.Listener, h http.Handler) error {
	if ln == nil {
		<-ctx.Done()
		return nil
	}
	server := &http.Server{Handler: h, ReadTimeout: probeTimeout, WriteTimeout: probeTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", ln.Addr(), err)
	}
	return nil
}
