package main

import (
	"context"
	"encoding/pem"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/distributor"
	"github.com/egretflow/egretflow/internal/stub/fault"
	"github.com/egretflow/egretflow/internal/stub/store"
	"github.com/egretflow/egretflow/storeclient"
	"github.com/rogpeppe/go-internal/testscript"
)

const operatorKey = "operator-key"

// instanceList has one live instance. The commands must not call the other two
// targets: a leaving instance and a backend server.
const instanceList = `[
	{"targets": ["127.0.0.1:7001"], "labels": {"Name": "entry-1", "Kind": "Instance", "State": "Live"}},
	{"targets": ["127.0.0.2:7001"], "labels": {"Name": "entry-9", "Kind": "Instance", "State": "Leaving"}},
	{"targets": ["127.0.0.3:9001"], "labels": {"Name": "o1", "Kind": "BackendServer", "State": "Live"}}]`

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"egretctl": main})
}

// Each script runs with a separate store stand-in and two instances on loopback.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			stub := store.New(store.Config{Clock: time.Now})
			srv := httptest.NewServer(stub)
			env.Defer(srv.Close)
			env.Values["faults"] = stub.Faults
			env.Values["backup"] = map[string][]byte{}
			client, err := storeclient.New(storeclient.Config{BaseURL: srv.URL, Client: srv.Client(), Clock: time.Now})
			if err != nil {
				return err
			}
			env.Values["store"] = client
			env.Setenv("EGRETFLOW_STORE", srv.URL)
			env.Setenv("EGRETFLOW_OPERATOR_KEY", operatorKey)
			env.Setenv("EGRETFLOW_WHO", "amina")
			env.Setenv("EGRETFLOW_REASON", "test")
			urls := startInstances(env, srv.URL)
			env.Setenv("EGRETFLOW_INSTANCES", strings.Join(urls, ","))
			env.Setenv("FIRST_INSTANCE", urls[0])
			env.Setenv("FIRST_PORT", urls[0][strings.LastIndex(urls[0], ":")+1:])
			list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(instanceList))
			}))
			env.Defer(list.Close)
			env.Setenv("LIST", list.URL)
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"fault": setFault, "backup": backup, "rawinstance": startRawInstance, "rawtlsinstance": startRawTLSInstance,
		},
	})
}

// setFault implements "fault KIND COUNT" and "fault none".
func setFault(ts *testscript.TestScript, _ bool, args []string) {
	faults := ts.Value("faults").(*fault.Set)
	if args[0] == "none" {
		faults.Clear()
		return
	}
	count, err := strconv.Atoi(args[1])
	ts.Check(err)
	faults.Add(fault.Fault{Kind: fault.Kind(args[0]), Count: count})
}

// startRawInstance implements "rawinstance NAME ANSWER": it starts an instance that answers
// each request with the bytes, written like the text of a Go string, and sets the variable
// to its URL.
func startRawInstance(ts *testscript.TestScript, _ bool, args []string) {
	srv := httptest.NewServer(rawAnswer(ts, args[1]))
	ts.Defer(srv.Close)
	ts.Setenv(args[0], srv.URL)
}

// startRawTLSInstance implements "rawtlsinstance NAME ANSWER FILE": the same over TLS, with
// the certificate of the authority in the file.
func startRawTLSInstance(ts *testscript.TestScript, _ bool, args []string) {
	srv := httptest.NewTLSServer(rawAnswer(ts, args[1]))
	ts.Defer(srv.Close)
	ts.Setenv(args[0], srv.URL)
	certificate := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: srv.Certificate().Raw})
	ts.Check(os.WriteFile(ts.MkAbs(args[2]), certificate, 0o600))
}

// rawAnswer returns a handler that answers with the bytes of text, which is written like
// that of a Go string.
func rawAnswer(ts *testscript.TestScript, text string) http.Handler {
	answer, err := strconv.Unquote(`"` + strings.ReplaceAll(text, `"`, `\"`) + `"`)
	ts.Check(err)
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = conn.Write([]byte(answer))
		_ = conn.Close()
	})
}

// backup implements "backup take" and "backup restore" of the store's content.
func backup(ts *testscript.TestScript, _ bool, args []string) {
	client, saved := ts.Value("store").(*storeclient.Client), ts.Value("backup").(map[string][]byte)
	entries, err := client.List(context.Background(), "")
	ts.Check(err)
	var txn egretflow.StoreTxn
	for _, e := range entries {
		if args[0] == "take" {
			saved[e.Key] = e.Value
		} else if _, ok := saved[e.Key]; !ok {
			txn.Writes = append(txn.Writes, egretflow.StoreWrite{Key: e.Key, Delete: true})
		}
	}
	if args[0] == "take" {
		return
	}
	for key, value := range saved {
		txn.Writes = append(txn.Writes, egretflow.StoreWrite{Key: key, Value: value})
	}
	_, err = client.Commit(context.Background(), txn)
	ts.Check(err)
}

