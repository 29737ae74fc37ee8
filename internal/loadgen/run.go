package loadgen

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/picker"
)

// Config configures one run.
type Config struct {
	Scenario  *Scenario
	Policy    picker.Policy
	Instances int
	Seed      uint64
	Clock     egretflow.Clock
	// Logger receives the events of the instances; nil discards them.
	Logger *logrus.Logger
}

const (
	// clientTimeout is the timeout of one request, including its answer.
	clientTimeout = 20 * time.Second
	// settleTime is the time before the first arrival in which instances
	// exchange grants and load reports.
	settleTime = 3 * time.Second
)

// Run sends the arrivals of a seed to a fleet with one policy and returns its
// measures.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	b, err := startBackends(cfg.Scenario.Deployment, cfg.Clock, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("start backend servers: %w", err)
	}
	defer b.stop()
	f, err := startFleet(ctx, cfg, b)
	if err != nil {
		return nil, fmt.Errorf("start instances: %w", err)
	}
	result, err := runFleet(ctx, cfg, b, f)
	f.stop()
	if err == nil && f.stopErr != nil {
		err = fmt.Errorf("stop instances: %w", f.stopErr)
	}
	return result, err
}

func runFleet(ctx context.Context, cfg Config, b *backends, f *fleet) (*Result, error) {
	if err := wait(ctx, settleTime); err != nil {
		return nil, err
	}
	faultCtx, stopFaults := context.WithCancel(ctx)
	defer stopFaults()
	go b.runFaults(faultCtx, cfg.Scenario.Shape, cfg.Clock, cfg.Seed)
	return sendAll(ctx, cfg, b, f)
}

func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return fmt.Errorf("wait: %w", ctx.Err())
	case <-timer.C:
		return nil
	}
}

// sendAll sends every arrival at its time, whether or not earlier ones were
// answered, and collects the answers.
func sendAll(ctx context.Context, cfg Config, b *backends, f *fleet) (*Result, error) {
	arrivals := Arrivals(cfg.Scenario, cfg.Instances, cfg.Seed)
	client := &Client{
		HTTP:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: len(arrivals)}, Timeout: clientTimeout},
		Model: cfg.Scenario.Deployment.Model, Clock: cfg.Clock, Key: callerKey,
	}
	finished := make(chan finishedRequest, len(arrivals))
	var wg sync.WaitGroup
	start, written := cfg.Clock(), f.peerBytes()
	for n := range arrivals {
		a := &arrivals[n]
		if err := wait(ctx, start.Add(a.After).Sub(cfg.Clock())); err != nil {
			return nil, err
		}
		wg.Go(func() {
			sentAt := cfg.Clock()
			finished <- finishedRequest{a, sentAt, client.Send(ctx, f.urls[a.Instance], a)}
		})
	}
	written = f.peerBytes() - written
	elapsed := cfg.Clock().Sub(start)
	wg.Wait()
	close(finished)
	r := collect(cfg, b, finished)
	r.PeerBytesPerSecond = float64(written) / float64(cfg.Instances) / elapsed.Seconds()
	return r, nil
}

func collect(cfg Config, b *backends, finished <-chan finishedRequest) *Result {
	m := newMeasurement(Result{Scenario: cfg.Scenario.Name(), Policy: string(cfg.Policy), Seed: cfg.Seed})
	var measured time.Duration
	for _, p := range cfg.Scenario.Phases {
		if p.Measured {
			measured += p.Length
		}
	}
	for f := range finished {
		m.add(f)
	}
	r := m.finish(measured)
	r.WastedPrefillPercent = b.wastedPrefillPercent(0)
	return r
}

func callerKey(c egretflow.CallerName) string { return "key-" + string(c) }
