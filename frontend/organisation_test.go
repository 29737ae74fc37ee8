package frontend_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/checker"
	"github.com/egretflow/egretflow/frontend"
	"github.com/egretflow/egretflow/platform"
	"github.com/egretflow/egretflow/recorder"
	"github.com/egretflow/egretflow/relayer"
)

// organisationHeader names the organisation to backend servers.
const organisationHeader = "X-Tenant"

// identifiedWorld is an instance that identifies callers, and a server that notes the
// headers and trailers of the requests that it runs.
type identifiedWorld struct {
	url    string
	tables *egretflow.Tables
	state  egretflow.ConfigurationState

	mu     sync.Mutex
	ran    []http.Header
	events []string
}

// Record implements egretflow.Recorder.
func (x *identifiedWorld) Record(e egretflow.Event) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.events = append(x.events, fmt.Sprint(e))
}

func newIdentifiedWorld(t *testing.T) *identifiedWorld {
	x := &identifiedWorld{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		header := r.Header.Clone()
		_, _ = io.Copy(io.Discard, r.Body)
		maps.Copy(header, r.Trailer)
		x.mu.Lock()
		x.ran = append(x.ran, header)
		x.mu.Unlock()
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Stamp", "s")
		_, _ = io.WriteString(w, "done")
	}))
	t.Cleanup(server.Close)
	backend := netip.MustParseAddrPort(server.Listener.Addr().String())
	minute := egretflow.Duration(time.Minute)
	x.tables = &egretflow.Tables{
		Revision: 1,
		Pools:    []egretflow.Pool{{Name: "desk", Kind: egretflow.PoolKindService, Servers: []egretflow.Server{{Name: "s", Address: backend, Role: egretflow.RoleService, Slots: 4}}}},
		Routes: []egretflow.Route{
			{Name: "orders", Host: "h", PathPrefix: "/orders/", Pool: "desk", Timeout: minute},
			{Name: "open", Host: "h", PathPrefix: "/open/", Pool: "desk", Timeout: minute, Public: true},
		},
		Organisations: []egretflow.Organisation{
			{Name: "alpha", Keys: []egretflow.KeyHash{egretflow.HashKey("key-a"), egretflow.HashKey("key-a2")}},
			{Name: "beta", Keys: []egretflow.KeyHash{egretflow.HashKey("key-b")}},
		},
	}
	metrics, err := recorder.New()
	if err != nil {
		t.Fatal(err)
	}
	check := checker.New("i", time.Now, x, nil)
	f := frontend.New(frontend.Config{
		Instance: "i", Tables: func() *egretflow.Tables { return x.tables }, Configuration: func() egretflow.ConfigurationState { return x.state },
		Relayer: relayer.New(relayer.Config{
			Instance: "i", Scheduler: newFakeScheduler(x.tables, 1), Recorder: x, Checker: check, Clock: time.Now,
			Rand: rand.New(rand.NewPCG(1, 1)), Dial: (&net.Dialer{}).DialContext, Dialect: platform.Dialect{},
		}),
		Recorder: x, Checker: check, Metrics: metrics, Clock: time.Now, Rand: rand.New(rand.NewPCG(1, 1)), Dialect: platform.Dialect{},
	})
	entry := httptest.NewServer(f)
	t.Cleanup(entry.Close)
	x.url = entry.URL
	return x
}

// organisationCase is one case of testdata/organisations.json.
type organisationCase struct {
	Name          string
	Path          string
	Authorization []string
	// Forged is the name of an organisation that the caller sends itself.
	Forged string
	// Behind reports whether a newer configuration is known. ConfirmedMS is the age of
	// the last confirmation of the configuration.
	Behind      bool
	ConfirmedMS int
	Status      int
	// Organisation is what the server must be told; empty if nothing.
	Organisation string
}

