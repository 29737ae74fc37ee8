package assembler

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/checker"
	"github.com/egretflow/egretflow/distributor"
	"github.com/egretflow/egretflow/exchanger"
	"github.com/egretflow/egretflow/explainer"
	"github.com/egretflow/egretflow/frontend"
	"github.com/egretflow/egretflow/messenger"
	"github.com/egretflow/egretflow/poller"
	"github.com/egretflow/egretflow/recorder"
	"github.com/egretflow/egretflow/relayer"
	"github.com/egretflow/egretflow/scheduler"
	"github.com/egretflow/egretflow/supervisor"
	"github.com/egretflow/egretflow/tracker"
)

// Instance is an assembled entry instance.
type Instance struct {
	cfg       Config
	Explainer *explainer.Explainer
	Metrics   *recorder.Metrics
	Checker   *checker.Checker
	Scheduler *scheduler.Scheduler

	relayer  *relayer.Relayer
	frontend *frontend.Frontend
	operator *frontend.Operator
	tables   egretflow.TablesHolder
	// tablesFollowed is closed once the scheduler has the tables of a single
	// instance; a request that came earlier would find no pool.
	tablesFollowed chan struct{}
	// fleet is nil for a single instance.
	fleet *fleet
	// storeTables follows the store of a single instance; nil otherwise.
	storeTables *distributor.Distributor
}

// New builds an instance that does nothing until its tasks run.
func New(cfg Config) (*Instance, error) {
	if err := cfg.check(); err != nil {
		return nil, fmt.Errorf("check settings: %w", err)
	}
	i := &Instance{cfg: cfg, Explainer: cfg.Explainer, tablesFollowed: make(chan struct{})}
	if i.Explainer == nil {
		i.Explainer = explainer.New(explainer.DefaultEvents, cfg.Logger)
	}
	var err error
	if i.Metrics, err = recorder.New(); err != nil {
		return nil, wrapPart("metrics", err)
	}
	i.Checker = checker.New(cfg.Self.Name, cfg.Clock, i.Explainer, i.Metrics.InvariantViolated)
	i.Scheduler = scheduler.New(scheduler.Config{
		Instance: cfg.Self.Name, Clock: cfg.Clock, Rand: cfg.newRand(), Recorder: i.Explainer, Checker: i.Checker,
		Sharing: cfg.sharing(), Policy: cfg.Policy,
	})
	if cfg.Peers != nil {
		if i.fleet, err = newFleet(i); err != nil {
			return nil, wrapPart("fleet", err)
		}
		i.tables = i.fleet.distributor
	} else if cfg.Store != nil {
		i.addStoreTables()
	} else {
		i.tables = newStaticTables(cfg.Tables, cfg.Clock())
	}
	i.addRequestPath()
	if err := i.Metrics.Watch(cfg.Clock, i.state); err != nil {
		return nil, wrapPart("metrics", err)
	}
	return i, nil
}

// state is what the metrics tell of the instance.
func (i *Instance) state() recorder.State { return stateOf(i.Scheduler, i.tables, i.Explainer) }

// addStoreTables makes a single instance follow the tables in its store. It has
// none until the store holds some and can be reached.
func (i *Instance) addStoreTables() {
	cfg := &i.cfg
	i.storeTables = distributor.New(distributor.Config{
		Self: cfg.Self, Store: cfg.Store, Clock: cfg.Clock, Rand: cfg.newRand(), Recorder: i.Explainer, Checker: i.Checker,
	})
	i.tables = i.storeTables
}

func (i *Instance) addRequestPath() {
	cfg := &i.cfg
	i.relayer = relayer.New(relayer.Config{
		Instance: cfg.Self.Name, Scheduler: i.tap(), Recorder: i.Explainer, Checker: i.Checker, Clock: cfg.Clock,
		Rand: cfg.newRand(), Dial: cfg.Dial, Wasted: i.Metrics.WastedPrefill, AttemptFailed: i.Metrics.AttemptFailed, TLS: cfg.ServerTLS, Claimer: i.claimer(),
	})
	i.frontend = frontend.New(frontend.Config{
		Instance: cfg.Self.Name, Relayer: i.relayer, Tables: i.currentTables, Callers: cfg.Callers,
		Recorder: i.Explainer, Checker: i.Checker, Metrics: i.Metrics, Clock: cfg.Clock, Rand: cfg.newRand(), Limits: cfg.Limits, TLS: cfg.CallerTLS,
	})
	if cfg.OperatorListener == nil {
		return
	}
	i.operator = frontend.NewOperator(frontend.OperatorConfig{
		Instance: cfg.Self.Name, Operators: cfg.Operators, Explainer: i.Explainer, Metrics: i.Metrics,
		Ready: i.Ready, Clock: cfg.Clock, Handlers: i.operatorHandlers(),
	})
}

func (i *Instance) currentTables() *egretflow.Tables { return i.tables.Current().Tables }

