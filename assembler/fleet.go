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

// fleet is the part of an instance that works with other instances.
type fleet struct {
	cfg         *Config
	meter       *messenger.Meter
	names       *messenger.Names
	client      *messenger.Client
	server      *http.Server
	tracker     *tracker.Tracker
	distributor *distributor.Distributor
	exchanger   *exchanger.Exchanger
	poller      *poller.Poller
	follower    *cachefollower.Follower
	slice       *sliceFollower
	claimer     *claimer.Claimer
	// commander is nil unless the instance commands engines.
	commander *commander.Commander
	// warmBy ends the wait for capacity at the start, and warmed says that it
	// has come.
	warmBy time.Time
	warmed atomic.Bool
}

// warmTimeout is the longest time that a new instance is not ready for lack of
// capacity. Without it an outage of a pool would keep the instance from serving
// the other pools.
const warmTimeout = 5 * time.Second

// warm reports whether the instance has held slots of every model pool since
// its start. A new owner grants nothing for one lifetime of a grant, and
// requests would only be refused until then.
func (f *fleet) warm(tables *egretflow.Tables, s *scheduler.Scheduler) bool {
	if f.warmed.Load() {
		return true
	}
	for n := range tables.Pools {
		if tables.Pools[n].Kind != egretflow.PoolKindModel {
			continue
		}
		if _, ok := s.RoleUse(tables.Pools[n].Name); !ok && f.cfg.Clock().Before(f.warmBy) {
			return false
		}
	}
	f.warmed.Store(true)
	return true
}

func newFleet(i *Instance) (*fleet, error) {
	cfg := &i.cfg
	f := &fleet{cfg: cfg, meter: messenger.NewMeter(messenger.BudgetBytesPerSecond, cfg.Clock), names: messenger.NewNames(), slice: newSliceFollower()}
	f.warmBy = cfg.Clock().Add(warmTimeout)
	if err := f.addMessenger(i); err != nil {
		return nil, err
	}
	f.tracker = tracker.New(tracker.Config{
		Self: cfg.Self, URL: cfg.ListURL, Client: cfg.httpClient(), Clock: cfg.Clock, Rand: cfg.newRand(),
		Recorder: i.Explainer, State: i.Scheduler,
	})
	f.distributor = distributor.New(distributor.Config{
		Self: cfg.Self, Store: cfg.Store, Peers: f.client, Clock: cfg.Clock, Rand: cfg.newRand(),
		Recorder: i.Explainer, Checker: i.Checker,
	})
	f.follower = cachefollower.New(cachefollower.Config{
		Client: cfg.streamClient(), Clock: cfg.Clock, Rand: cfg.newRand(), Sink: i.Scheduler.Observe, TLS: f.poolUsesTLS,
		BytesPerSecond: cfg.CacheEventBytesPerSecond,
	})
	f.exchanger = exchanger.New(exchanger.Config{
		Self: cfg.Self, Incarnation: cfg.Incarnation, Clock: cfg.Clock, Rand: cfg.newRand(), Recorder: i.Explainer,
		Peers: f.client, State: i.Scheduler, Tables: f.distributor, Members: f.tracker, Hints: f.distributor, Budget: f.meter,
		OnPlan: func(p slicer.Plan) {
			f.follower.SetServers(p.Servers)
			f.slice.setPlan(p)
		},
	})
	f.poller = poller.New(f.pollerConfig(i))
	var err error
	f.claimer, err = claimer.New(claimer.Config{
		Instance: cfg.Self.Name, Store: cfg.Store, Peers: f.client, Members: f.reachableMembers, Clock: cfg.Clock,
		Rand: cfg.newRand(), Recorder: i.Explainer, Checker: i.Checker,
	})
	if err != nil {
		return nil, wrapPart("claimer", err)
	}
	if cfg.EngineCommands {
		if err := f.addCommander(i); err != nil {
			return nil, wrapPart("commander", err)
		}
	}
	return f, nil
}

func (f *fleet) addCommander(i *Instance) error {
	var err error
	f.commander, err = commander.New(commander.Config{
		Instance: f.cfg.Self.Name, Store: f.cfg.Store, Tables: f.distributor, Members: f.reachableMembers,
		Client: f.cfg.httpClient(), Clock: f.cfg.Clock, Recorder: i.Explainer,
		RoleLoad: func(pool egretflow.PoolName) (commander.RoleLoad, bool) {
			use, ok := i.Scheduler.RoleUse(pool)
			return commander.RoleLoad(use), ok
		},
	})
	return err
}

