package assembler

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/cachefollower"
	"github.com/egretflow/egretflow/claimer"
	"github.com/egretflow/egretflow/commander"
	"github.com/egretflow/egretflow/distributor"
	"github.com/egretflow/egretflow/exchanger"
	"github.com/egretflow/egretflow/messenger"
	"github.com/egretflow/egretflow/poller"
	"github.com/egretflow/egretflow/scheduler"
	"github.com/egretflow/egretflow/slicer"
	"github.com/egretflow/egretflow/supervisor"
	"github.com/egretflow/egretflow/tracker"
	"github.com/pkg/errors"
)

// peering holds the components of an instance that communicate with its peers.
type peering struct {
	cfg           *Config
	meter         *messenger.Meter
	names         *messenger.ServerNameCodec
	client        *messenger.Client
	server        *http.Server
	tracker       *tracker.Tracker
	distributor   *distributor.Distributor
	exchanger     *exchanger.Exchanger
	poller        *poller.Poller
	cacheFollower *cachefollower.Follower
	sliceFollower *sliceFollower
	claimer       *claimer.Claimer
	// commander is nil unless the instance commands engines.
	commander *commander.Commander
	// capacityDeadline ends the wait for capacity after the start. hadCapacity is
	// set once the wait is over.
	capacityDeadline time.Time
	hadCapacity      atomic.Bool
}

// capacityTimeout bounds how long a new instance is not ready for lack of
// capacity. Without it, an outage of one pool would keep the instance from serving
// the other pools.
const capacityTimeout = 5 * time.Second

// hasCapacity reports whether the instance has held slots of every model pool
// since its start, or capacityDeadline has passed. A new owner of servers grants
// nothing for one lifetime of a grant, and requests would only be refused until
// then. An instance that has read no list holds no slots, however long that takes.
func (f *peering) hasCapacity(tables *egretflow.Tables, s *scheduler.Scheduler) bool {
	if !f.tracker.View().ListRead {
		return false
	}
	if f.hadCapacity.Load() {
		return true
	}
	for n := range tables.Pools {
		if tables.Pools[n].Kind != egretflow.PoolKindModel {
			continue
		}
		if _, ok := s.RoleUtilization(tables.Pools[n].Name); !ok && f.cfg.Clock().Before(f.capacityDeadline) {
			return false
		}
	}
	f.hadCapacity.Store(true)
	return true
}

func newPeering(i *Instance) (*peering, error) {
	cfg := &i.cfg
	f := &peering{cfg: cfg, meter: messenger.NewMeter(messenger.BudgetBytesPerSecond, cfg.Clock), names: messenger.NewServerNameCodec(), sliceFollower: newSliceFollower()}
	f.capacityDeadline = cfg.Clock().Add(capacityTimeout)
	if err := f.addMessenger(i); err != nil {
		return nil, err
	}
	f.tracker = tracker.New(tracker.Config{
		Self: cfg.Self, URL: cfg.ListURL, Client: cfg.httpClient(), Clock: cfg.Clock, Rand: cfg.newRand(),
		Recorder: i.Explainer, Unavailable: i.Scheduler,
	})
	f.distributor = distributor.New(distributor.Config{
		Self: cfg.Self, Store: cfg.Store, Peers: f.client, Clock: cfg.Clock, Rand: cfg.newRand(),
		Recorder: i.Explainer, Checker: i.Checker,
		Quotas: func() []egretflow.QuotaStatus { return i.accountant.Status() },
	})
	f.cacheFollower = cachefollower.New(cachefollower.Config{
		Client: cfg.streamClient(), Clock: cfg.Clock, Rand: cfg.newRand(), Observe: i.Scheduler.Observe, TLS: f.poolUsesTLS,
		BytesPerSecond: cfg.CacheEventBytesPerSecond,
	})
	f.exchanger = exchanger.New(exchanger.Config{
		Self: cfg.Self, Incarnation: cfg.Incarnation, Clock: cfg.Clock, Rand: cfg.newRand(), Recorder: i.Explainer,
		Peers: f.client, State: i.Scheduler, Tables: f.distributor, Members: f.tracker, Hints: f.distributor, Budget: f.meter,
		OnPlan: func(p slicer.Plan) {
			f.cacheFollower.SetServers(p.Servers)
			f.sliceFollower.setPlan(p)
		},
	})
	f.poller = poller.New(f.pollerConfig(i))
	var err error
	f.claimer, err = claimer.New(claimer.Config{
		Instance: cfg.Self.Name, Store: cfg.Store, Peers: f.client, Members: f.reachableMembers, Clock: cfg.Clock,
		Rand: cfg.newRand(), Recorder: i.Explainer, Checker: i.Checker,
	})
	if err != nil {
		return nil, createError("claimer", err)
	}
	if cfg.EngineCommands {
		if err := f.addCommander(i); err != nil {
			return nil, createError("commander", err)
		}
	}
	return f, nil
}

func (f *peering) addCommander(i *Instance) error {
	var err error
	f.commander, err = commander.New(commander.Config{
		Instance: f.cfg.Self.Name, Store: f.cfg.Store, Tables: f.distributor, Members: f.reachableMembers,
		Client: f.cfg.httpClient(), Clock: f.cfg.Clock, Recorder: i.Explainer,
		RoleLoad: func(pool egretflow.PoolName) (commander.RoleLoad, bool) {
			use, ok := i.Scheduler.RoleUtilization(pool)
			return commander.RoleLoad(use), ok
		},
	})
	return err
}

