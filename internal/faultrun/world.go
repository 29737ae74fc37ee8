package faultrun

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/pipenet"
	"github.com/egretflow/egretflow/internal/stub/fault"
	"github.com/egretflow/egretflow/internal/stub/lister"
	"github.com/egretflow/egretflow/internal/stub/store"
	"github.com/egretflow/egretflow/storeclient"
)

// Ports of the hosts.
const (
	backendPort  = 8000
	callerPort   = 80
	peerPort     = 7000
	operatorPort = 9000
	platformPort = 2379
)

const (
	oneWay       = time.Millisecond
	storeLatency = 2 * time.Millisecond
	listLag      = 500 * time.Millisecond
)

// hostKind is the third byte of the address of a host.
type hostKind byte

// The kinds of hosts.
const (
	hostCaller hostKind = iota
	hostInstance
	hostPrefill
	hostDecode
	hostService
	hostPlatform
	hostOperator
)

func host(kind hostKind, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, 0, byte(kind), byte(n)})
}

var (
	storeAddress = netip.AddrPortFrom(host(hostPlatform, 1), platformPort)
	listAddress  = netip.AddrPortFrom(host(hostPlatform, 2), platformPort)
)

// world is the network with everything on it.
type world struct {
	opts    Options
	network *pipenet.Network
	store   *store.Store
	list    *lister.Lister
	// backends are the engines and services, engines first.
	backends  []*backend
	instances []*instance
	// hosts lists all hosts for faults of the whole network.
	hosts  []netip.Addr
	ledger *ledger
	report *Report
	closes []func()
	// running counts requests, edits and scheduled ends of faults.
	running sync.WaitGroup
	// editSeq numbers the edits.
	editSeq int

	mu      sync.Mutex
	records []*record
	edits   []acceptedEdit
	leaves  []leave
	// backendsDisturbed is the end of the effects of faults on backend servers.
	backendsDisturbed time.Time
}

func newWorld(opts Options, fleet fleetPlan, report *Report) *world {
	w := &world{
		opts: opts, network: pipenet.New(time.Now), report: report,
		store: store.New(store.Config{Latency: storeLatency, Clock: time.Now}),
		list:  lister.New(lister.Config{Lag: listLag, Clock: time.Now}),
	}
	w.ledger = newLedger()
	for n := range fleet.prefill {
		w.addEngine(egretflow.RolePrefill, hostPrefill, n)
	}
	for n := range fleet.decode {
		w.addEngine(egretflow.RoleDecode, hostDecode, n)
	}
	for n := range fleet.services {
		w.addService(n)
	}
	for n := range fleet.instances {
		w.instances = append(w.instances, &instance{w: w, n: n, host: host(hostInstance, n)})
		w.hosts = append(w.hosts, host(hostInstance, n))
	}
	w.hosts = append(w.hosts, storeAddress.Addr(), listAddress.Addr())
	w.setDelays()
	return w
}

func (w *world) setDelays() {
	for _, a := range w.hosts {
		for _, b := range w.hosts {
			w.network.SetDelay(a, b, oneWay)
		}
	}
}

// start serves the platform and the backends, writes the tables and starts the
// instances.
func (w *world) start(ctx context.Context) error {
	if err := w.serve(storeAddress, w.store, w.store.Faults); err != nil {
		return err
	}
	if err := w.serve(listAddress, w.list, w.list.Faults); err != nil {
		return err
	}
	for _, b := range w.backends {
		if err := w.serve(b.server.Address, w.ledger.observe(b, b.handler), b.faults); err != nil {
			return err
		}
		w.listBackend(b, egretflow.MemberStateLive)
	}
	if err := w.writeTables(ctx); err != nil {
		return err
	}
	for _, i := range w.instances {
		if err := i.start(); err != nil {
			return err
		}
	}
	return w.waitReady(ctx)
}

func (w *world) serve(address netip.AddrPort, handler http.Handler, faults *fault.Set) error {
	ln, err := w.network.Listen(address)
	if err != nil {
		return fmt.Errorf("serve stand-in: %w", err)
	}
	server := &http.Server{Handler: handler, ConnContext: faults.ConnContext, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = server.Serve(ln) }()
	w.closes = append(w.closes, func() { _ = server.Close() })
	return nil
}

func (w *world) listBackend(b *backend, state egretflow.MemberState) {
	w.list.Set(lister.Entry{
		Name: string(b.server.Name), Address: b.server.Address, FailureDomain: b.server.FailureDomain,
		Region: region, State: state, Kind: lister.KindBackendServer,
	})
}

func (w *world) writeTables(ctx context.Context) error {
	client, err := w.storeClient(w.network.Dialer(host(hostOperator, 0)))
	if err != nil {
		return err
	}
	document, err := json.Marshal(w.tables())
	if err != nil {
		return fmt.Errorf("encode tables: %w", err)
	}
	head, err := json.Marshal(egretflow.TablesHead{Revision: firstRevision})
	if err != nil {
		return fmt.Errorf("encode head: %w", err)
	}
	_, err = client.Commit(ctx, egretflow.StoreTxn{Writes: []egretflow.StoreWrite{
		{Key: egretflow.TablesDocumentKey, Value: document},
		{Key: egretflow.TablesHeadKey, Value: head},
	}})
	if err != nil {
		return fmt.Errorf("write tables: %w", err)
	}
	return nil
}

// dialFunc opens a connection.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// storeClient returns a client of the store; its connections end with the world.
func (w *world) storeClient(dial dialFunc) (egretflow.Store, error) {
	transport := &http.Transport{DialContext: dial}
	w.closes = append(w.closes, transport.CloseIdleConnections)
	client, err := storeclient.New(storeclient.Config{
		BaseURL: "http://" + storeAddress.String(), Client: &http.Client{Transport: transport}, Clock: time.Now,
	})
	if err != nil {
		return nil, fmt.Errorf("open store: %w", err)
	}
	if w.opts.Planted.Store != nil {
		return w.opts.Planted.Store(client), nil
	}
	return client, nil
}

const (
	readyWait = 15 * time.Second
	readyPoll = 50 * time.Millisecond
)

func (w *world) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	for _, i := range w.instances {
		for !i.ready() {
			if err := sleep(ctx, readyPoll); err != nil {
				return fmt.Errorf("wait until %s is ready: %w", i.name(), err)
			}
		}
	}
	return nil
}

// stop ends everything that is on the network. Connections that are silent
// would keep their goroutines, so all hosts are cut.
func (w *world) stop() {
	for _, i := range w.instances {
		i.kill()
	}
	for _, h := range w.hosts {
		w.network.Cut(h)
	}
	for _, b := range w.backends {
		b.faults.Clear()
	}
	for _, f := range w.closes {
		f()
	}
	for _, i := range w.instances {
		i.awaitEnd()
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
