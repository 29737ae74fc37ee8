package assembler

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/accountant"
	"github.com/egretflow/egretflow/checker"
	"github.com/egretflow/egretflow/crashkeeper"
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

// Instance is a complete instance, built by New.
type Instance struct {
	cfg       Config
	Explainer *explainer.Explainer
	Metrics   *recorder.Metrics
	Checker   *checker.Checker
	Scheduler *scheduler.Scheduler

	relayer    *relayer.Relayer
	frontend   *frontend.Frontend
	accountant *accountant.Accountant
	operator   *frontend.OperatorServer
	tables     egretflow.TablesSource
	// tablesReady is closed once the scheduler of an instance without peers has
	// the tables. An earlier request would find no pool.
	tablesReady chan struct{}
	// peering is nil for an instance without peers.
	peering *peering
	// storeTables follows the tables in the store of an instance without peers; it
	// is nil otherwise.
	storeTables *distributor.Distributor
	// crashes is nil without Config.Store.
	crashes *crashkeeper.Keeper
}

// New builds an instance that does nothing until its tasks run.
func New(cfg Config) (*Instance, error) {
	if err := cfg.check(); err != nil {
		return nil, fmt.Errorf("check settings: %w", err)
	}
	i := &Instance{cfg: cfg, Explainer: cfg.Explainer, tablesReady: make(chan struct{})}
	if i.Explainer == nil {
		i.Explainer = explainer.New(explainer.DefaultMaxEvents, cfg.Logger)
	}
	var err error
	if i.Metrics, err = recorder.New(); err != nil {
		return nil, createError("metrics", err)
	}
	i.Checker = checker.New(cfg.Self.Name, cfg.Clock, i.Explainer, i.Metrics.InvariantViolated)
	i.Scheduler = scheduler.New(scheduler.Config{
		Instance: cfg.Self.Name, Clock: cfg.Clock, Rand: cfg.newRand(), Recorder: i.Explainer, Checker: i.Checker,
		Sharing: cfg.sharing(), Policy: cfg.Policy, OnVerdict: i.keepVerdict,
	})
	if cfg.Peers != nil {
		if i.peering, err = newPeering(i); err != nil {
			return nil, createError("peer components", err)
		}
		i.tables = i.peering.distributor
	} else if cfg.Store != nil {
		i.addStoreTables()
	} else {
		i.tables = newStaticTables(cfg.Tables, cfg.Clock())
	}
	i.addRequestPath()
	if err := i.Metrics.ObserveState(cfg.Clock, i.metricsState); err != nil {
		return nil, createError("metrics", err)
	}
	if cfg.Store != nil {
		i.crashes = crashkeeper.New(crashkeeper.Config{
			Instance: cfg.Self.Name, Store: cfg.Store, Memory: i.Scheduler, Clock: cfg.Clock, Rand: cfg.newRand(), Recorder: i.Explainer,
		})
	}
	return i, nil
}

// keepVerdict makes the verdicts on crashes outlast this instance.
func (i *Instance) keepVerdict() {
	if i.crashes != nil {
		i.crashes.Wake()
	}
}

// metricsState returns the state that the metrics report.
func (i *Instance) metricsState() recorder.State {
	state := readMetricsState(i.Scheduler, i.tables, i.Explainer)
	state.Quotas = i.accountant.Status()
	return state
}

// addStoreTables makes an instance without peers follow the tables in its store.
// It has none until the store can be reached and holds some.
func (i *Instance) addStoreTables() {
	cfg := &i.cfg
	i.storeTables = distributor.New(distributor.Config{
		Self: cfg.Self, Store: cfg.Store, Clock: cfg.Clock, Rand: cfg.newRand(), Recorder: i.Explainer, Checker: i.Checker,
	})
	i.tables = i.storeTables
}

// addRequestPath creates the components that handle requests of callers and
// operators.
func (i *Instance) addRequestPath() {
	cfg := &i.cfg
	i.relayer = relayer.New(relayer.Config{
		Instance: cfg.Self.Name, Scheduler: i.requestScheduler(), Recorder: i.Explainer, Checker: i.Checker, Clock: cfg.Clock,
		Rand: cfg.newRand(), Dial: cfg.Dial, PrefillWasted: i.Metrics.WastedPrefill, AttemptFailed: i.Metrics.AttemptFailed, TLS: cfg.ServerTLS, Claimer: i.claimer(),
		Responses: cfg.Responses,
	})
	i.accountant = accountant.New(accountant.Config{
		Self: cfg.Self, Instances: i.instances, Clock: cfg.Clock, Recorder: i.Explainer, Observe: i.Metrics.QuotaAsked,
	})
	i.frontend = frontend.New(frontend.Config{
		Instance: cfg.Self.Name, Quotas: i.accountant, Relayer: i.relayer, Tables: i.currentTables, Callers: cfg.Callers,
		Recorder: i.Explainer, Checker: i.Checker, Metrics: i.Metrics, Clock: cfg.Clock, Rand: cfg.newRand(), Limits: cfg.Limits, TLS: cfg.CallerTLS,
	})
	if cfg.OperatorListener == nil {
		return
	}
	i.operator = frontend.NewOperatorServer(frontend.OperatorServerConfig{
		Instance: cfg.Self.Name, Operators: cfg.Operators, Explainer: i.Explainer, Metrics: i.Metrics,
		Ready: i.Ready, Clock: cfg.Clock, Handlers: i.operatorHandlers(),
	})
}