func (f *fleet) addMessenger(i *Instance) error {
	peers := f.cfg.Peers
	var err error
	f.client, err = messenger.NewClient(messenger.ClientConfig{
		Meter: f.meter, Names: f.names, Clock: f.cfg.Clock, Key: peers.Key, TLS: peers.ClientTLS, Dial: f.cfg.Dial,
	})
	if err != nil {
		return wrapPart("peer client", err)
	}
	handler, err := messenger.NewHandler(messenger.HandlerConfig{
		Handler: f, Names: f.names, Verifier: peers.Verifier, Recorder: i.Explainer, Clock: f.cfg.Clock, Self: f.cfg.Self.Name,
	})
	if err != nil {
		return wrapPart("peer handler", err)
	}
	f.server = messenger.NewServer(handler, peers.ServerTLS)
	return nil
}

// HandleExchange implements egretflow.PeerHandler.
func (f *fleet) HandleExchange(ctx context.Context, r *egretflow.ExchangeRequest) (*egretflow.ExchangeResponse, error) {
	return f.exchanger.HandleExchange(ctx, r)
}

// HandlePull implements egretflow.PeerHandler.
func (f *fleet) HandlePull(ctx context.Context, r *egretflow.PullRequest) (*egretflow.PullResponse, error) {
	return f.distributor.HandlePull(ctx, r)
}

// HandleCommitClaims implements egretflow.PeerHandler.
func (f *fleet) HandleCommitClaims(ctx context.Context, r *egretflow.CommitRequest) (*egretflow.CommitResponse, error) {
	return f.claimer.HandleCommitClaims(ctx, r)
}

func (f *fleet) reachableMembers() []egretflow.Member {
	view := f.tracker.View()
	members := make([]egretflow.Member, 0, len(view.Members))
	for _, m := range view.Members {
		if view.Reachable[m.Name] && m.State == egretflow.MemberStateLive {
			members = append(members, m)
		}
	}
	return members
}

func (f *fleet) poolUsesTLS(name egretflow.PoolName) bool {
	tables := f.distributor.Current().Tables
	if tables == nil {
		return false
	}
	pool, ok := tables.Pool(name)
	return ok && pool.ServerTLS
}

func (f *fleet) tasks() []supervisor.Task {
	tasks := []supervisor.Task{
		{Name: "tracker", Run: f.tracker.Run},
		{Name: "members", Run: f.followMembers},
		{Name: "distributor", Run: f.distributor.Run},
		{Name: "claimer", Run: f.claimer.Run},
		{Name: "peers", Run: f.servePeers},
		{Name: "exchanger", Run: f.exchange},
		{Name: "poller", Run: f.poller.Run},
		{Name: "cache events", Run: f.follower.Run},
	}
	if f.commander != nil {
		tasks = append(tasks, supervisor.Task{Name: "commander", Run: f.commander.Run})
	}
	return tasks
}

// membersInterval is how often a change of the membership is passed on to the
// distributor. Watchers change within it plus the lag of the list.
const membersInterval = 200 * time.Millisecond

// followMembers passes the membership and the names of servers on.
func (f *fleet) followMembers(ctx context.Context) error {
	f.distributor.Subscribe(func(t *egretflow.Tables) { f.names.Set(serverNames(t)) })
	ticker := time.NewTicker(membersInterval)
	defer ticker.Stop()
	for version := uint64(0); ; {
		if view := f.tracker.View(); view.Version != version {
			version = view.Version
			f.distributor.SetMembers(f.knownMembers(view.Members))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// knownMembers leaves out members that are leaving. Unreachable members stay,
// so that an instance that was cut off can be asked again.
func (f *fleet) knownMembers(members []egretflow.Member) []egretflow.Member {
	known := make([]egretflow.Member, 0, len(members))
	for _, m := range members {
		if m.State == egretflow.MemberStateLive {
			known = append(known, m)
		}
	}
	return known
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

func (f *fleet) servePeers(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = f.server.Close() })
	defer stop()
	defer f.client.Close()
	err := messenger.Serve(f.server, f.meter.Listener(f.cfg.Peers.Listener))
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve peers: %w", err)
	}
	return nil
}

// exchange runs the exchanger until ctx ends and then tells the peers that the
// instance leaves, while the exchanger still works.
func (f *fleet) exchange(ctx context.Context) error {
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
	// A peer that was not told sees the grants expire instead.
	_ = f.exchanger.Leave(leaveCtx)
	stop()
	return <-ended
}