// startInstances starts two instances that serve the status of real distributors,
// and returns their URLs. The first one also explains request-7.
func startInstances(env *testscript.Env, storeURL string) []string {
	var members []egretflow.Member
	for n := range 2 {
		members = append(members, egretflow.Member{
			Name: egretflow.InstanceName(fmt.Sprintf("entry-%d", n+1)), FailureDomain: "moshi-lab", Region: "tz-north",
			Address: netip.MustParseAddrPort("127.0.0.1:1"), State: egretflow.MemberStateLive,
		})
	}
	peers := directPeers{}
	for n, self := range members {
		client := &http.Client{Transport: &http.Transport{}}
		env.Defer(client.CloseIdleConnections)
		st, err := storeclient.New(storeclient.Config{BaseURL: storeURL, Client: client, Clock: time.Now})
		if err != nil {
			env.T().Fatal(err)
		}
		peers[self.Name] = distributor.New(distributor.Config{
			Self: self, Store: st, Peers: peers, Clock: time.Now, Rand: rand.New(rand.NewPCG(1, uint64(n))),
			Recorder: discardEvents{}, Checker: discardEvents{}, Quotas: func() []egretflow.QuotaStatus { return quotasOf(n) },
		})
	}
	var urls []string
	for n, self := range members {
		d := peers[self.Name]
		d.SetMembers(members)
		runDistributor(env, d)
		srv := httptest.NewServer(operatorHandler(d, n == 0))
		env.Defer(srv.Close)
		urls = append(urls, srv.URL)
	}
	return urls
}

// quotasOf returns the quotas that instance n counts: vonwiller at both, kilimanjaro at the
// second.
func quotasOf(n int) []egretflow.QuotaStatus {
	limit := egretflow.Quota{Unit: egretflow.QuotaUnitTokens, PerSecond: 36000, Burst: 72000}
	quotas := []egretflow.QuotaStatus{{Organisation: "vonwiller", Limit: limit, Left: 1000, Share: 0.5, Reached: n == 0}}
	if n == 1 {
		quotas = append(quotas, egretflow.QuotaStatus{Organisation: "kilimanjaro", Limit: limit, Left: 12345.6, Share: 1})
	}
	return quotas
}

// runDistributor runs d in the background until the end of the script.
func runDistributor(env *testscript.Env, d *distributor.Distributor) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.Run(ctx)
	}()
	env.Defer(func() {
		cancel()
		<-done
	})
}

func operatorHandler(d *distributor.Distributor, knowsRequest bool) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+egretflow.StatusPath, d.StatusHandler())
	mux.HandleFunc("GET "+egretflow.ExplainPath+"{id}", func(w http.ResponseWriter, r *http.Request) {
		if !knowsRequest || r.PathValue("id") != "request-7" {
			http.NotFound(w, r)
			return
		}
		_, _ = fmt.Fprintln(w, `{"Name":"Refused"}`)
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer "+operatorKey {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// discardEvents implements egretflow.Recorder and egretflow.Checker and does nothing.
type discardEvents struct{}

func (discardEvents) Record(egretflow.Event) {}

func (discardEvents) Check(egretflow.Invariant, bool, egretflow.RequestID, string) {}

// directPeers implements the calls to peers by calling the distributors of this
// process. Calls other than Pull fail.
type directPeers map[egretflow.InstanceName]*distributor.Distributor

func (p directPeers) Pull(ctx context.Context, to egretflow.Member, r *egretflow.PullRequest) (*egretflow.PullResponse, error) {
	return p[to.Name].HandlePull(ctx, r)
}

func (directPeers) Exchange(context.Context, egretflow.Member, *egretflow.ExchangeRequest) (*egretflow.ExchangeResponse, error) {
	return nil, egretflow.ErrUnavailable
}

func (directPeers) CommitClaims(context.Context, egretflow.Member, *egretflow.CommitRequest) (*egretflow.CommitResponse, error) {
	return nil, egretflow.ErrUnavailable
}

// Guards against errors that get another exit status: operators' scripts that call
// egretctl rely on these statuses.
func TestExitStatusOfErrors(t *testing.T) {
	for err, want := range map[error]int{
		nil:                     0,
		errors.New("other"):     exitFailed,
		egretflow.ErrUncertain:  exitUncertain,
		egretflow.ErrConflict:   exitConflict,
		&egretflow.FieldError{}: exitRefused,
	} {
		if got := exitStatus(err); got != want {
			t.Errorf("%v: status %d, want %d", err, got, want)
		}
	}
}