// instances returns the number of listed instances. Each has an equal fixed share of the
// quotas, because no message carries their use on this interface.
func (i *Instance) instances() int {
	if i.peering == nil {
		return 1
	}
	return len(i.peering.tracker.View().Members)
}

func (i *Instance) currentTables() *egretflow.Tables { return i.tables.Current().Tables }

// claimer returns the claimer for the request path; nil without peers.
func (i *Instance) claimer() egretflow.Claimer {
	if i.peering == nil {
		return nil
	}
	if wrap := i.cfg.WrapClaimer; wrap != nil {
		return wrap(i.peering.claimer)
	}
	return i.peering.claimer
}

// requestScheduler returns the scheduler for the request path. With peers, load
// reports in responses also reach the exchanger and the poller.
func (i *Instance) requestScheduler() egretflow.Scheduler {
	var observed egretflow.Scheduler = i.Scheduler
	if i.peering != nil {
		observed = &loadObserver{Scheduler: i.Scheduler, peering: i.peering}
	}
	if wrap := i.cfg.WrapScheduler; wrap != nil {
		return wrap(observed)
	}
	return observed
}

func (i *Instance) operatorHandlers() map[string]http.Handler {
	if i.peering == nil {
		return nil
	}
	return map[string]http.Handler{egretflow.StatusPath: i.peering.distributor.StatusHandler()}
}

// Ready reports whether the instance accepts new requests: it has tables, has had
// capacity since its start and is not shutting down.
func (i *Instance) Ready() bool {
	tables := i.currentTables()
	if tables == nil || !i.frontend.Ready() {
		return false
	}
	return i.peering == nil || i.peering.hasCapacity(tables, i.Scheduler)
}

// Tasks returns the tasks of the instance in their start order.
func (i *Instance) Tasks() []supervisor.Task {
	tasks := []supervisor.Task{
		{Name: "explainer", Run: i.Explainer.Run},
		{Name: "scheduler", Run: i.Scheduler.Run},
		{Name: "accountant", Run: i.accountant.Run},
		{Name: "tables", Run: i.followTables, Ready: i.tablesReady},
	}
	if i.crashes != nil {
		tasks = append(tasks, supervisor.Task{Name: "crashes", Run: i.crashes.Run})
	}
	if i.peering != nil {
		tasks = append(tasks, i.peering.tasks()...)
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

// followTables applies each revision of the tables to the accountant and to the
// scheduler. With peers, the scheduler gets only the servers of this instance's slice.
func (i *Instance) followTables(ctx context.Context) error {
	i.tables.Subscribe(i.accountant.Apply)
	if i.peering != nil {
		i.tables.Subscribe(i.peering.sliceFollower.setTables)
		close(i.tablesReady)
		return i.peering.sliceFollower.run(ctx, i.Scheduler.Apply)
	}
	i.tables.Subscribe(i.Scheduler.Apply)
	close(i.tablesReady)
	<-ctx.Done()
	return nil
}

func (i *Instance) closeRelayer(ctx context.Context) error {
	<-ctx.Done()
	i.relayer.Close()
	return nil
}

// loadObserver is a scheduler that also passes load reports in responses to the
// exchanger and the poller.
type loadObserver struct {
	*scheduler.Scheduler
	peering *peering
}

// Observe implements egretflow.Scheduler.
func (l *loadObserver) Observe(o egretflow.Observation) {
	l.Scheduler.Observe(o)
	if o.Kind != egretflow.ObservationLoad || o.Load == nil {
		return
	}
	l.peering.exchanger.Observe(o)
	l.peering.poller.LoadReceived(o.Server, o.EndedAt)
}

// PeerTraffic returns the numbers of bytes written to and read from peers so
// far.
func (i *Instance) PeerTraffic() (written, read int64) {
	if i.peering == nil {
		return 0, 0
	}
	return i.peering.meter.WrittenBytes(), i.peering.meter.ReadBytes()
}

var (
	_ exchanger.Hints         = (*distributor.Distributor)(nil)
	_ exchanger.Membership    = (*tracker.Tracker)(nil)
	_ exchanger.Budget        = (*messenger.Meter)(nil)
	_ egretflow.ExchangeState = (*scheduler.Scheduler)(nil)
)

// leaveTimeout bounds how long the instance notifies its peers at shutdown that it
// leaves.
const leaveTimeout = time.Second

// pollerObservers returns the functions that receive the load reports of the poller.
func (f *peering) pollerObservers(s *scheduler.Scheduler) []func(egretflow.Observation) {
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

func (f *peering) pollerConfig(i *Instance) poller.Config {
	return poller.Config{
		Servers: f.exchanger.Owned, Client: i.cfg.httpClient(), Clock: i.cfg.Clock,
		Observers: f.pollerObservers(i.Scheduler), TLS: f.poolUsesTLS,
	}
}
