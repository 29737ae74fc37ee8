package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/checker"
	"github.com/egretflow/egretflow/explainer"
	"github.com/egretflow/egretflow/frontend"
	"github.com/egretflow/egretflow/recorder"
	"github.com/egretflow/egretflow/relayer"
	"github.com/egretflow/egretflow/scheduler"
	"github.com/egretflow/egretflow/supervisor"
	"github.com/sirupsen/logrus"
)

// instance is the parts of an entry instance on its request path.
type instance struct {
	name      egretflow.InstanceName
	explainer *explainer.Explainer
	metrics   *recorder.Metrics
	checker   *checker.Checker
	scheduler *scheduler.Scheduler
	relayer   *relayer.Relayer
	frontend  *frontend.Frontend
}

// instanceConfig is what differs between the demo and a served instance.
type instanceConfig struct {
	name    egretflow.InstanceName
	tables  func() *egretflow.Tables
	callers frontend.Identifier
	limits  frontend.Limits
	logger  *logrus.Logger
}

func newInstance(cfg instanceConfig) (*instance, error) {
	i := &instance{name: cfg.name, explainer: explainer.New(explainer.DefaultEvents, cfg.logger)}
	var err error
	if i.metrics, err = recorder.New(); err != nil {
		return nil, fmt.Errorf("create metrics: %w", err)
	}
	clock := egretflow.SystemClock
	i.checker = checker.New(cfg.name, clock, i.explainer, i.metrics.InvariantViolated)
	i.scheduler = scheduler.New(scheduler.Config{
		Instance: cfg.name, Clock: clock, Rand: newRand(), Recorder: i.explainer, Checker: i.checker,
	})
	dialer := &net.Dialer{}
	i.relayer = relayer.New(relayer.Config{
		Instance: cfg.name, Scheduler: i.scheduler, Recorder: i.explainer, Checker: i.checker, Clock: clock,
		Rand: newRand(), Dial: dialer.DialContext, Wasted: i.metrics.WastedPrefill,
	})
	i.frontend = frontend.New(frontend.Config{
		Instance: cfg.name, Relayer: i.relayer, Tables: cfg.tables, Callers: cfg.callers, Recorder: i.explainer,
		Checker: i.checker, Metrics: i.metrics, Clock: clock, Rand: newRand(), Limits: cfg.limits,
	})
	return i, nil
}

// tasks returns the tasks of the request path in their start order.
func (i *instance) tasks(ln net.Listener) []supervisor.Task {
	return []supervisor.Task{
		{Name: "explainer", Run: i.explainer.Run},
		{Name: "scheduler", Run: i.scheduler.Run},
		{Name: "relayer", Run: func(ctx context.Context) error {
			<-ctx.Done()
			i.relayer.Close()
			return nil
		}},
		{Name: "frontend", Run: func(ctx context.Context) error { return i.frontend.Serve(ctx, ln) }},
	}
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
