package loadgen

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/assembler"
	"github.com/egretflow/egretflow/authenticator"
	"github.com/egretflow/egretflow/internal/stub/lister"
	"github.com/egretflow/egretflow/internal/stub/store"
	"github.com/egretflow/egretflow/messenger"
	"github.com/egretflow/egretflow/storeclient"
	"github.com/egretflow/egretflow/supervisor"
)

const (
	peerKey      = "load-peer-key"
	listLag      = time.Second
	readyWait    = 10 * time.Second
	readyPoll    = 20 * time.Millisecond
	storeLatency = 2 * time.Millisecond
	stopTimeout  = 5 * time.Second
)

// fleet is a set of entry instances with the stand-ins of their platform.
type fleet struct {
	cfg       Config
	store     *httptest.Server
	list      *httptest.Server
	lister    *lister.Lister
	instances []*assembler.Instance
	urls      []string
	cancel    context.CancelFunc
	// stopErr joins the errors with which instances ended.
	stopErr error
	// instanceErrs receives the result of each instance when it ends.
	instanceErrs chan error
}

// startFleet starts the stand-ins of the platform and the instances. It returns
// when all instances are ready.
func startFleet(ctx context.Context, cfg Config, b *backends) (*fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &fleet{cfg: cfg, cancel: cancel, instanceErrs: make(chan error, cfg.Instances)}
	if err := f.startPlatform(ctx, b); err != nil {
		cancel()
		return nil, err
	}
	for n := range cfg.Instances {
		if err := f.startInstance(ctx, n); err != nil {
			f.stop()
			return nil, fmt.Errorf("start instance %d: %w", n, err)
		}
	}
	if err := f.waitReady(ctx); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

func (f *fleet) startPlatform(ctx context.Context, b *backends) error {
	f.store = httptest.NewServer(store.New(store.Config{Latency: storeLatency, Clock: f.cfg.Clock}))
	f.lister = lister.New(lister.Config{Lag: listLag, Clock: f.cfg.Clock})
	f.list = httptest.NewServer(f.lister)
	client, err := f.storeClient()
	if err != nil {
		return err
	}
	document, err := json.Marshal(b.tables())
	if err != nil {
		return fmt.Errorf("encode tables: %w", err)
	}
	head, err := json.Marshal(egretflow.TablesHead{Revision: 1})
	if err != nil {
		return fmt.Errorf("encode head of tables: %w", err)
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

func (f *fleet) storeClient() (*storeclient.Client, error) {
	client, err := storeclient.New(storeclient.Config{BaseURL: f.store.URL, Client: &http.Client{}, Clock: f.cfg.Clock})
	if err != nil {
		return nil, fmt.Errorf("open store: %w", err)
	}
	return client, nil
}

func (f *fleet) startInstance(ctx context.Context, n int) error {
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	verifier, err := messenger.NewKeyVerifier([]string{authenticator.Hash(peerKey)})
	if err != nil {
		return fmt.Errorf("create verifier of peers: %w", err)
	}
	client, err := f.storeClient()
	if err != nil {
		return err
	}
	inst, err := assembler.New(assembler.Config{
		Self: f.member(n, peers), Incarnation: 1, Clock: f.cfg.Clock,
		Rand: rand.New(rand.NewPCG(f.cfg.Seed, uint64(n))), Logger: f.cfg.Logger,
		Dial: (&net.Dialer{}).DialContext, Policy: f.cfg.Policy,
		Callers: authenticator.StaticKeys(callerKeys(f.cfg.Scenario.Deployment)), CallerListener: callers,
		Peers:   &assembler.PeerSettings{Listener: peers, Key: func() string { return peerKey }, Verifier: verifier},
		ListURL: f.list.URL + "/targets", Store: client,
	})
	if err != nil {
		return fmt.Errorf("assemble: %w", err)
	}
	f.instances = append(f.instances, inst)
	f.urls = append(f.urls, "http://"+callers.Addr().String())
	go func() { f.instanceErrs <- supervisor.Run(ctx, inst.Tasks()) }()
	return nil
}

// member returns the nth member and adds it to the platform's list.
func (f *fleet) member(n int, peers net.Listener) egretflow.Member {
	d := f.cfg.Scenario.Deployment
	m := egretflow.Member{
		Name:          egretflow.InstanceName(fmt.Sprintf("entry-%d", n)),
		Address:       netip.MustParseAddrPort(peers.Addr().String()),
		FailureDomain: d.FailureDomains[n%len(d.FailureDomains)],
		Region:        d.Region,
		State:         egretflow.MemberStateLive,
	}
	f.lister.Set(lister.Entry{
		Name: string(m.Name), Address: m.Address, FailureDomain: m.FailureDomain, Region: m.Region,
		State: m.State, Kind: lister.KindInstance,
	})
	return m
}

func callerKeys(d *Deployment) map[string]string {
	keys := map[string]string{}
	for _, class := range d.Classes {
		for n := range class.Callers {
			caller := callerName(class.Importance, n)
			keys[callerKey(caller)] = string(caller)
		}
	}
	return keys
}

func (f *fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	for _, inst := range f.instances {
		for !inst.Ready() {
			if err := wait(ctx, readyPoll); err != nil {
				return fmt.Errorf("wait until instances are ready: %w", err)
			}
		}
	}
	return nil
}

// peerBytes returns the number of bytes that all instances have written to
// their peers.
func (f *fleet) peerBytes() int64 {
	var sum int64
	for _, inst := range f.instances {
		written, _ := inst.PeerTraffic()
		sum += written
	}
	return sum
}

// stop ends the instances, waiting for them up to stopTimeout, and closes the
// stand-ins of the platform.
func (f *fleet) stop() {
	f.cancel()
	deadline := time.After(stopTimeout)
	for range f.instances {
		select {
		case err := <-f.instanceErrs:
			f.stopErr = errors.Join(f.stopErr, err)
		case <-deadline:
		}
	}
	f.store.CloseClientConnections()
	f.store.Close()
	f.list.CloseClientConnections()
	f.list.Close()
}
