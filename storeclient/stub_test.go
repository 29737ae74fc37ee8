package storeclient

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/stub/fault"
	"github.com/egretflow/egretflow/internal/stub/store"
	"github.com/egretflow/egretflow/internal/stub/stubtest"
)

// withStub runs f in virtual time with a client of a stub store.
func withStub(t *testing.T, f func(t *testing.T, c *Client, stub *store.Store, hosts *stubtest.Hosts)) {
	synctest.Test(t, func(t *testing.T) {
		stub := store.New(store.Config{Latency: 2 * time.Millisecond, Clock: time.Now})
		hosts := stubtest.New(t)
		hosts.Serve("10.0.0.1:2379", stub, stub.Faults)
		c, err := New(Config{BaseURL: "http://10.0.0.1:2379", Client: hosts.Client("10.0.0.9"), Clock: time.Now})
		if err != nil {
			t.Fatal(err)
		}
		f(t, c, stub, hosts)
	})
}

// putTxn returns a transaction that writes a key which is at modRevision.
func putTxn(key, value string, modified egretflow.StoreVersion) egretflow.StoreTxn {
	return egretflow.StoreTxn{
		Conditions: []egretflow.StoreCondition{{Key: key, Modified: modified}},
		Writes:     []egretflow.StoreWrite{{Key: key, Value: []byte(value)}},
	}
}

// Guards against wrong results of reads and conditional writes over HTTP.
func TestStubKeys(t *testing.T) {
	withStub(t, func(t *testing.T, c *Client, _ *store.Store, _ *stubtest.Hosts) {
		ctx := t.Context()
		if _, err := c.Get(ctx, "a/1"); !errors.Is(err, egretflow.ErrNotFound) {
			t.Errorf("error %v", err)
		}
		first, err := c.Commit(ctx, putTxn("a/1", "x", egretflow.StoreVersion{}))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Commit(ctx, putTxn("a/1", "y", egretflow.StoreVersion{})); !errors.Is(err, egretflow.ErrConflict) {
			t.Errorf("error %v", err)
		}
		for _, key := range []string{"a/2", "b"} {
			if _, err := c.Commit(ctx, putTxn(key, "z", egretflow.StoreVersion{})); err != nil {
				t.Fatal(err)
			}
		}
		entries, err := c.List(ctx, "a/")
		if err != nil || len(entries) != 2 || entries[0].Modified != first || string(entries[1].Value) != "z" {
			t.Errorf("entries %+v, error %v", entries, err)
		}
	})
}

