package assembler

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/accountant"
	"github.com/egretflow/egretflow/checker"
	"github.com/egretflow/egretflow/connector"
	"github.com/egretflow/egretflow/coordinator"
	"github.com/egretflow/egretflow/crashkeeper"
	"github.com/egretflow/egretflow/explainer"
	"github.com/egretflow/egretflow/frontend"
	"github.com/egretflow/egretflow/gossiper"
	"github.com/egretflow/egretflow/limiter"
	"github.com/egretflow/egretflow/picker"
	"github.com/egretflow/egretflow/rebalancer"
	"github.com/egretflow/egretflow/recorder"
	"github.com/egretflow/egretflow/registrar"
	"github.com/egretflow/egretflow/relayer"
	"github.com/egretflow/egretflow/reserver"
	"github.com/egretflow/egretflow/scheduler"
	"github.com/egretflow/egretflow/supervisor"
)

const (
	readyPath   = "/ready"
	metricsPath = "/metrics"
	// probeTimeout bounds one readiness probe of a load balancer or one scrape of
	// the metrics.
	probeTimeout = 2 * time.Second
)

// ForwardingConfig configures a Forwarding.
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
	Engines   egretflow.EngineClient
	// Responses bounds what responses hold in memory together.
	Responses *reserver.Reserver

	// PeerConn, PeerListener, CoordinatorConn and AccountantConn, if set, connect the
	// instance with the others; this needs Store. They listen at the address of Self, the
	// last two at coordinator.AddressOf and accountant.AddressOf.
	Store egretflow.Store
	// Eras knows the latest era of Store.
	Eras            egretflow.EraFollower
	PeerConn        net.PacketConn
	PeerListener    net.Listener
	CoordinatorConn net.PacketConn
	AccountantConn  net.PacketConn
	Incarnation     uint64
	// Bootstrap reports whether the whole fleet starts for the first time.
	Bootstrap bool
	// RetryBudget is the budget for extra attempts at each pool, shared by all
	// instances.
	RetryBudget limiter.SharedBudgetConfig
	// QuotaTolerance is how far the use of quotas may exceed them.
	QuotaTolerance accountant.Tolerance
	// LeaseTTL is the lifetime of the lease that an instance holds while it orders
	// engines to change their roles.
	LeaseTTL time.Duration

	CallerListener  net.Listener
	ReadyListener   net.Listener
	MetricsListener net.Listener
	Limits          frontend.Limits
}

// Forwarding is an instance, built by NewForwarding, that forwards requests by
// host and path on a platform where backend servers register themselves.
type Forwarding struct {
	cfg        ForwardingConfig
	registrar  *registrar.Registrar
	scheduler  *scheduler.Scheduler
	relayer    *relayer.Relayer
	frontend   *frontend.Frontend
	accountant *accountant.Accountant
	// crashes is nil without ForwardingConfig.Store.
	crashes *crashkeeper.Keeper
	// awaitCrashes waits for the verdicts on crashes at the first call.
	awaitCrashes func()
	// gossiper, coordinator and rebalancer are nil without
	// ForwardingConfig.PeerConn.
	gossiper    *gossiper.Gossiper
	coordinator *coordinator.Coordinator
	rebalancer  *rebalancer.Rebalancer
}

// NewForwarding builds an instance that does nothing until its tasks run.
func NewForwarding(cfg ForwardingConfig) (*Forwarding, error) {
	name, metrics := cfg.Self.Name, cfg.Metrics
	check := checker.New(name, cfg.Clock, cfg.Explainer, metrics.InvariantViolated)
	f := &Forwarding{cfg: cfg}
	f.scheduler = scheduler.New(scheduler.Config{
		Instance: name, Clock: cfg.Clock, Rand: cfg.newRand(), Recorder: cfg.Explainer, Checker: check,
		Sharing: picker.SharingCoordinated, Policy: cfg.Policy,
		SharedRetryBudget: &scheduler.SharedRetryBudget{SharedBudgetConfig: cfg.RetryBudget, Share: f.retryShare}, OnServerLost: f.reportServerLoss,
		OnVerdict: f.keepVerdict,
	})
	f.awaitCrashes = sync.OnceFunc(f.awaitVerdicts)
	var requests egretflow.Scheduler = f.scheduler
	registrarCfg := registrar.Config{Instance: name, Directory: cfg.Directory, Eras: cfg.Eras, Clock: cfg.Clock, Recorder: cfg.Explainer}
	if cfg.PeerConn != nil {
		f.connectPeers(&registrarCfg)
		requests = f.coordinator
	}
	f.registrar = registrar.New(registrarCfg)
	f.accountant = accountant.New(f.accountantConfig())
	f.relayer = relayer.New(relayer.Config{
		Instance: name, Scheduler: requests, Recorder: cfg.Explainer, Checker: check, Clock: cfg.Clock,
		Rand: cfg.newRand(), Dial: cfg.Dial, PrefillWasted: metrics.WastedPrefill, AttemptFailed: metrics.AttemptFailed,
		Dialect: cfg.Dialect, Engines: cfg.Engines, Gate: f.registrar, Responses: cfg.Responses,
	})
	f.frontend = frontend.New(frontend.Config{
		Instance: name, Relayer: f.relayer, Tables: f.registrar.Tables, Configuration: f.registrar.Configuration, Recorder: cfg.Explainer, Checker: check,
		Quotas: f.accountant, Metrics: metrics, Clock: cfg.Clock, Rand: cfg.newRand(), Limits: cfg.Limits, Dialect: cfg.Dialect,
	})
	if err := metrics.ObserveState(cfg.Clock, f.metricsState); err != nil {
		return nil, createError("metrics", err)
	}
	if f.gossiper != nil {
		f.gossiper.Follow(f.registrar)
		f.addRebalancer()
	}
	if cfg.Store != nil {
		f.crashes = crashkeeper.New(crashkeeper.Config{
			Instance: name, Store: cfg.Store, Memory: f.scheduler, Clock: cfg.Clock, Rand: cfg.newRand(), Recorder: cfg.Explainer,
		})
	}
	return f, nil
}

