package main

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/accountant"
	"github.com/egretflow/egretflow/assembler"
	"github.com/egretflow/egretflow/connector"
	"github.com/egretflow/egretflow/coordinator"
	"github.com/egretflow/egretflow/erafollower"
	"github.com/egretflow/egretflow/explainer"
	"github.com/egretflow/egretflow/frontend"
	"github.com/egretflow/egretflow/loader"
	"github.com/egretflow/egretflow/picker"
	"github.com/egretflow/egretflow/platform"
	"github.com/egretflow/egretflow/recorder"
	"github.com/egretflow/egretflow/reserver"
	"github.com/egretflow/egretflow/supervisor"
)

const (
	// lameDuck is how long the instance takes requests after it has become not
	// ready. The balancer checks once a second, so it checks at least twice in
	// this time.
	lameDuck = 2500 * time.Millisecond
	// cleanupTime is the part of the grace period that remains after the drain
	// timeout, for the end of the process.
	cleanupTime = 600 * time.Millisecond
	// forcedExitMargin is how long before the end of the grace period exitAfter
	// ends a process whose tasks still wait.
	forcedExitMargin = 250 * time.Millisecond
	// forcedExitStatus reports success: all requests have ended by then.
	forcedExitStatus = 0
	// platformEvents is the number of events kept in memory. The platform command
	// needs few, because events are also written to the log.
	platformEvents = 256
	// memoryLimitShare is the part of the memory limit in the settings that becomes
	// the soft memory limit of the Go runtime.
	memoryLimitShare = 0.7
	megabyte         = 1 << 20
)

type platformCommand struct {
	Config string        `help:"Settings file that the platform writes." default:"/etc/egretflow/node.yaml"`
	Policy picker.Policy `help:"How servers are chosen: Joint, RoundRobin, LeastLoaded or PowerOfTwo." default:"Joint"`
	Check  bool          `help:"Check the settings file and end."`
}

// Run serves until ctx ends, then drains and returns within the grace period of the
// settings. With --check it only checks the settings file.
func (p *platformCommand) Run(ctx context.Context) error {
	signals := reloadSignals()
	s, err := loader.Load(p.Config)
	if err != nil {
		return fmt.Errorf("settings file %s: %w", p.Config, err)
	}
	if p.Check {
		return nil
	}
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryMegabytes) * megabyte))
	cfg, err := p.forwardingConfig(s)
	if err != nil {
		return err
	}
	inst, err := assembler.NewForwarding(cfg)
	if err != nil {
		return fmt.Errorf("assemble instance: %w", err)
	}
	defer context.AfterFunc(ctx, func() { exitAfter(s.GracePeriod() - forcedExitMargin) })()
	cfg.Explainer.Record(egretflow.NewEvent(egretflow.EventStarted, cfg.Clock(), s.Name,
		"FailureDomain", string(s.FailureDomain), "Listen", s.Listen.String(), "Store", s.Store.String()))
	follower := &loader.Follower{Path: p.Config, Signals: signals, Clock: cfg.Clock, Recorder: cfg.Explainer, Settings: s}
	tasks := append(inst.Tasks(), supervisor.Task{Name: "settings", Run: follower.Run})
	if err := supervisor.Run(ctx, tasks); err != nil {
		return fmt.Errorf("run instance: %w", err)
	}
	return nil
}

// reloadSignals returns the SIGHUP signals that the platform sends after it has
// changed the settings file. Run calls it first, because a SIGHUP without a receiver
// would end the process.
func reloadSignals() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// exitAfter ends the process after delay, in case tasks still wait for outside
// systems near the end of the grace period. All requests have ended by then.
func exitAfter(delay time.Duration) {
	time.AfterFunc(delay, func() { os.Exit(forcedExitStatus) })
}

// forwardingConfig opens the listeners that the settings name and returns the
// configuration of the instance.
func (p *platformCommand) forwardingConfig(s *loader.Settings) (assembler.ForwardingConfig, error) {
	logger := logrus.New()
	logger.SetOutput(os.Stdout)
	logger.SetFormatter(explainer.Formatter{})
	clock := egretflow.NewMonotonicClock(egretflow.SystemClock)
	budget := reserver.NewBudget(int64(s.MemoryMegabytes) * megabyte)
	responses := budget.Responses
	dialer := connector.NewDialer(budget.SocketBufferBytes)
	client := platform.NewClient(dialer.DialContext, responses)
	metrics, err := recorder.New()
	if err != nil {
		return assembler.ForwardingConfig{}, fmt.Errorf("make metrics: %w", err)
	}
	events := explainer.New(platformEvents, logger)
	eras := erafollower.New(erafollower.Config{Instance: s.Name, Clock: clock, Recorder: events, OnChange: metrics.StoreEraChanged})
	store := platform.NewStore(platform.StoreConfig{Address: s.Store, Client: client, Clock: clock, Eras: eras, Observe: metrics.StoreCalled})
	directory := platform.NewDirectory(store, func(key, reason string) {
		events.Record(egretflow.NewEvent(egretflow.EventServerInvalid, clock(), s.Name, "Key", key, "Error", reason))
	})
	cfg := assembler.ForwardingConfig{
		Self: egretflow.Member{
			Name: s.Name, FailureDomain: s.FailureDomain, Region: s.Region, State: egretflow.MemberStateLive, ProcessorShare: s.ProcessorShare,
		},
		Clock: clock, Rand: newRand(), Dial: dialer.DialContext, Explainer: events, Metrics: metrics, Policy: p.Policy,
		Store: store, Eras: eras, Incarnation: uint64(clock().UnixNano()), LeaseTTL: s.LeaseTTL(), Bootstrap: s.Bootstrap,
		RetryBudget: s.RetryBudget(), QuotaTolerance: s.QuotaTolerance(),
		Directory: directory, Dialect: platform.Dialect{}, Engines: platform.NewEngineClient(dialer.DialContext, clock, responses), Responses: responses,
		Limits: frontend.Limits{
			LameDuck: lameDuck, DrainTimeout: s.GracePeriod() - lameDuck - cleanupTime,
		},
	}
	cfg.Limits.SetBudget(budget)
	if cfg.CallerListener, err = listen("callers", s.Listen.String()); err != nil {
		return cfg, err
	}
	if cfg.ReadyListener, err = listen("the balancer", s.ReadyListen.String()); err != nil {
		return cfg, err
	}
	if cfg.MetricsListener, err = listenMetrics(s); err != nil {
		return cfg, err
	}
	cfg.Self.Address = netip.AddrPortFrom(s.Address, s.PeerPorts[0])
	return cfg, listenPeers(&cfg)
}

// listenPeers opens the sockets for messages between instances.
func listenPeers(cfg *assembler.ForwardingConfig) (err error) {
	if cfg.PeerConn, err = listenUDP("peers", cfg.Self.Address); err != nil {
		return err
	}
	if cfg.CoordinatorConn, err = listenUDP("coordinators", coordinator.AddressOf(cfg.Self)); err != nil {
		return err
	}
	if cfg.AccountantConn, err = listenUDP("accountants", accountant.AddressOf(cfg.Self)); err != nil {
		return err
	}
	cfg.PeerListener, err = listen("subscribers", cfg.Self.Address.String())
	return err
}

func listenUDP(purpose string, address netip.AddrPort) (net.PacketConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", purpose, err)
	}
	return conn, nil
}

// listenMetrics listens on the last of the peer ports in the settings; the first three
// carry the messages between instances.
func listenMetrics(s *loader.Settings) (net.Listener, error) {
	return listen("metrics", netip.AddrPortFrom(s.Address, s.PeerPorts[1]).String())
}