func (i *Instance) claimer() egretflow.Claimer {
	if i.fleet == nil {
		return nil
	}
	if wrap := i.cfg.WrapClaimer; wrap != nil {
		return wrap(i.fleet.claimer)
	}
	return i.fleet.claimer
}

// tap returns the scheduler as the request path sees it: load reports that ride
// on answers also reach the fleet's parts.
func (i *Instance) tap() egretflow.Scheduler {
	var tapped egretflow.Scheduler = i.Scheduler
	if i.fleet != nil {
		tapped = &loadTap{Scheduler: i.Scheduler, fleet: i.fleet}
	}
	if wrap := i.cfg.WrapScheduler; wrap != nil {
		return wrap(tapped)
	}
	return tapped
}

func (i *Instance) operatorHandlers() map[string]http.Handler {
	if i.fleet == nil {
		return nil
	}
	return map[string]http.Handler{egretflow.StatusPath: i.fleet.distributor.StatusHandler()}
}

// Ready reports whether the instance takes new work: it has tables and, after
// its start, capacity, and does not shut down.
func (i *Instance) Ready() bool {
	tables := i.currentTables()
	if tables == nil || !i.frontend.Ready() {
		return false
	}
	return i.fleet == nil || i.fleet.warm(tables, i.Scheduler)
}

// Tasks returns the tasks of the instance in their start order.
func (i *Instance) Tasks() []supervisor.Task {
	tasks := []supervisor.Task{
		{Name: "explainer", Run: i.Explainer.Run},
		{Name: "scheduler", Run: i.Scheduler.Run},
		{Name: "tables", Run: i.followTables, Ready: i.tablesFollowed},
	}
	if i.fleet != nil {
		tasks = append(tasks, i.fleet.tasks()...)
	}
	if i.storeTables != nil {
		tasks = append(tasks, supervisor.Task{Name: "distributor", Run: i.storeTables.Run})
	}
	tasks = append(tasks, supervisor.Task{Name: "relayer", Run: i.closeRelayer})
	if i.operator != nil {
		tasks = append(tasks, supervisor.Task{Name: "operators", Run: func(ctx context.Context) error {
			return i.operator.Serve(ctx, i.cfg.OperatorListener)
		}})
	}
	return append(tasks, supervisor.Task{Name: "callers", Run: func(ctx context.Context) error {
		return i.frontend.Serve(ctx, i.cfg.CallerListener)
	}})
}

// followTables applies each revision to the scheduler, in a fleet only what
// belongs to the own slice.
func (i *Instance) followTables(ctx context.Context) error {
	if i.fleet != nil {
		i.tables.Subscribe(i.fleet.slice.setTables)
		close(i.tablesFollowed)
		return i.fleet.slice.run(ctx, i.Scheduler.Apply)
	}
	i.tables.Subscribe(i.Scheduler.Apply)
	close(i.tablesFollowed)
	<-ctx.Done()
	return nil
}

func (i *Instance) closeRelayer(ctx context.Context) error {
	<-ctx.Done()
	i.relayer.Close()
	return nil
}

// loadTap passes load reports of answers on to the parts of the fleet.
type loadTap struct {
	*scheduler.Scheduler
	fleet *fleet
}

// Observe implements egretflow.Scheduler.
func (t *loadTap) Observe(o egretflow.Observation) {
	t.Scheduler.Observe(o)
	if o.Kind != egretflow.ObservationLoad || o.Load == nil {
		return
	}
	t.fleet.exchanger.Observe(o)
	t.fleet.poller.SawLoad(o.Server, o.EndedAt)
}

// Bytes returns the bytes written to and read from peers so far.
func (i *Instance) Bytes() (written, read int64) {
	if i.fleet == nil {
		return 0, 0
	}
	return i.fleet.meter.Written(), i.fleet.meter.Read()
}

var (
	_ exchanger.Hints         = (*distributor.Distributor)(nil)
	_ exchanger.Membership    = (*tracker.Tracker)(nil)
	_ exchanger.Budget        = (*messenger.Meter)(nil)
	_ egretflow.ExchangeState = (*scheduler.Scheduler)(nil)
)

// leaveTimeout bounds the goodbye to the peers at shutdown.
const leaveTimeout = time.Second

// pollerSinks lists who reads the load reports.
func (f *fleet) pollerSinks(s *scheduler.Scheduler) []func(egretflow.Observation) {
	return []func(egretflow.Observation){
		s.Observe,
		f.exchanger.Observe,
		func(o egretflow.Observation) {
			if o.Load != nil {
				f.tracker.ObserveLoad(*o.Load)
			}
		},
	}
}

func (f *fleet) pollerConfig(i *Instance) poller.Config {
	return poller.Config{
		Servers: f.exchanger.Owned, Client: i.cfg.httpClient(), Clock: i.cfg.Clock,
		Sinks: f.pollerSinks(i.Scheduler), TLS: f.poolUsesTLS,
	}
}
