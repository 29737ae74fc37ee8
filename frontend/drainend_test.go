package frontend_test

import (
	"encoding/json"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/frontend"
	"github.com/egretflow/egretflow/internal/stub/fault"
)

// drainEndCase is a request that is open when a drain ends. Queued requests get no
// server; the others get servers that send Service, Prefill or Decode and then nothing.
type drainEndCase struct {
	Name, Path, Service, Prefill, Decode string
	Queued                               bool
	Status                               int
}

// serveDrainEnd starts a Frontend for the case.
func serveDrainEnd(t *testing.T, test *drainEndCase) (address string, stop func()) {
	t.Helper()
	timeout := egretflow.Duration(time.Minute)
	tables := &egretflow.Tables{Revision: 1, Pools: []egretflow.Pool{
		{Name: "desk", Kind: egretflow.PoolKindService, Servers: []egretflow.Server{
			{Name: "s", Role: egretflow.RoleService, Slots: 4, Address: startServer(t, test.Service+hang)},
		}},
		{Name: "letters", Kind: egretflow.PoolKindModel, Servers: []egretflow.Server{
			{Name: "p", Role: egretflow.RolePrefill, Slots: 4, Address: startServer(t, test.Prefill+hang)},
			{Name: "d", Role: egretflow.RoleDecode, Slots: 4, Address: startServer(t, test.Decode+hang)},
		}},
	}, Routes: []egretflow.Route{
		{Name: "orders", Host: "h", PathPrefix: "/orders", Pool: "desk", Timeout: timeout, MaxAttempts: 1, Idempotent: true},
		{Name: "payments", Host: "h", PathPrefix: "/payments", Pool: "desk", Timeout: timeout, MaxAttempts: 1},
		{Name: "letters", Host: "h", PathPrefix: "/letters", Pool: "letters", Timeout: timeout, MaxAttempts: 1, Idempotent: true},
	}}
	scheduler := newFakeScheduler(tables, 1)
	scheduler.queues = test.Queued
	// The servers count as silent only after the end of the drain.
	scheduler.firstToken = testDrainTimeout
	return serveForwardingBy(t, newListener(t), scheduler, wireDialect{}, wireEngines{})
}

// TestOpenRequestsAtDrainEnd guards against a drain that closes the connections of
// accepted requests without an answer, while they wait for a server or for its response.
// One that was sent on must not be answered as not run. The cases are in
// testdata/drainends.json.
func TestOpenRequestsAtDrainEnd(t *testing.T) {
	data, err := os.ReadFile("testdata/drainends.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []drainEndCase
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, test := range cases {
		t.Run(test.Name, func(t *testing.T) {
			t.Parallel()
			address, stop := serveDrainEnd(t, &test)
			sentAt := time.Now()
			time.AfterFunc(testLameDuck, stop)
			status, err := post(t, address, test.Path)
			if status != test.Status || err != nil {
				t.Errorf("status %d, error %v after %v; want status %d", status, err, time.Since(sentAt), test.Status)
			}
			if time.Since(sentAt) < testDrainTimeout {
				t.Errorf("answered after %v, before the end of the drain", time.Since(sentAt))
			}
		})
	}
}

// TestCallAtShutdownEnd guards against a call of the own interface that is cut at the end
// of a shutdown, or answered as not run, because its server responds later.
func TestCallAtShutdownEnd(t *testing.T) {
	run(t, func(env *testEnv) {
		// The response takes longer than the drain and the closing after it.
		for _, s := range env.services {
			s.Faults.Add(fault.Fault{Kind: fault.Slow, Factor: 1500})
		}
		done := env.start(request{path: "/orders/1", header: map[string]string{"Idempotency-Key": "o1"}})
		time.Sleep(time.Second)
		env.instances[0].stop()
		resp := <-done
		if resp == nil || resp.truncated || resp.StatusCode != http.StatusBadGateway || resp.Header.Get("Egretflow-Run-State") != "MayHaveRun" {
			env.t.Errorf("response %+v, want a complete one with status 502 and run state MayHaveRun", resp)
		}
		time.Sleep(settleTime) // the call ends meanwhile
	}, frontend.Limits{DrainTimeout: 2 * time.Second})
}
