package commander

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/stub/engine"
	"github.com/egretflow/egretflow/internal/stub/store"
	"github.com/egretflow/egretflow/internal/stub/stubtest"
	"github.com/egretflow/egretflow/storeclient"
)

const (
	testPool      = "assistant"
	sendOrderCall = "POST /orders"
	readLoadCall  = "GET /load"
)

// fleet is a pool of engines, a store and options.commanders commanders on an
// in-memory network.
type fleet struct {
	t          *testing.T
	hosts      *stubtest.Hosts
	store      *store.Store
	engines    map[egretflow.ServerName]*engine.Engine
	transports []*faultTransport

	mu     sync.Mutex
	tables egretflow.Tables
	load   RoleLoad
}

// faultTransport sends the requests of one commander to the engines and injects
// pauses and lost responses.
type faultTransport struct {
	next http.RoundTripper

	mu sync.Mutex
	// pause delays the next request with the method and path of pausedCall, as if
	// the process were paused there.
	pause      time.Duration
	pausedCall string
	// loseResponses is the number of next orders whose response is lost.
	loseResponses int
	orders        int
}

func (l *faultTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	pause, lose := l.takeFaults(r.Method + " " + r.URL.Path)
	if pause > 0 {
		time.Sleep(pause)
		r = r.WithContext(context.WithoutCancel(r.Context()))
	}
	resp, err := l.next.RoundTrip(r)
	if err == nil && lose {
		resp.Body.Close()
		return nil, errors.New("connection lost")
	}
	return resp, err
}

// takeFaults returns the faults that apply to a call and removes them. It counts
// the orders.
func (l *faultTransport) takeFaults(call string) (pause time.Duration, lose bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if call == l.pausedCall {
		pause, l.pause = l.pause, 0
	}
	if call == sendOrderCall {
		l.orders++
		if lose = l.loseResponses > 0; lose {
			l.loseResponses--
		}
	}
	return pause, lose
}

func (l *faultTransport) pauseAt(call string, pause time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pausedCall, l.pause = call, pause
}

func (l *faultTransport) loseNextResponses(responses int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loseResponses = responses
}

func (l *faultTransport) orderCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.orders
}

// options configure a fleet. maxLoads is Config.MaxConcurrentLoads. If loadSecs is
// not 0, a single load of the model takes that many seconds.
type options struct {
	checksFencing bool
	engines       int
	model         string
	loadSecs      int64
	commanders    int
	maxLoads      int
}

// runWithFleet runs a test with a fleet in virtual time. The first half of the
// engines has the role Prefill, the rest Decode.
func runWithFleet(t *testing.T, o options, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, hosts: stubtest.New(t), store: store.New(store.Config{Latency: time.Millisecond}),
			engines: map[egretflow.ServerName]*engine.Engine{}}
		f.hosts.Serve("10.0.9.9:80", f.store, f.store.Faults)
		pool := egretflow.Pool{Name: testPool, Kind: egretflow.PoolKindModel, Model: "m"}
		var weights *engine.WeightStore
		if o.loadSecs > 0 {
			weights = &engine.WeightStore{BytesPerSecond: 1000}
		}
		for n := range o.engines {
			s := egretflow.Server{
				Name: egretflow.ServerName(fmt.Sprintf("s%d", n)), Role: egretflow.RolePrefill, ChecksFencing: o.checksFencing,
				Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:80", n+1)),
			}
			if n >= o.engines/2 {
				s.Role = egretflow.RoleDecode
			}
			e := engine.New(engine.Config{Name: string(s.Name), Role: s.Role, Model: o.model, ChecksFencing: o.checksFencing,
				Weights: weights, ModelBytes: 1000 * o.loadSecs})
			f.engines[s.Name] = e
			f.hosts.Serve(s.Address.String(), e, e.Faults)
			pool.Servers = append(pool.Servers, s)
		}
		f.tables = egretflow.Tables{Revision: 1, Pools: []egretflow.Pool{pool}}
		ctx, stop := context.WithCancel(t.Context())
		var done sync.WaitGroup
		for n := range o.commanders {
			c := f.newCommander(n, o.maxLoads)
			done.Go(func() { _ = c.Run(ctx) })
			time.Sleep(400 * time.Millisecond) // keeps their ticks apart
		}
		test(t, f)
		stop()
		done.Wait()
	})
}

