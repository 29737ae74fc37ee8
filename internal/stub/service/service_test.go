package service

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretflow/egretflow/internal/stub/fault"
	"github.com/egretflow/egretflow/internal/stub/stubtest"
)

const url = "http://10.0.0.1:80"

// Guards against a fault that runs a call too often or not at all, or that gives
// the caller another result or duration than the fault stands for.
func TestRunsUnderFaults(t *testing.T) {
	for _, tt := range []struct {
		name       string
		fault      string
		wantRuns   int
		wantAnswer bool
		wantTook   time.Duration
	}{
		{"none", "", 1, true, 100 * time.Millisecond},
		{"crash before the run", `{"Kind":"Crash","Count":1}`, 0, false, 0},
		{"lost answer", `{"Kind":"LostAnswer","Count":1}`, 1, false, 100 * time.Millisecond},
		{"outage", `{"Kind":"Outage"}`, 0, false, 0},
		{"slow", `{"Kind":"Slow","Factor":3}`, 1, true, 300 * time.Millisecond},
		// The caller times out after 10 s, and the call still runs.
		{"stall", `{"Kind":"Stall"}`, 1, false, 10 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				svc := New(Config{Name: "s", Latency: 100 * time.Millisecond})
				hosts := stubtest.New(t)
				hosts.Serve("10.0.0.1:80", svc, svc.Faults)
				client := hosts.Client("10.0.0.9")
				if tt.fault != "" {
					post(t, client, "/faults", "", tt.fault)
				}
				start := time.Now()
				answered := post(t, client, "/orders", "k1", "one")
				if took := time.Since(start); answered != tt.wantAnswer || took != tt.wantTook {
					t.Errorf("answered %v after %v, want %v after %v", answered, took, tt.wantAnswer, tt.wantTook)
				}
				svc.Faults.Clear()
				synctest.Wait()
				if runs := svc.Stats().Executions["k1"]; runs != tt.wantRuns {
					t.Errorf("ran %d times, want %d", runs, tt.wantRuns)
				}
			})
		})
	}
}

func post(t *testing.T, client *http.Client, path, key, body string) bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Idempotency-Key", key)
	// Without GetBody the transport does not retry the request.
	r.GetBody = nil
	resp, err := client.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode < 300
}

// Guards against a Silent fault that closes connections, that leaves an open one
// working, whether in use or idle, or that affects a new one.
func TestSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		svc := New(Config{Latency: time.Second})
		hosts := stubtest.New(t)
		hosts.Serve("10.0.0.1:80", svc, svc.Faults)
		idle, busy, fresh := hosts.Client("10.0.0.7"), hosts.Client("10.0.0.8"), hosts.Client("10.0.0.9")
		post(t, idle, "/x", "", "")
		time.AfterFunc(500*time.Millisecond, func() { svc.Faults.Add(fault.Fault{Kind: fault.Silent}) })
		start := time.Now()
		if post(t, busy, "/x", "k1", "") || time.Since(start) != 10*time.Second {
			t.Errorf("call in progress ended after %v, want a timeout", time.Since(start))
		}
		if post(t, idle, "/x", "k2", "") {
			t.Error("a call on a silenced idle connection was answered")
		}
		if !post(t, fresh, "/x", "k3", "") {
			t.Error("a call on a new connection was not answered")
		}
		if runs := svc.Stats().Executions; runs["k1"] != 1 || runs["k2"] != 0 || runs["k3"] != 1 {
			t.Errorf("runs %v", runs)
		}
	})
}

// Guards against a call that runs without a free slot, or whose rejection does
// not state that it did not run.
func TestRejectsCallWithoutFreeSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		svc := New(Config{Latency: time.Second, Slots: 1})
		hosts := stubtest.New(t)
		hosts.Serve("10.0.0.1:80", svc, svc.Faults)
		first := hosts.Client("10.0.0.8")
		go func() {
			if resp, err := first.Get(url + "/x"); err == nil {
				resp.Body.Close()
			}
		}()
		synctest.Wait()
		resp, err := hosts.Client("10.0.0.9").Get(url + "/x")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Egretflow-Run-State") != "NotRun" {
			t.Errorf("status %d, run state %q", resp.StatusCode, resp.Header.Get("Egretflow-Run-State"))
		}
		time.Sleep(2 * time.Second)
		if s := svc.Stats(); s.Total != 1 || s.Rejected != 1 || s.SlotsInUse != 0 {
			t.Errorf("counts %+v", s)
		}
	})
}
