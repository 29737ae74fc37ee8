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
	// Interval is the time between two requests to a server.
	Interval = time.Second
	// UrgentInterval replaces Interval while grants wait for a load report.
	UrgentInterval = 500 * time.Millisecond
	// SlowInterval replaces Interval while responses carry the load. A report is
	// up to 1 s old, and the grants that stop new work are sent within a heartbeat
	// interval of 500 ms; the sum of the three must stay below the 3 s of (9.2).
	SlowInterval = 1250 * time.Millisecond
	// MaxReportAge is the greatest age of a measurement when its report arrives.
	MaxReportAge = 1500 * time.Millisecond
	// MaxConcurrentRequests bounds the requests in flight to all servers.
	MaxConcurrentRequests = 32

	tickInterval   = 100 * time.Millisecond
	requestTimeout = time.Second
	maxBodyBytes   = 4 << 10
	messageBuffer  = 256
)

// Config holds the dependencies of a Poller.
type Config struct {
	// Servers returns the servers to poll. It is called at each tick.
	Servers func() []exchanger.OwnedServer
	Client  *http.Client
	Clock   egretflow.Clock
	// Observers receive each load report: the scheduler, the exchanger and the
	// tracker.
	Observers []func(egretflow.Observation)
	// TLS reports whether the servers of a pool use TLS; nil means that none does.
	TLS func(egretflow.PoolName) bool
}

// Poller requests load reports from backend servers.
type Poller struct {
	cfg      Config
	messages chan message
	stopped  chan struct{}
}

// message is received by Run: loadReceivedMessage or requestDoneMessage.
type message interface{ isMessage() }

type (
	// loadReceivedMessage is sent when a response to a caller's request carried
	// the load of a server.
	loadReceivedMessage struct {
		server egretflow.ServerName
		at     time.Time
	}
	// requestDoneMessage is sent when a load request ends; report is nil if it
	// failed.
	requestDoneMessage struct {
		server egretflow.ServerName
		report *egretflow.LoadReport
	}
)

func (loadReceivedMessage) isMessage() {}
func (requestDoneMessage) isMessage()  {}

// New returns a poller that does nothing until Run is called.
func New(cfg Config) *Poller {
	return &Poller{cfg: cfg, messages: make(chan message, messageBuffer), stopped: make(chan struct{})}
}

// LoadReceived records that a response at time at carried the load of a server. It
// does not block: if the queue is full, the call has no effect and the server is
// polled more often.
func (p *Poller) LoadReceived(server egretflow.ServerName, at time.Time) {
	select {
	case p.messages <- loadReceivedMessage{server, at}:
	default:
	}
}

// target holds the polling state of one server.
type target struct {
	inFlight       bool
	requestedAt    time.Time
	loadReceivedAt time.Time
}

// due reports whether a request is to be sent now.
func (t *target) due(urgent bool, now time.Time) bool {
	interval := Interval
	switch {
	case t.inFlight:
		return false
	case urgent:
		interval = UrgentInterval
	case now.Sub(t.loadReceivedAt) < Interval:
		interval = SlowInterval
	}
	return now.Sub(t.requestedAt) >= interval
}

// Run polls the servers until ctx ends. It must be called once.
func (p *Poller) Run(ctx context.Context) error {
	defer close(p.stopped)
	var requests sync.WaitGroup
	defer requests.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	targets := map[egretflow.ServerName]*target{}
	inFlight := 0
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-p.messages:
			switch m := m.(type) {
			case loadReceivedMessage:
				if t := targets[m.server]; t != nil {
					t.loadReceivedAt = m.at
				}
			case requestDoneMessage:
				inFlight--
				if t := targets[m.server]; t != nil {
					t.inFlight = false
				}
				p.deliver(m.report)
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
				if inFlight < MaxConcurrentRequests && t.due(s.NeedsLoad, now) {
					t.inFlight, t.requestedAt = true, now
					inFlight++
					requests.Go(func() { p.poll(ctx, s) })
				}
			}
			targets = next
		}
	}
}

// deliver passes report to all Observers; nil is ignored.
func (p *Poller) deliver(report *egretflow.LoadReport) {
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
	for _, observer := range p.cfg.Observers {
		observer(o)
	}
}

// poll requests one load report and sends the result to Run.
func (p *Poller) poll(ctx context.Context, s exchanger.OwnedServer) {
	report, err := p.read(ctx, s)
	if err != nil {
		report = nil
	}
	select {
	case p.messages <- requestDoneMessage{s.Server.Name, report}:
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
		return nil, fmt.Errorf("create load request: %w", err)
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
	if oldest := now.Add(-MaxReportAge); measuredAt.After(now) || measuredAt.Before(oldest) {
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