// connectPeers builds the components that exchange messages with other instances and
// makes the registrar read through them.
func (f *Forwarding) connectPeers(registrarCfg *registrar.Config) {
	cfg := &f.cfg
	f.gossiper = gossiper.New(gossiper.Config{
		Self: cfg.Self, Incarnation: cfg.Incarnation, Conn: cfg.PeerConn, Listener: cfg.PeerListener, Dial: cfg.Dial,
		Store: cfg.Store, Source: cfg.Directory, State: f.scheduler, Bootstrap: cfg.Bootstrap, Clock: cfg.Clock,
		Rand: cfg.newRand(), Recorder: cfg.Explainer,
	})
	f.coordinator = coordinator.New(coordinator.Config{
		Self: cfg.Self, Incarnation: cfg.Incarnation, Conn: cfg.CoordinatorConn, Scheduler: f.scheduler,
		Members: f.gossiper.Members, Clock: cfg.Clock, Rand: cfg.newRand(), Recorder: cfg.Explainer,
	})
	registrarCfg.Directory = f.gossiper.Directory()
	registrarCfg.Rank, registrarCfg.Watches, registrarCfg.Relayed = f.gossiper.Rank, f.gossiper.Watches, f.gossiper.Relayed
	registrarCfg.OnRead = f.gossiper.Wake
}

// accountantConfig returns the configuration of the accountant, which counts for this
// instance alone if it has no peers.
func (f *Forwarding) accountantConfig() accountant.Config {
	cfg := &f.cfg
	a := accountant.Config{
		Self: cfg.Self, Incarnation: cfg.Incarnation, Conn: cfg.AccountantConn, Tolerance: cfg.QuotaTolerance,
		Clock: cfg.Clock, Recorder: cfg.Explainer, Observe: cfg.Metrics.QuotaAsked,
	}
	if f.gossiper != nil {
		a.Members, a.Instances, a.Alone = f.gossiper.Members, f.gossiper.Instances, f.gossiper.Alone
	}
	return a
}

// metricsState returns the state that the metrics report.
func (f *Forwarding) metricsState() recorder.State {
	state := readMetricsState(f.scheduler, f.registrar, f.cfg.Explainer)
	state.Configuration = f.registrar.Configuration()
	state.Quotas = f.accountant.Status()
	return state
}

// readMetricsState reads the state of the components for one scrape.
func readMetricsState(s *scheduler.Scheduler, tables egretflow.TablesSource, x *explainer.Explainer) recorder.State {
	inForce := tables.Current()
	state := recorder.State{Pools: s.Status(), ConfirmedAt: inForce.ConfirmedAt, DroppedLines: map[string]uint64{}}
	if inForce.Tables != nil {
		state.Revision = inForce.Tables.Revision
	}
	for level, n := range x.DroppedLines() {
		state.DroppedLines[level.String()] = n
	}
	return state
}

// reportServerLoss makes the gossiper notify the peers soon that a server was lost.
func (f *Forwarding) reportServerLoss() {
	if f.gossiper != nil {
		f.gossiper.Wake()
	}
}

// keepVerdict makes the verdicts on crashes outlast this instance.
func (f *Forwarding) keepVerdict() {
	if f.crashes != nil {
		f.crashes.Wake()
	}
}

// maxVerdictsWait is how long an instance that has started waits for the verdicts on
// crashes. The store answers sooner unless it is slow or away.
const maxVerdictsWait = 200 * time.Millisecond

