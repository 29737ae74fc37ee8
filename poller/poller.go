package poller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/exchanger"
)

const (
	// Interval is the time between two readings of a server.
	Interval = time.Second
	// UrgentInterval applies while grants wait for a load report.
	UrgentInterval = 500 * time.Millisecond
	// SlowInterval applies while responses carry the load. A report is up to 1 s
	// old, and the grants that stop new work follow within a heartbeat of 500 ms;
	// together they have to stay below the 3 s of (9.2).
	SlowInterval = 1250 * time.Millisecond
	// MaxLag is the longest time between a reading and its report.
	MaxLag = 1500 * time.Millisecond
	// MaxOpen bounds the requests at a time.
	MaxOpen = 32

	tickInterval   = 100 * time.Millisecond
	requestTimeout = time.Second
	maxBodyBytes   = 4 << 10
	messageBuffer  = 256
)

// Config is what a poller needs.
type Config struct {
	// Servers returns the servers to ask.
	Servers func() []exchanger.OwnedServer
	Client  *http.Client
	Clock   egretflow.Clock
	// Sinks get each reading: the scheduler, the exchanger and the tracker.
	Sinks []func(egretflow.Observation)
	// TLS says for a pool whether its servers speak TLS.
	TLS func(egretflow.PoolName) bool
}

// Poller asks backend servers for their load.
type Poller struct {
	cfg      Config
	messages chan message
	stopped  chan struct{}
}

// message is one of the types below.
type message interface{ isMessage() }

type (
	// sawMessage says that traffic carried the load of a server.
	sawMessage struct {
		server egretflow.ServerName
		at     time.Time
	}
	// doneMessage ends a request; report is nil if it failed.
	doneMessage struct {
		server egretflow.ServerName
		report *egretflow.LoadReport
	}
)

func (sawMessage) isMessage()  {}
func (doneMessage) isMessage() {}

// New returns a poller that does nothing until Run is called.
func New(cfg Config) *Poller {
	return &Poller{cfg: cfg, messages: make(chan message, messageBuffer), stopped: make(chan struct{})}
}

// SawLoad says that a response carried the load of a server. A message that
// finds the queue full is dropped: the server is then asked more often.
func (p *Poller) SawLoad(server egretflow.ServerName, at time.Time) {
	select {
	case p.messages <- sawMessage{server, at}:
	default:
	}
}

// target is the schedule of one server.
type target struct {
	open    bool
	askedAt time.Time
	sawAt   time.Time
}

func (t *target) due(urgent bool, now time.Time) bool {
	interval := Interval
	switch {
	case t.open:
		return false
	case urgent:
		interval = UrgentInterval
	case now.Sub(t.sawAt) < Interval:
		interval = SlowInterval
	}
	return now.Sub(t.askedAt) >= interval
}

// Run asks until ctx ends. It must be called once.
func (p *Poller) Run(ctx context.Context) error {
	defer close(p.stopped)
	var calls sync.WaitGroup
	defer calls.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	targets := map[egretflow.ServerName]*target{}
	open := 0
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-p.messages:
			switch m := m.(type) {
			case sawMessage:
				if t := targets[m.server]; t != nil {
					t.sawAt = m.at
				}
			case doneMessage:
				open--
				if t := targets[m.server]; t != nil {
					t.open = false
				}
				p.pass(m.report)
			}
		case <-ticker.C:
			next := map[egretflow.ServerName]*target{}
			now := p.cfg.Clock()
			for _, s := range p.cfg.Servers() {
				if s.Kind != egretflow.PoolKindModel {
					continue
				}
				t := targets[s.Server.Name]
				if t == nil {
					t = &target{}
				}
				next[s.Server.Name] = t
				if open < MaxOpen && t.due(s.NeedsLoad, now) {
					t.open, t.askedAt = true, now
					open++
					calls.Go(func() { p.ask(ctx, s) })
				}
			}
			targets = next
		}
	}
}

func (p *Poller) pass(report *egretflow.LoadReport) {
	if report == nil {
		return
	}
	o := egretflow.Observation{
		Kind:      egretflow.ObservationLoad,
		Server:    report.Server,
		StartedAt: report.MeasuredAt,
		EndedAt:   p.cfg.Clock(),
		Load:      report,
	}
	for _, sink := range p.cfg.Sinks {
		sink(o)
	}
}

func (p *Poller) ask(ctx context.Context, s exchanger.OwnedServer) {
	report, err := p.read(ctx, s)
	if err != nil {
		report = nil
	}
	select {
	case p.messages <- doneMessage{s.Server.Name, report}:
	case <-ctx.Done():
	}
}

// loadBody is the load report of an engine (docs/engine-protocol.md).
type loadBody struct {
	Running    int            `json:"running"`
	Waiting    int            `json:"waiting"`
	FreeBlocks int            `json:"free_blocks"`
	Role       egretflow.Role `json:"role"`
	Draining   bool           `json:"draining"`
	MeasuredAt time.Time      `json:"measured_at"`
}

func (p *Poller) read(ctx context.Context, s exchanger.OwnedServer) (*egretflow.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	scheme := "http"
	if p.cfg.TLS != nil && p.cfg.TLS(s.Pool) {
		scheme = "https"
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, scheme+"://"+s.Server.Address.String()+"/load", nil)
	if err != nil {
		return nil, fmt.Errorf("make load request: %w", err)
	}
	response, err := p.cfg.Client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("read load of %s: %w", s.Server.Name, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("read load of %s: status %d", s.Server.Name, response.StatusCode)
	}
	return decodeLoad(io.LimitReader(response.Body, maxBodyBytes), s.Server.Name, p.cfg.Clock())
}

// decodeLoad decodes a load report that was received at now.
func decodeLoad(r io.Reader, server egretflow.ServerName, now time.Time) (*egretflow.LoadReport, error) {
	var body loadBody
	if err := json.NewDecoder(r).Decode(&body); err != nil {
		return nil, fmt.Errorf("decode load of %s: %w", server, err)
	}
	if body.Running < 0 || body.Waiting < 0 || body.FreeBlocks < 0 {
		return nil, fmt.Errorf("decode load of %s: negative count", server)
	}
	measuredAt := body.MeasuredAt
	if oldest := now.Add(-MaxLag); measuredAt.After(now) || measuredAt.Before(oldest) {
		measuredAt = oldest
	}
	return &egretflow.LoadReport{
		Server:     server,
		MeasuredAt: measuredAt,
		Running:    body.Running,
		Waiting:    body.Waiting,
		FreeBlocks: body.FreeBlocks,
		Role:       body.Role,
		Draining:   body.Draining,
	}, nil
}
