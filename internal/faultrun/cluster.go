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

// Ports on which the hosts listen.
const (
	backendPort  = 8000
	callerPort   = 80
	peerPort     = 7000
	operatorPort = 9000
	platformPort = 2379
)

const (
	networkDelay = time.Millisecond
	storeLatency = 2 * time.Millisecond
	listLag      = 500 * time.Millisecond
)

// hostKind is the kind of a host. It is the third byte of the IP address.
type hostKind byte

// Kinds of hosts.
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

// cluster is an in-memory network with a fleet of instances, the stand-ins of
// their dependencies, and the callers and operators that use them.
type cluster struct {
	opts    Options
	network *pipenet.Network
	store   *store.Store
	list    *lister.Lister
	// backends holds the engines and services, engines first.
	backends  []*backend
	instances []*instance
	// hosts lists the hosts whose network delay is set and that stop cuts.
	hosts      []netip.Addr
	arrivalLog *arrivalLog
	report     *Report
	// running counts the requests, edits and scheduled ends of faults that have
	// not ended.
	running sync.WaitGroup
	// editSeq is the number of the last edit.
	editSeq int

	mu               sync.Mutex
	stopFuncs        []func()
	records          []*record
	edits            []acceptedEdit
	leaves           []leave
	silentConnection bool
	// leaveExemptions is in the order of the start times.
	leaveExemptions []leaveExemption
	// backendFaultsUntil is when the effects of all faults of backend servers
	// so far have ended.
	backendFaultsUntil time.Time
}

func newCluster(opts Options, fleet fleetPlan, report *Report) *cluster {
	cl := &cluster{
		opts: opts, network: pipenet.New(time.Now), report: report,
		store: store.New(store.Config{Latency: storeLatency, Clock: time.Now}),
		list:  lister.New(lister.Config{Lag: listLag, Clock: time.Now}),
	}
	cl.arrivalLog = newArrivalLog()
	for n := range fleet.prefill {
		cl.addEngine(egretflow.RolePrefill, hostPrefill, n)
	}
	for n := range fleet.decode {
		cl.addEngine(egretflow.RoleDecode, hostDecode, n)
	}
	for n := range fleet.services {
		cl.addService(n)
	}
	for n := range fleet.instances {
		cl.instances = append(cl.instances, &instance{cluster: cl, index: n, host: host(hostInstance, n)})
		cl.hosts = append(cl.hosts, host(hostInstance, n))
	}
	cl.hosts = append(cl.hosts, storeAddress.Addr(), listAddress.Addr())
	cl.setDelays()
	return cl
}

func (cl *cluster) setDelays() {
	for _, a := range cl.hosts {
		for _, b := range cl.hosts {
			cl.network.SetDelay(a, b, networkDelay)
		}
	}
}

// start serves the store, the list and the backend servers, writes the tables,
// starts the instances and waits until they are ready.
func (cl *cluster) start(ctx context.Context) error {
	if err := cl.serve(storeAddress, cl.store, cl.store.Faults); err != nil {
		return err
	}
	if err := cl.serve(listAddress, cl.list, cl.list.Faults); err != nil {
		return err
	}
	for _, b := range cl.backends {
		if err := cl.serve(b.server.Address, cl.arrivalLog.record(b, b.handler), b.faults); err != nil {
			return err
		}
		cl.listBackend(b, egretflow.MemberStateLive)
	}
	if err := cl.writeTables(ctx); err != nil {
		return err
	}
	for _, i := range cl.instances {
		if err := i.start(); err != nil {
			return err
		}
	}
	return cl.waitReady(ctx)
}

func (cl *cluster) serve(address netip.AddrPort, handler http.Handler, faults *fault.Set) error {
	ln, err := cl.network.Listen(address)
	if err != nil {
		return fmt.Errorf("serve stand-in: %w", err)
	}
	server := &http.Server{Handler: handler, ConnContext: faults.ConnContext, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = server.Serve(ln) }()
	cl.onStop(func() { _ = server.Close() })
	return nil
}

func (cl *cluster) listBackend(b *backend, state egretflow.MemberState) {
	cl.list.Set(lister.Entry{
		Name: string(b.server.Name), Address: b.server.Address, FailureDomain: b.server.FailureDomain,
		Region: region, State: state, Kind: lister.KindBackendServer,
	})
}

func (cl *cluster) writeTables(ctx context.Context) error {
	client, err := cl.storeClient(cl.network.Dialer(host(hostOperator, 0)))
	if err != nil {
		return err
	}
	document, err := json.Marshal(cl.tables())
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

// storeClient returns a client of the store that uses dial. The cluster closes
// its idle connections at the end.
func (cl *cluster) storeClient(dial dialFunc) (egretflow.Store, error) {
	transport := &http.Transport{DialContext: dial}
	cl.onStop(transport.CloseIdleConnections)
	client, err := storeclient.New(storeclient.Config{
		BaseURL: "http://" + storeAddress.String(), Client: &http.Client{Transport: transport}, Clock: time.Now,
	})
	if err != nil {
		return nil, fmt.Errorf("open store: %w", err)
	}
	if cl.opts.PlantedFaults.Store != nil {
		return cl.opts.PlantedFaults.Store(client), nil
	}
	return client, nil
}

const (
	readyWait = 15 * time.Second
	readyPoll = 50 * time.Millisecond
)

func (cl *cluster) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	for _, i := range cl.instances {
		for !i.ready() {
			if err := sleep(ctx, readyPoll); err != nil {
				return fmt.Errorf("wait until %s is ready: %w", i.name(), err)
			}
		}
	}
	return nil
}

// stop kills the instances and closes everything on the network. The hosts are
// cut because the goroutines of silent connections would not end otherwise.
func (cl *cluster) stop() {
	for _, i := range cl.instances {
		i.kill()
	}
	for _, h := range cl.hosts {
		cl.network.Cut(h)
	}
	for _, b := range cl.backends {
		b.faults.Clear()
	}
	cl.mu.Lock()
	stopFuncs := cl.stopFuncs
	cl.mu.Unlock()
	for _, f := range stopFuncs {
		f()
	}
	for _, i := range cl.instances {
		i.waitEnded()
	}
}

// onStop registers a function that stop calls.
func (cl *cluster) onStop(f func()) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.stopFuncs = append(cl.stopFuncs, f)
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
