package faultrun

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/stub/engine"
	"github.com/egretflow/egretflow/internal/stub/fault"
	"github.com/egretflow/egretflow/internal/stub/service"
)

const (
	modelName     egretflow.ModelName = "letter-writers"
	modelPool     egretflow.PoolName  = "letters"
	servicePool   egretflow.PoolName  = "desk"
	region        egretflow.Region    = "tz-north"
	firstRevision egretflow.Revision  = 1
)

// Settings of the stand-in engines and services. Rates are in tokens/s and
// bytes/s. The engines are small, so that the load of a run fills them.
const (
	tokenGap            = 25 * time.Millisecond
	decodeSlots         = 8
	prefillSlots        = 4
	engineBlocks        = 1000
	prefillRate         = 4000
	linkRate            = 64 << 20
	kvBytesPerToken     = 64 << 10
	serviceSlots        = 10
	serviceLatency      = 30 * time.Millisecond
	engineRestart       = 2 * time.Second
	longestAnswerTokens = 1200
)

var failureDomains = []egretflow.FailureDomain{"moshi-lab", "arusha-depot", "moshi-annex"}

// backend is a stand-in for a backend server: an engine or a service.
type backend struct {
	server  egretflow.Server
	handler http.Handler
	faults  *fault.Set
	// engine is nil for a service, service for an engine.
	engine  *engine.Engine
	service *service.Service
}

func (cl *cluster) addEngine(role egretflow.Role, kind hostKind, n int) {
	address := netip.AddrPortFrom(host(kind, n), backendPort)
	transport := &http.Transport{DialContext: cl.network.Dialer(address.Addr())}
	cl.onStop(transport.CloseIdleConnections)
	slots := decodeSlots
	if role == egretflow.RolePrefill {
		slots = prefillSlots
	}
	name := fmt.Sprintf("%s-%d", strings.ToLower(string(role)), n)
	e := engine.New(engine.Config{
		Name: name, Role: role, Model: string(modelName), Address: address, Slots: decodeSlots, Blocks: engineBlocks,
		PrefillTokensPerSecond: prefillRate, TokenGap: tokenGap, LinkBytesPerSecond: linkRate,
		KVBytesPerToken: kvBytesPerToken, RestartAfter: engineRestart, Clock: time.Now,
		Rand: rand.New(rand.NewPCG(cl.opts.Seed, uint64(len(cl.backends)))), Client: &http.Client{Transport: transport},
	})
	cl.hosts = append(cl.hosts, address.Addr())
	cl.backends = append(cl.backends, &backend{
		handler: e, faults: e.Faults, engine: e,
		server: egretflow.Server{
			Name: egretflow.ServerName(name), Address: address, FailureDomain: failureDomains[n%len(failureDomains)],
			Role: role, Slots: slots, Blocks: engineBlocks, PrefillTokensPerSecond: prefillRate, LinkBytesPerSecond: linkRate,
		},
	})
}

func (cl *cluster) addService(n int) {
	address := netip.AddrPortFrom(host(hostService, n), backendPort)
	name := fmt.Sprintf("desk-%d", n)
	s := service.New(service.Config{Name: name, Latency: serviceLatency, Slots: serviceSlots, Clock: time.Now})
	cl.hosts = append(cl.hosts, address.Addr())
	cl.backends = append(cl.backends, &backend{
		handler: s, faults: s.Faults, service: s,
		server: egretflow.Server{
			Name: egretflow.ServerName(name), Address: address, FailureDomain: failureDomains[n%len(failureDomains)],
			Role: egretflow.RoleService, Slots: serviceSlots,
		},
	})
}

// tables returns the first revision of the tables.
func (cl *cluster) tables() *egretflow.Tables {
	target := egretflow.Duration(1500 * time.Millisecond)
	t := &egretflow.Tables{
		Revision: firstRevision,
		Pools: []egretflow.Pool{
			{
				Name: modelPool, Kind: egretflow.PoolKindModel, Model: modelName, KVBytesPerToken: kvBytesPerToken,
				TokenGap: egretflow.Duration(tokenGap),
			},
			{Name: servicePool, Kind: egretflow.PoolKindService},
		},
		Routes: []egretflow.Route{
			{
				Name: "letters", Callers: []egretflow.CallerName{"clerk"}, Models: []egretflow.ModelName{modelName},
				Pool: modelPool, Importance: egretflow.ImportanceHigh, Idempotent: true, FirstTokenTarget: target,
				RetryPercent: 20, HedgePercent: 5,
			},
			{
				Name: "prices", Callers: []egretflow.CallerName{"clerk"}, PathPrefix: "/prices", Pool: servicePool,
				Importance: egretflow.ImportanceNormal, Idempotent: true, FirstTokenTarget: target, RetryPercent: 20, HedgePercent: 5,
			},
			{
				Name: "orders", Callers: []egretflow.CallerName{"clerk"}, PathPrefix: "/orders", Pool: servicePool,
				Importance: egretflow.ImportanceCritical, FirstTokenTarget: target, RetryPercent: 20,
			},
		},
	}
	for _, b := range cl.backends {
		pool := &t.Pools[0]
		if b.service != nil {
			pool = &t.Pools[1]
		}
		pool.Servers = append(pool.Servers, b.server)
	}
	return t
}
