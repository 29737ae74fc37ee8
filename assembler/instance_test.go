package assembler_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/assembler"
	"github.com/egretflow/egretflow/authenticator"
	"github.com/egretflow/egretflow/editor"
	"github.com/egretflow/egretflow/internal/fakestore"
	"github.com/egretflow/egretflow/supervisor"
)

// Guards against requests that are accepted before the scheduler knows the tables:
// they would find no pool.
func TestTablesComeBeforeCallers(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	inst, err := assembler.New(assembler.Config{
		Self:  egretflow.Member{Name: "entry-1", FailureDomain: "domain-0", Region: "region"},
		Clock: egretflow.SystemClock, Rand: rand.New(rand.NewPCG(1, 1)), Dial: (&net.Dialer{}).DialContext,
		Callers: authenticator.StaticKeys(nil), CallerListener: ln, Tables: benchTables(4),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for _, task := range inst.Tasks() {
		go func() { _ = task.Run(ctx) }()
		if task.Name == "tables" {
			if task.Ready == nil {
				t.Fatal("the tasks after the tables do not wait for them")
			}
			<-task.Ready
			break
		}
	}
	if n := len(inst.Scheduler.Demands(egretflow.SystemClock())); n != 4 {
		t.Errorf("scheduler knows %d servers when callers may come, want 4", n)
	}
}

// Guards against an instance that ends because its store cannot be reached or holds
// no tables yet: after a restart during an outage it would end again and again. It
// must go on, be not ready and respond 503, and serve once it knows the tables.
func TestSingleInstanceWaitsForTables(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	store := &fakestore.Store{}
	store.SetFaults(fakestore.Faults{Outage: true})
	inst, err := assembler.New(assembler.Config{
		Self:  egretflow.Member{Name: "entry-1", FailureDomain: "domain-0", Region: "region"},
		Clock: egretflow.SystemClock, Rand: rand.New(rand.NewPCG(1, 1)), Dial: (&net.Dialer{}).DialContext,
		Callers:        authenticator.StaticKeys(map[string]string{"key": "clerk"}),
		CallerListener: ln, Store: store,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- supervisor.Run(ctx, inst.Tasks()) }()
	defer func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("the instance ended with %v", err)
		}
	}()
	awaitStatus(t, ln.Addr().String(), http.StatusServiceUnavailable)
	if inst.Ready() {
		t.Error("ready without tables")
	}
	store.SetFaults(fakestore.Faults{})
	awaitStatus(t, ln.Addr().String(), http.StatusServiceUnavailable)
	writeTables(t, store, benchTables(4))
	awaitStatus(t, ln.Addr().String(), http.StatusOK)
	if !inst.Ready() {
		t.Error("not ready with tables")
	}
}

// awaitStatus requests the list of models until the response has the status.
func awaitStatus(t *testing.T, address string, want int) {
	t.Helper()
	last := 0
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		req, err := http.NewRequest(http.MethodGet, "http://"+address+"/v1/models", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer key")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if last = resp.StatusCode; last == want {
			return
		}
	}
	t.Fatalf("last status %d, want %d", last, want)
}

func writeTables(t *testing.T, store egretflow.Store, tables *egretflow.Tables) {
	t.Helper()
	e := editor.New(store, egretflow.SystemClock, uuid.NewString)
	var steps []editor.Step
	for path, value := range map[string]any{"Routes": tables.Routes, "Pools": tables.Pools} {
		data, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		steps = append(steps, editor.Step{Operation: editor.OperationSet, Path: path, Value: data})
	}
	if _, err := e.Edit(t.Context(), editor.Request{Who: "amina", Reason: "test", Steps: steps}); err != nil {
		t.Fatal(err)
	}
}