// awaitVerdicts waits until the verdicts that outlasted earlier instances are known.
func (f *Forwarding) awaitVerdicts() {
	if f.crashes == nil {
		return
	}
	timer := time.NewTimer(maxVerdictsWait)
	defer timer.Stop()
	select {
	case <-f.crashes.Loaded():
	case <-timer.C:
	}
}

const (
	// minInstances is the number of instances that are assumed to share the retry
	// budgets while fewer are known.
	minInstances = 8
	// coordinatedShare is the share of the slack of a model pool's retry budget that
	// its coordinators spend. All instances together have the rest, for the time in
	// which a coordinator does not answer.
	coordinatedShare = 0.8
)

// retryShare returns the share of the slack of a pool's retry budget that this
// instance may spend. pool is a name of coordinator.SplitPools.
func (f *Forwarding) retryShare(pool egretflow.PoolName, kind egretflow.PoolKind) float64 {
	if f.gossiper == nil {
		return 1
	}
	each := 1 / float64(max(minInstances, f.gossiper.Instances()))
	if kind == egretflow.PoolKindService {
		return each
	}
	if shards, ok := f.coordinator.Coordinated(pool); ok {
		return coordinatedShare / float64(shards)
	}
	return (1 - coordinatedShare) * each
}

// addRebalancer needs the gossiper.
func (f *Forwarding) addRebalancer() {
	f.rebalancer = rebalancer.New(rebalancer.Config{
		Instance: f.cfg.Self.Name, Tables: f.registrar, Store: f.cfg.Store, Eras: f.cfg.Eras, Engines: f.cfg.Engines,
		Rates:        f.poolRates,
		OnRoleChange: f.scheduler.SetRoleChanging, LeaseTTL: f.cfg.LeaseTTL, Clock: f.cfg.Clock, Recorder: f.cfg.Explainer,
	})
}

// poolRates returns the rates of a model pool, measured on one of the shards that this
// instance coordinates. It returns false if there is none.
func (f *Forwarding) poolRates(pool egretflow.PoolName) (rebalancer.Rates, bool) {
	for _, shard := range f.coordinator.Shards(pool) {
		if rates, ok := f.scheduler.PoolRates(shard); ok {
			return rebalancer.Rates(rates), true
		}
	}
	return rebalancer.Rates{}, false
}

func (c *ForwardingConfig) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(c.Rand.Uint64(), c.Rand.Uint64()))
}

// Tasks returns the tasks of the instance in their start order.
func (f *Forwarding) Tasks() []supervisor.Task {
	tasks := []supervisor.Task{
		{Name: "explainer", Run: f.cfg.Explainer.Run},
		{Name: "scheduler", Run: f.scheduler.Run},
		{Name: "accountant", Run: f.accountant.Run},
	}
	if f.crashes != nil {
		tasks = append(tasks, supervisor.Task{Name: "crashes", Run: f.crashes.Run})
	}
	tasks = append(tasks, supervisor.Task{Name: "registrar", Run: f.followPlatform})
	if f.gossiper != nil {
		tasks = append(tasks, []supervisor.Task{
			{Name: "gossiper", Run: f.gossiper.Run},
			{Name: "coordinator", Run: f.coordinator.Run},
			{Name: "rebalancer", Run: f.rebalancer.Run},
		}...)
	}
	return append(tasks, []supervisor.Task{
		{Name: "relayer", Run: f.closeRelayer},
		{Name: "metrics", Run: func(ctx context.Context) error { return serve(ctx, f.cfg.MetricsListener, f.metricsHandler()) }},
		{Name: "ready", Run: func(ctx context.Context) error { return serve(ctx, f.cfg.ReadyListener, f.readyHandler()) }},
		{Name: "callers", Run: f.serveCallers},
	}...)
}

// serveCallers serves callers until ctx ends and they are drained. The other instances
// are notified at the begin of the drain.
func (f *Forwarding) serveCallers(ctx context.Context) error {
	if f.gossiper != nil {
		defer context.AfterFunc(ctx, f.leavePeers)()
	}
	return f.frontend.Serve(ctx, f.cfg.CallerListener)
}

func (f *Forwarding) leavePeers() {
	f.gossiper.Leave()
	f.coordinator.Leave()
	f.accountant.Leave()
}

func (f *Forwarding) followPlatform(ctx context.Context) error {
	f.registrar.Subscribe(f.applyTables)
	return f.registrar.Run(ctx)
}

func (f *Forwarding) applyTables(t *egretflow.Tables) {
	f.awaitCrashes()
	f.accountant.Apply(t)
	if f.coordinator == nil {
		f.scheduler.Apply(t)
		return
	}
	f.coordinator.Apply(t)
	f.scheduler.Apply(coordinator.SplitPools(t))
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

// serve handles short requests on ln until ctx ends. If ln is nil, it only waits for
// ctx to end.
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