func (f *fleet) newCommander(n, maxLoads int) *Commander {
	host := fmt.Sprintf("10.0.1.%d", n+1)
	st, err := storeclient.New(storeclient.Config{BaseURL: "http://10.0.9.9:80", Client: f.hosts.Client(host), Clock: time.Now})
	if err != nil {
		f.t.Fatal(err)
	}
	l := &faultTransport{next: f.hosts.Client(host).Transport}
	f.transports = append(f.transports, l)
	c, err := New(Config{
		Instance: egretflow.InstanceName(host), Store: st, Tables: f, Client: &http.Client{Transport: l},
		Members:            func() []egretflow.Member { return nil },
		RoleLoad:           func(egretflow.PoolName) (RoleLoad, bool) { return f.roleLoad() },
		MaxConcurrentLoads: maxLoads, Clock: time.Now, Recorder: f,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	return c
}

// Record implements egretflow.Recorder.
func (f *fleet) Record(egretflow.Event) {}

// Subscribe implements egretflow.TablesSource.
func (f *fleet) Subscribe(func(*egretflow.Tables)) {}

// Current implements egretflow.TablesSource.
func (f *fleet) Current() egretflow.ActiveTables {
	f.mu.Lock()
	defer f.mu.Unlock()
	data, err := json.Marshal(f.tables.Pools)
	if err != nil {
		panic(err)
	}
	var tables egretflow.Tables
	if err := json.Unmarshal(data, &tables.Pools); err != nil {
		panic(err)
	}
	return egretflow.ActiveTables{Tables: &tables, Confirmed: true}
}

func (f *fleet) setRole(server int, role egretflow.Role) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tables.Pools[0].Servers[server].Role = role
}

func (f *fleet) setLoad(l RoleLoad) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.load = l
}

func (f *fleet) roleLoad() (RoleLoad, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.load, f.load != RoleLoad{}
}

// get decodes the JSON response of an engine to a GET request.
func (f *fleet) get(server int, path string, result any) {
	f.t.Helper()
	resp, err := f.hosts.Client("10.0.2.1").Get(fmt.Sprintf("http://10.0.0.%d:80%s", server+1, path))
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(result); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) state(server int) engine.OrderState {
	f.t.Helper()
	var s engine.OrderState
	f.get(server, "/orders", &s)
	return s
}

// startRequests starts one request on each of the first engines. Each runs for
// runFor.
func (f *fleet) startRequests(servers int, runFor time.Duration) {
	tokens := int(runFor / engine.DefaultTokenGap)
	for n := range servers {
		body := fmt.Sprintf(`{"model":"m","prompt":"p","max_tokens":%d}`, tokens)
		go func() {
			resp, err := f.hosts.Client("10.0.2.1").Post(fmt.Sprintf("http://10.0.0.%d:80/v1/completions", n+1), "application/json", strings.NewReader(body))
			if err == nil {
				resp.Body.Close()
			}
		}()
	}
}

func (f *fleet) wantRole(server int, want egretflow.Role) {
	f.t.Helper()
	if got := f.state(server); got.Role != want || got.Model != "m" {
		f.t.Errorf("server %d has role %s and model %q, want %s and m", server, got.Role, got.Model, want)
	}
}

// holderTransport returns the transport of the commander that has sent orders.
func (f *fleet) holderTransport() *faultTransport {
	if f.transports[0].orderCount() > 0 {
		return f.transports[0]
	}
	return f.transports[1]
}

// roles returns the number of engines per role, as the engines report it.
func (f *fleet) roles() map[egretflow.Role]int {
	f.t.Helper()
	counts := map[egretflow.Role]int{}
	for n := range f.engines {
		var index int
		if _, err := fmt.Sscanf(string(n), "s%d", &index); err != nil {
			f.t.Fatal(err)
		}
		counts[f.state(index).Role]++
	}
	return counts
}
