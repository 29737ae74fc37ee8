package loadgen

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/stub/engine"
	"github.com/pkg/errors"
)

const poolName egretflow.PoolName = "engines"

// backend is one stand-in engine with its HTTP server.
type backend struct {
	server egretflow.Server
	engine *engine.Engine
	http   *http.Server
}

// backends are the stand-in engines of one fleet.
type backends struct {
	deployment *Deployment
	list       []*backend
	errs       chan error
}

// startBackends starts the engines of a deployment on loopback addresses.
func startBackends(d *Deployment, clock egretflow.Clock, seed uint64) (*backends, error) {
	b := &backends{deployment: d, errs: make(chan error, d.Prefill+d.Decode)}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: decodeSlots}}
	for n := range d.Prefill + d.Decode {
		server := d.server(n)
		if err := b.start(server, clock, seed+uint64(n), client); err != nil {
			b.stop()
			return nil, fmt.Errorf("start engine %s: %w", server.Name, err)
		}
	}
	return b, nil
}

// server returns the description of the nth engine without its address, which
// start sets.
func (d *Deployment) server(n int) egretflow.Server {
	s := egretflow.Server{
		Name:                   egretflow.ServerName(fmt.Sprintf("prefill-%d", n)),
		FailureDomain:          d.FailureDomains[n%len(d.FailureDomains)],
		Role:                   egretflow.RolePrefill,
		Slots:                  prefillSlots,
		Blocks:                 engineBlocks,
		PrefillTokensPerSecond: prefillTokensPerSecond,
		LinkBytesPerSecond:     linkBytesPerSecond,
	}
	if n >= d.Prefill {
		s.Name = egretflow.ServerName(fmt.Sprintf("decode-%d", n-d.Prefill))
		s.Role = egretflow.RoleDecode
		s.Slots = decodeSlots
	}
	return s
}

func (b *backends) start(server egretflow.Server, clock egretflow.Clock, seed uint64, client *http.Client) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server.Address = netip.MustParseAddrPort(l.Addr().String())
	slots := server.Slots
	if server.Role == egretflow.RolePrefill {
		slots = decodeSlots
	}
	eng := engine.New(engine.Config{
		Name: string(server.Name), Role: server.Role, Model: string(b.deployment.Model),
		Address: server.Address, Slots: slots, Blocks: engineBlocks,
		PrefillTokensPerSecond: prefillTokensPerSecond, TokenGap: tokenGap,
		LinkBytesPerSecond: linkBytesPerSecond, KVBytesPerToken: kvBytesPerToken,
		PrefillRetention: prefillRetention, ReportLag: reportLag, RestartAfter: restartAfter,
		Clock: clock, Rand: rand.New(rand.NewPCG(seed, 1)), Client: client,
	})
	be := &backend{server: server, engine: eng, http: &http.Server{Handler: eng, ConnContext: eng.Faults.ConnContext}}
	b.list = append(b.list, be)
	go func() {
		if err := be.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			b.errs <- fmt.Errorf("serve engine %s: %w", server.Name, err)
		}
	}()
	return nil
}

func (b *backends) stop() {
	for _, be := range b.list {
		// Only closing the open connections of the load can fail.
		_ = be.http.Close()
	}
}

// wastedPrefillPercent returns the share of computed prompt tokens that no
// decode server imported or that belong to answers that were not whole. The
// latter are passed as unusedByClient.
func (b *backends) wastedPrefillPercent(unusedByClient int) float64 {
	computed, unused := 0, unusedByClient
	for _, be := range b.list {
		stats := be.engine.Stats()
		computed += stats.PrefillTokens
		unused += stats.PrefillTokensUnused
	}
	if computed == 0 {
		return 0
	}
	return 100 * float64(unused) / float64(computed)
}

// tables returns the tables of the fleet: one pool, and one route per
// importance.
func (b *backends) tables() *egretflow.Tables {
	d := b.deployment
	pool := egretflow.Pool{
		Name: poolName, Kind: egretflow.PoolKindModel, Model: d.Model,
		KVBytesPerToken: kvBytesPerToken, TokenGap: egretflow.Duration(tokenGap),
	}
	for _, be := range b.list {
		pool.Servers = append(pool.Servers, be.server)
	}
	t := &egretflow.Tables{Revision: 1, Pools: []egretflow.Pool{pool}}
	for _, class := range d.Classes {
		t.Routes = append(t.Routes, d.route(class))
	}
	return t
}

func (d *Deployment) route(class Class) egretflow.Route {
	r := egretflow.Route{
		Name:   egretflow.RouteName(class.Importance),
		Models: []egretflow.ModelName{d.Model}, Pool: poolName,
		Importance: class.Importance, Idempotent: true,
		FirstTokenTarget: egretflow.Duration(FirstTokenTarget), TokenTarget: egretflow.Duration(TokenTarget),
		RetryPercent: 10, HedgePercent: 5,
	}
	for n := range class.Callers {
		r.Callers = append(r.Callers, callerName(class.Importance, n))
	}
	return r
}

// runFaults sets the faults of a shape on random engines until ctx ends. The
// choice of faults and engines depends only on the seed.
func (b *backends) runFaults(ctx context.Context, shape Shape, clock egretflow.Clock, seed uint64) {
	schedule := faultSchedules[shape]
	if schedule.interval == 0 {
		return
	}
	rng := rand.New(rand.NewPCG(seed, 0xfa17))
	ticker := time.NewTicker(schedule.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			be := b.list[rng.IntN(len(b.list))]
			f := schedule.faults[rng.IntN(len(schedule.faults))]
			f.Until = clock().Add(schedule.duration)
			be.engine.Faults.Add(f)
		}
	}
}