// run sends the request of c and returns its status and the headers with which the
// server ran it, or nil.
func (x *identifiedWorld) run(t *testing.T, c *organisationCase, id string) (int, http.Header) {
	t.Helper()
	x.state = egretflow.ConfigurationState{Version: 2, KnownVersion: 2, ConfirmedAt: time.Now().Add(-time.Duration(c.ConfirmedMS) * time.Millisecond)}
	if c.Behind {
		x.state.KnownVersion = 3
	}
	path := c.Path
	if path == "" {
		path = "/orders/1"
	}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, x.url+path, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("X-Request-Id", id)
	for _, value := range c.Authorization {
		req.Header.Add("Authorization", value)
	}
	if c.Forged != "" {
		req.Header.Set(organisationHeader, c.Forged)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, h := range x.ran {
		if h.Get("X-Request-Id") == id {
			return resp.StatusCode, h
		}
	}
	return resp.StatusCode, nil
}

// Guards against requests without a known key that run, against keys and forged names
// that reach a backend server, and against a final answer by an old configuration.
func TestOrganisations(t *testing.T) {
	data, err := os.ReadFile("testdata/organisations.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []organisationCase
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	x := newIdentifiedWorld(t)
	for n := range cases {
		c := &cases[n]
		status, ran := x.run(t, c, fmt.Sprintf("r%d", n))
		if status != c.Status {
			t.Errorf("%s: status %d, want %d", c.Name, status, c.Status)
		}
		if (ran != nil) != (c.Status == http.StatusOK) {
			t.Errorf("%s: the server ran it: %v", c.Name, ran != nil)
		}
		if got := strings.Join(ran.Values(organisationHeader), ","); got != c.Organisation {
			t.Errorf("%s: the server is told %q, want %q", c.Name, got, c.Organisation)
		}
		if got := ran.Values("Authorization"); len(got) > 0 {
			t.Errorf("%s: the key reaches the server: %q", c.Name, got)
		}
	}
	recorded := strings.Join(x.events, "\n")
	if !strings.Contains(recorded, "alpha") {
		t.Error("no event names the organisation")
	}
	if strings.Contains(strings.ToLower(recorded), "key-") {
		t.Errorf("an event holds a key:\n%s", recorded)
	}
}

// Guards against tables that name no organisation, but drop the headers that callers of
// such deployments send to their servers.
func TestWithoutOrganisationsHeadersPass(t *testing.T) {
	x := newIdentifiedWorld(t)
	x.tables.Organisations = nil
	status, ran := x.run(t, &organisationCase{Authorization: []string{"Basic own"}, Forged: "own"}, "r1")
	if status != http.StatusOK || ran.Get("Authorization") != "Basic own" || ran.Get(organisationHeader) != "own" {
		t.Errorf("status %d, headers %v", status, ran)
	}
}

// Guards against a key that is served after it was removed, or not after it was added
// again, on a connection that the caller keeps open.
func TestKeysFollowTables(t *testing.T) {
	x := newIdentifiedWorld(t)
	c := &organisationCase{Authorization: []string{"Bearer key-b"}}
	withKey, without := x.tables, *x.tables
	without.Organisations = withKey.Organisations[:1]
	for n, step := range []struct {
		tables *egretflow.Tables
		status int
	}{{withKey, 200}, {&without, 401}, {withKey, 200}} {
		x.tables = step.tables
		if status, _ := x.run(t, c, fmt.Sprintf("s%d", n)); status != step.status {
			t.Errorf("step %d: status %d, want %d", n, status, step.status)
		}
	}
}

// rawCase is one case of testdata/unusualheaders.json.
type rawCase struct {
	Name string
	// Lines is what the caller sends on one connection.
	Lines    []string
	Statuses []int
	// Told is the organisation that the server is told for each request that runs; empty
	// for none.
	Told []string
}

// statuses sends lines on one connection and returns the statuses of n responses.
func (x *identifiedWorld) statuses(t *testing.T, lines []string, n int) []int {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(x.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, strings.Join(lines, "\r\n"))
	r := bufio.NewReader(conn)
	var list []int
	for range n {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("after %v: %v", list, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		list = append(list, resp.StatusCode)
	}
	return list
}

// Guards against a caller that chooses the organisation which the server is told, or sends
// it a key, by a header that is repeated, spelled differently, named in Connection or sent
// as a trailer, or by the place of the request on its connection.
func TestUnusualHeadersDoNotIdentify(t *testing.T) {
	data, err := os.ReadFile("testdata/unusualheaders.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []rawCase
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			x := newIdentifiedWorld(t)
			x.state = egretflow.ConfigurationState{Version: 1, KnownVersion: 1, ConfirmedAt: time.Now()}
			if got := x.statuses(t, c.Lines, len(c.Statuses)); !slices.Equal(got, c.Statuses) {
				t.Errorf("statuses %v, want %v", got, c.Statuses)
			}
			x.mu.Lock()
			defer x.mu.Unlock()
			var told []string
			for _, header := range x.ran {
				told = append(told, strings.Join(header.Values(organisationHeader), "+"))
				if keys := header.Values("Authorization"); len(keys) > 0 {
					t.Errorf("the server got %q", keys)
				}
			}
			if !slices.Equal(told, c.Told) {
				t.Errorf("the server was told %q, want %q", told, c.Told)
			}
			if recorded := strings.Join(x.events, "\n"); strings.Contains(strings.ToLower(recorded), "key-") {
				t.Errorf("an event holds a key:\n%s", recorded)
			}
		})
	}
}

// Guards against an own interface that ignores the organisations of the tables, and
// against a key in the file of callers' keys that stops working beside them.
func TestOwnInterfaceKnowsOrganisations(t *testing.T) {
	run(t, func(env *testEnv) {
		t := env.t
		models := request{method: http.MethodGet, path: "/v1/models"}
		statusOf := func(key string) int { r := models; r.key = key; return env.mustDo(r).StatusCode }
		for key, want := range map[string]int{"key-k": 200, "key-lab": 401} {
			if got := statusOf(key); got != want {
				t.Errorf("before the change: %s gets %d, want %d", key, got, want)
			}
		}
		next := *env.tables
		next.Organisations = []egretflow.Organisation{{Name: "kilimanjaro", Keys: []egretflow.KeyHash{egretflow.HashKey("key-lab")}}}
		env.tables = &next
		for key, want := range map[string]int{"key-k": 200, "key-lab": 200, "key-none": 401} {
			if got := statusOf(key); got != want {
				t.Errorf("after the change: %s gets %d, want %d", key, got, want)
			}
		}
	})
}

// Guards against a key that the own interface passes on to a server.
func TestKeyStopsAtOwnInterface(t *testing.T) {
	run(t, func(env *testEnv) {
		var got http.Header
		address := netip.AddrPortFrom(host(hostService, 9), 8000)
		env.serve(env.t.Context(), address, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			got = r.Header.Clone()
			_, _ = io.WriteString(w, "{}")
		})})
		desk, _ := env.tables.Pool("desk")
		desk.Servers = []egretflow.Server{{Name: "desk-9", Address: address, Role: egretflow.RoleService, Slots: 4}}
		resp := env.mustDo(request{path: "/prices/1", header: map[string]string{"X-Own": "1"}})
		if resp.StatusCode != http.StatusOK || got.Get("X-Own") != "1" {
			env.t.Fatalf("status %d, the server got %v", resp.StatusCode, got)
		}
		if keys := got.Values("Authorization"); len(keys) > 0 {
			env.t.Errorf("the server got %d keys", len(keys))
		}
	})
}

// Guards against an own interface that calls a key unknown before it knows the tables,
// which may name its organisation.
func TestNoKeyIsUnknownBeforeTables(t *testing.T) {
	run(t, func(env *testEnv) {
		tables := env.tables
		env.tables = nil
		for _, key := range []string{"key-v", "key-lab"} {
			resp := env.mustDo(request{method: http.MethodGet, path: "/v1/models", key: key})
			if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
				env.t.Errorf("%s: status %d, Retry-After %q", key, resp.StatusCode, resp.Header.Get("Retry-After"))
			}
		}
		env.tables = tables
	})
}
