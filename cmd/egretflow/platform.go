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
	"github.com/egretflow/egretflow/assembler"
	"github.com/egretflow/egretflow/connector"
	"github.com/egretflow/egretflow/explainer"
	"github.com/egretflow/egretflow/frontend"
	"github.com/egretflow/egretflow/loader"
	"github.com/egretflow/egretflow/picker"
	"github.com/egretflow/egretflow/platform"
	"github.com/egretflow/egretflow/recorder"
	"github.com/egretflow/egretflow/supervisor"
)

const (
	// lameDuck outlasts two questions of the balancer, one a second.
	lameDuck = 2500 * time.Millisecond
	// stopMargin is left of the grace period for the end of the process.
	stopMargin = 600 * time.Millisecond
	// exitMargin is left when the process ends although tasks still wait, with
	// status exitLate.
	exitMargin = 250 * time.Millisecond
	exitLate   = 0
	// keptEvents is the number of events kept for explanations; log lines hold
	// them all.
	keptEvents = 256
	// memoryShare of the limit is what the garbage collector aims at.
	memoryShare = 0.7
	megabyte    = 1 << 20
)

type platformCommand struct {
	Config string        `help:"Settings file that the platform writes." default:"/etc/egretflow/node.yaml"`
	Policy picker.Policy `help:"How servers are chosen: Joint, RoundRobin, LeastLoaded or PowerOfTwo." default:"Joint"`
	Check  bool          `help:"Check the settings file and end."`
}

// Run serves until ctx ends.
func (p *platformCommand) Run(ctx context.Context) error {
	signals := reloadSignals()
	s, err := loader.Load(p.Config)
	if err != nil {
		return fmt.Errorf("settings file %s: %w", p.Config, err)
	}
	if p.Check {
		return nil
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMegabytes) * megabyte))
	cfg, err := p.assemble(s)
	if err != nil {
		return err
	}
	inst, err := assembler.NewForwarding(cfg)
	if err != nil {
		return fmt.Errorf("assemble instance: %w", err)
	}
	defer context.AfterFunc(ctx, func() { exitBy(s.Grace() - exitMargin) })()
	cfg.Explainer.Record(egretflow.NewEvent(egretflow.EventStarted, cfg.Clock(), s.Name,
		"FailureDomain", string(s.FailureDomain), "Listen", s.Listen.String(), "Store", s.Store.String()))
	follower := &loader.Follower{Path: p.Config, Signals: signals, Clock: cfg.Clock, Recorder: cfg.Explainer, Settings: s}
	tasks := append(inst.Tasks(), supervisor.Task{Name: "settings", Run: follower.Run})
	if err := supervisor.Run(ctx, tasks); err != nil {
		return fmt.Errorf("run instance: %w", err)
	}
	return nil
}

// reloadSignals returns the signals by which the platform tells of new settings.
// Without a receiver they would end the process.
func reloadSignals() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// exitBy ends the process when tasks still wait for outside systems at the end of
// the grace period. All requests have ended by then.
func exitBy(left time.Duration) {
	time.AfterFunc(left, func() { os.Exit(exitLate) })
}

func (p *platformCommand) assemble(s *loader.Settings) (assembler.ForwardingConfig, error) {
	logger := logrus.New()
	logger.SetOutput(os.Stdout)
	logger.SetFormatter(explainer.Formatter{})
	clock := egretflow.NewMonotonicClock(egretflow.SystemClock)
	dialer := connector.NewDialer()
	client := platform.NewClient(dialer.DialContext)
	metrics, err := recorder.New()
	if err != nil {
		return assembler.ForwardingConfig{}, fmt.Errorf("make metrics: %w", err)
	}
	store := platform.NewStore(platform.StoreConfig{Address: s.Store, Client: client, Clock: clock, Observe: metrics.StoreCalled})
	cfg := assembler.ForwardingConfig{
		Self:  egretflow.Member{Name: s.Name, FailureDomain: s.FailureDomain, Region: s.Region, State: egretflow.MemberStateLive},
		Clock: clock, Rand: newRand(), Dial: dialer.DialContext, Explainer: explainer.New(keptEvents, logger), Metrics: metrics, Policy: p.Policy,
		Store: store, Incarnation: uint64(clock().UnixNano()), LeaseTTL: s.LeaseTTL(),
		RetryBudget: s.Retries(),
		Directory:   platform.NewDirectory(store, nil), Dialect: platform.Dialect{}, Engines: platform.NewEngineClient(client, clock),
		Limits: frontend.Limits{LameDuck: lameDuck, DrainTimeout: s.Grace() - lameDuck - stopMargin},
	}
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
	cfg.PeerConn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(cfg.Self.Address))
	if err != nil {
		return cfg, fmt.Errorf("listen for peers: %w", err)
	}
	return cfg, nil
}

func listenMetrics(s *loader.Settings) (net.Listener, error) {
	return listen("metrics", netip.AddrPortFrom(s.Address, s.PeerPorts[1]).String())
}