func (f *peering) addMessenger(i *Instance) error {
	peers := f.cfg.Peers
	var err error
	f.client, err = messenger.NewClient(messenger.ClientConfig{
		Meter: f.meter, Names: f.names, Clock: f.cfg.Clock, Key: peers.Key, TLS: peers.ClientTLS, Dial: f.cfg.Dial,
	})
	if err != nil {
		return createError("peer client", err)
	}
	handler, err := messenger.NewHandler(messenger.HandlerConfig{
		Handler: f, Names: f.names, Verifier: peers.Verifier, Recorder: i.Explainer, Clock: f.cfg.Clock, Instance: f.cfg.Self.Name,
	})
	if err != nil {
		return createError("peer handler", err)
	}
	f.server = messenger.NewServer(handler, peers.ServerTLS)
	return nil
}

// HandleExchange implements egretflow.PeerHandler.
func (f *peering) HandleExchange(ctx context.Context, r *egretflow.ExchangeRequest) (*egretflow.ExchangeResponse, error) {
	return f.exchanger.HandleExchange(ctx, r)
}

// HandlePull implements egretflow.PeerHandler.
func (f *peering) HandlePull(ctx context.Context, r *egretflow.PullRequest) (*egretflow.PullResponse, error) {
	return f.distributor.HandlePull(ctx, r)
}

// HandleCommitClaims implements egretflow.PeerHandler.
func (f *peering) HandleCommitClaims(ctx context.Context, r *egretflow.CommitRequest) (*egretflow.CommitResponse, error) {
	return f.claimer.HandleCommitClaims(ctx, r)
}

// reachableMembers returns the members that are live and that this instance can
// reach.
func (f *peering) reachableMembers() []egretflow.Member {
	view := f.tracker.View()
	members := make([]egretflow.Member, 0, len(view.Members))
	for _, m := range view.Members {
		if view.Reachable[m.Name] && m.State == egretflow.MemberStateLive {
			members = append(members, m)
		}
	}
	return members
}

// poolUsesTLS reports whether connections to the servers of a pool use TLS. It is
// false for an unknown pool.
func (f *peering) poolUsesTLS(name egretflow.PoolName) bool {
	tables := f.distributor.Current().Tables
	if tables == nil {
		return false
	}
	pool, ok := tables.Pool(name)
	return ok && pool.ServerTLS
}

func (f *peering) tasks() []supervisor.Task {
	tasks := []supervisor.Task{
		{Name: "tracker", Run: f.tracker.Run},
		{Name: "members", Run: f.followMembers},
		{Name: "distributor", Run: f.distributor.Run},
		{Name: "claimer", Run: f.claimer.Run},
		{Name: "peers", Run: f.servePeers},
		{Name: "exchanger", Run: f.runExchanger},
		{Name: "poller", Run: f.poller.Run},
		{Name: "cache events", Run: f.cacheFollower.Run},
	}
	if f.commander != nil {
		tasks = append(tasks, supervisor.Task{Name: "commander", Run: f.commander.Run})
	}
	return tasks
}

// membersInterval is how often the membership is checked for changes, which are
// passed to the distributor. The instances that watch the store change within this
// interval plus the lag of the list.
const membersInterval = 200 * time.Millisecond

// followMembers passes changes of the membership to the distributor, and the names
// of all servers to the messenger, until ctx ends.
func (f *peering) followMembers(ctx context.Context) error {
	f.distributor.Subscribe(func(t *egretflow.Tables) { f.names.SetServers(serverNames(t)) })
	ticker := time.NewTicker(membersInterval)
	defer ticker.Stop()
	for version := uint64(0); ; {
		if view := f.tracker.View(); view.Version != version {
			version = view.Version
			f.distributor.SetMembers(f.liveMembers(view.Members))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// liveMembers returns the members that are not leaving. It keeps unreachable
// members, so that an instance that was cut off can be called again.
func (f *peering) liveMembers(members []egretflow.Member) []egretflow.Member {
	live := make([]egretflow.Member, 0, len(members))
	for _, m := range members {
		if m.State == egretflow.MemberStateLive {
			live = append(live, m)
		}
	}
	return live
}

func serverNames(t *egretflow.Tables) []egretflow.ServerName {
	var names []egretflow.ServerName
	for p := range t.Pools {
		for s := range t.Pools[p].Servers {
			names = append(names, t.Pools[p].Servers[s].Name)
		}
	}
	return names
}

func (f *peering) servePeers(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = f.server.Close() })
	defer stop()
	defer f.client.Close()
	err := messenger.Serve(f.server, f.meter.Listener(f.cfg.Peers.Listener))
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve peers: %w", err)
	}
	return nil
}

// runExchanger runs the exchanger until ctx ends, then notifies the peers that this
// instance leaves while the exchanger still runs, and stops it.
func (f *peering) runExchanger(ctx context.Context) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- f.exchanger.Run(runCtx) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	leaveCtx, cancel := context.WithTimeout(runCtx, leaveTimeout)
	defer cancel()
	// For a peer that is not notified, the grants expire.
	_ = f.exchanger.Leave(leaveCtx)
	stop()
	return <-ended
}