// Guards against an ExpiresAt later than the expiry in the store, and against
// an expired lease that is renewed or revoked without an error.
func TestStubLeases(t *testing.T) {
	withStub(t, func(t *testing.T, c *Client, _ *store.Store, _ *stubtest.Hosts) {
		ctx := t.Context()
		lease, err := c.GrantLease(ctx, 5*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		txn := egretflow.StoreTxn{Writes: []egretflow.StoreWrite{{Key: "k", Lease: lease.ID}}}
		if _, err := c.Commit(ctx, txn); err != nil {
			t.Fatal(err)
		}
		time.Sleep(4 * time.Second)
		kept, err := c.KeepLease(ctx, lease.ID)
		if err != nil || !kept.ExpiresAt.After(lease.ExpiresAt) {
			t.Errorf("kept %+v, error %v", kept, err)
		}
		time.Sleep(time.Until(kept.ExpiresAt) - 10*time.Millisecond)
		if _, err := c.Get(ctx, "k"); err != nil {
			t.Errorf("key ended before the deadline of its lease: %v", err)
		}
		time.Sleep(time.Second)
		if _, err := c.Get(ctx, "k"); !errors.Is(err, egretflow.ErrNotFound) {
			t.Errorf("error %v", err)
		}
		if _, err := c.KeepLease(ctx, lease.ID); !errors.Is(err, egretflow.ErrNotFound) {
			t.Errorf("error %v", err)
		}
		if err := c.RevokeLease(ctx, lease.ID); !errors.Is(err, egretflow.ErrNotFound) {
			t.Errorf("error %v", err)
		}
	})
}

// Guards against a write that fails with ErrUnavailable although it may have
// taken effect, in each fault of the store and of the network.
func TestStubFaults(t *testing.T) {
	tests := []struct {
		name    string
		inject  func(stub *store.Store, hosts *stubtest.Hosts)
		want    error
		written bool
	}{
		{"lost response", func(stub *store.Store, _ *stubtest.Hosts) {
			stub.Faults.Add(fault.Fault{Kind: fault.LostAnswer, Count: 1})
		}, egretflow.ErrUncertain, true},
		{"outage of a store that still accepts connections", func(stub *store.Store, _ *stubtest.Hosts) {
			stub.Faults.Add(fault.Fault{Kind: fault.Outage, Count: 1})
		}, egretflow.ErrUncertain, false},
		{"stall longer than the call timeout", func(stub *store.Store, _ *stubtest.Hosts) {
			stub.Faults.Add(fault.Fault{Kind: fault.Stall, Until: time.Now().Add(10 * time.Second)})
		}, egretflow.ErrUncertain, true},
		{"idle connection that went silent", func(_ *store.Store, hosts *stubtest.Hosts) {
			hosts.Network.Silence(netip.MustParseAddr("10.0.0.1"))
		}, egretflow.ErrUncertain, false},
		{"store not reachable", func(_ *store.Store, hosts *stubtest.Hosts) {
			hosts.Network.Cut(netip.MustParseAddr("10.0.0.1"))
		}, egretflow.ErrUnavailable, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withStub(t, func(t *testing.T, c *Client, stub *store.Store, hosts *stubtest.Hosts) {
				if _, err := c.Get(t.Context(), "k"); !errors.Is(err, egretflow.ErrNotFound) {
					t.Fatal(err)
				}
				tt.inject(stub, hosts)
				_, err := c.Commit(t.Context(), putTxn("k", "v", egretflow.StoreVersion{}))
				if !errors.Is(err, tt.want) {
					t.Errorf("error %v, want %v", err, tt.want)
				}
				time.Sleep(20 * time.Second)
				hosts.Network.Restore(netip.MustParseAddr("10.0.0.1"))
				if written := stub.Stats().Keys == 1; written != tt.written {
					t.Errorf("written: %v, want %v", written, tt.written)
				}
			})
		})
	}
}

// Guards against missing or reordered events of a watch, and against a watch
// that does not end in an outage of the store.
func TestStubWatch(t *testing.T) {
	withStub(t, func(t *testing.T, c *Client, stub *store.Store, _ *stubtest.Hosts) {
		events := make(chan egretflow.StoreEntry, 10)
		watchEnded := make(chan error, 1)
		first, err := c.Commit(t.Context(), putTxn("a", "1", egretflow.StoreVersion{}))
		if err != nil {
			t.Fatal(err)
		}
		go func() { watchEnded <- c.Watch(context.Background(), "a", first, events) }()
		if _, err := c.Commit(t.Context(), putTxn("a", "2", first)); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Commit(t.Context(), egretflow.StoreTxn{Writes: []egretflow.StoreWrite{{Key: "a", Delete: true}}}); err != nil {
			t.Fatal(err)
		}
		if e := <-events; string(e.Value) != "2" || e.Modified.Revision != first.Revision+1 {
			t.Errorf("event %+v", e)
		}
		if e := <-events; e.Value != nil {
			t.Errorf("event %+v, want a deletion", e)
		}
		stub.Faults.Add(fault.Fault{Kind: fault.Outage})
		if err := <-watchEnded; !errors.Is(err, egretflow.ErrUnavailable) {
			t.Errorf("error %v", err)
		}
	})
}
