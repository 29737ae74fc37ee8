package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretflow/egretflow/internal/stub/fault"
	"github.com/egretflow/egretflow/internal/stub/stubtest"
)

const url = "http://10.0.0.1:80/v3"

type fixture struct {
	t      *testing.T
	store  *Store
	client *http.Client
}

func newFixture(t *testing.T, cfg Config) *fixture {
	s := New(cfg)
	hosts := stubtest.New(t)
	hosts.Serve("10.0.0.1:80", s, s.Faults)
	return &fixture{t, s, hosts.Client("10.0.0.9")}
}

func (f *fixture) post(ctx context.Context, path string, body any) (*http.Response, error) {
	f.t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		f.t.Fatal(err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+path, bytes.NewReader(data))
	if err != nil {
		f.t.Fatal(err)
	}
	return f.client.Do(r)
}

// call returns the body of the response, or "aborted" if the connection was
// aborted.
func (f *fixture) call(path string, body any) string {
	f.t.Helper()
	resp, err := f.post(f.t.Context(), path, body)
	if err != nil {
		return "aborted"
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return "aborted"
	}
	return string(bytes.TrimSpace(data))
}

type object map[string]any

func put(key, value string, modRevision int, lease string) object {
	write := object{"key": []byte(key), "value": []byte(value)}
	if lease != "" {
		write["lease"] = lease
	}
	return object{
		"compare": []object{{"key": []byte(key), "target": "MOD", "result": "EQUAL", "mod_revision": fmt.Sprint(modRevision)}},
		"success": []object{{"request_put": write}},
	}
}

func (f *fixture) expect(path string, body any, want string) {
	f.t.Helper()
	if got := f.call(path, body); got != want {
		f.t.Errorf("%s %v\n got %s\nwant %s", path, body, got, want)
	}
}

// Guards against a transaction that writes although a comparison fails or its
// lease is unknown, against responses that differ from those of the gateway, and
// against calls that are not counted.
func TestTxnAndRange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		f.expect("/kv/txn", put("a/1", "x", 0, ""), `{"header":{"revision":"2"},"succeeded":true,"responses":[{"response_put":{"header":{"revision":"2"}}}]}`)
		f.expect("/kv/txn", put("a/1", "y", 0, ""), `{"header":{"revision":"2"}}`)
		f.expect("/kv/txn", put("a/1", "y", 2, ""), `{"header":{"revision":"3"},"succeeded":true,"responses":[{"response_put":{"header":{"revision":"3"}}}]}`)
		f.expect("/kv/txn", put("b", "z", 0, ""), `{"header":{"revision":"4"},"succeeded":true,"responses":[{"response_put":{"header":{"revision":"4"}}}]}`)
		f.expect("/kv/range", object{"key": []byte("a/"), "range_end": []byte("a0")},
			`{"header":{"revision":"4"},"kvs":[{"key":"YS8x","value":"eQ==","create_revision":"2","mod_revision":"3","version":"2"}],"count":"1"}`)
		f.expect("/kv/range", object{"key": []byte("c")}, `{"header":{"revision":"4"}}`)
		f.expect("/kv/txn", put("b", "z", 4, "7"), `{"code":5,"message":"etcdserver: requested lease not found","error":"etcdserver: requested lease not found"}`)
		if s := f.store.Stats(); s.Calls[CallTxn] != 5 || s.Calls[CallRange] != 2 || s.Total != 7 {
			t.Errorf("counts %+v", s)
		}
	})
}

// Guards against a lease that is not renewed but does not expire on time, and
// against an expiry that does not delete its keys or that watches do not report.
func TestLeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		f.expect("/lease/grant", object{"TTL": "5"}, `{"header":{"revision":"1"},"ID":"1001","TTL":"5"}`)
		f.call("/kv/txn", put("k", "v", 0, "1001"))
		time.Sleep(4 * time.Second)
		f.expect("/lease/keepalive", object{"ID": "1001"}, `{"result":{"header":{"revision":"2"},"ID":"1001","TTL":"5"}}`)
		start := time.Now()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		resp, err := f.post(ctx, "/watch", object{"create_request": object{"key": []byte("k"), "start_revision": "2"}})
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		dec := json.NewDecoder(resp.Body)
		for _, want := range []string{
			`{"result":{"header":{"revision":"2"},"created":true}}`,
			`{"result":{"header":{"revision":"2"},"events":[{"kv":{"key":"aw==","value":"dg==","create_revision":"2","mod_revision":"2","version":"1","lease":"1001"}}]}}`,
			`{"result":{"header":{"revision":"3"},"events":[{"type":"DELETE","kv":{"key":"aw==","mod_revision":"3"}}]}}`,
		} {
			var got json.RawMessage
			if err := dec.Decode(&got); err != nil || string(got) != want {
				t.Errorf("watch: got %s, %v\nwant %s", got, err, want)
			}
		}
		if took := time.Since(start); took != 5*time.Second {
			t.Errorf("the lease ended %v after its keepalive, want 5s", took)
		}
		f.expect("/lease/keepalive", object{"ID": "1001"}, `{"result":{"header":{"revision":"3"},"ID":"1001"}}`)
	})
}

// Guards against a LostAnswer fault that undoes the write, an Outage fault that
// lets a write take effect or a watch continue, and a Slow fault that does not
// delay calls.
func TestFaultsOnCallsAndWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{Latency: 10 * time.Millisecond})
		resp, err := f.post(t.Context(), "/watch", object{"create_request": object{"key": []byte("k")}})
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		f.store.Faults.Add(fault.Fault{Kind: fault.LostAnswer, Count: 1})
		f.expect("/kv/txn", put("k", "v", 0, ""), "aborted")
		if r := f.store.Stats().Revision; r != 2 {
			t.Errorf("revision %d after a lost answer, want 2", r)
		}
		f.store.Faults.Add(fault.Fault{Kind: fault.Outage, Until: time.Now().Add(time.Minute)})
		if _, err := io.ReadAll(resp.Body); err == nil {
			t.Error("the watch continued during the outage")
		}
		f.expect("/kv/txn", put("k", "w", 2, ""), "aborted")
		time.Sleep(time.Minute)
		if r := f.store.Stats().Revision; r != 2 {
			t.Errorf("revision %d after an outage, want 2", r)
		}
		f.store.Faults.Add(fault.Fault{Kind: fault.Slow, Factor: 50})
		start := time.Now()
		f.call("/kv/range", object{"key": []byte("k")})
		if took := time.Since(start); took != 500*time.Millisecond {
			t.Errorf("slow call took %v, want 500ms", took)
		}
	})
}

// Guards against calls beyond the rate limit that do not wait in the queue, and
// against calls that take effect although the queue is too long.
func TestRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{WritesPerSecond: 10})
		start := time.Now()
		done := make(chan string)
		const calls = 15
		for n := range calls {
			go func() { done <- f.call("/kv/txn", put(fmt.Sprint(n), "v", 0, "")) }()
		}
		for range calls {
			<-done
		}
		if took := time.Since(start); took != time.Second {
			t.Errorf("15 writes took %v, want 1s", took)
		}
		if s := f.store.Stats(); s.Keys != 11 || s.Throttled != 4 {
			t.Errorf("%d keys written, %d calls rejected; want 11 and 4", s.Keys, s.Throttled)
		}
	})
}
