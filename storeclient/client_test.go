package storeclient

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretflow/egretflow"
)

type roundTrip func(r *http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func newTestClient(t *testing.T, f roundTrip) *Client {
	t.Helper()
	c, err := New(Config{BaseURL: "http://store.example", Client: &http.Client{Transport: f}, Clock: time.Now})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// respond returns a transport that reads the request and sends a fixed
// response.
func respond(status int, body string) roundTrip {
	return func(r *http.Request) (*http.Response, error) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return nil, err
		}
		return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(body)), Request: r}, nil
	}
}

// Guards against reporting a write as certainly not applied when it may have
// been: each way in which a call can fail must yield the right error for a read
// and for a write.
func TestErrorMapping(t *testing.T) {
	lostResponse := func(r *http.Request) (*http.Response, error) {
		_, err := io.Copy(io.Discard, r.Body)
		return nil, errors.Join(io.ErrUnexpectedEOF, err)
	}
	noConnection := func(*http.Request) (*http.Response, error) { return nil, errors.New("connection refused") }
	tests := []struct {
		name        string
		transport   roundTrip
		read, write error
	}{
		{"no connection", noConnection, egretflow.ErrUnavailable, egretflow.ErrUnavailable},
		{"lost response", lostResponse, egretflow.ErrUnavailable, egretflow.ErrUncertain},
		{"truncated response", respond(200, `{"header":{"rev`), egretflow.ErrUnavailable, egretflow.ErrUncertain},
		{"leader changed", respond(503, `{"code":14,"message":"etcdserver: leader changed"}`), egretflow.ErrUnavailable, egretflow.ErrUncertain},
		{"timed out", respond(504, `{"code":4,"message":"etcdserver: request timed out"}`), egretflow.ErrUnavailable, egretflow.ErrUncertain},
		{"proxy error page", respond(502, "<html>"), egretflow.ErrUnavailable, egretflow.ErrUncertain},
		{"too many requests", respond(429, `{"code":8,"message":"etcdserver: too many requests"}`), egretflow.ErrUnavailable, egretflow.ErrUnavailable},
		{"missing credential", respond(401, `{"code":16,"message":"token"}`), egretflow.ErrUnauthorized, egretflow.ErrUnavailable},
		{"condition failed", respond(200, `{"header":{"revision":"9"}}`), egretflow.ErrNotFound, egretflow.ErrConflict},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newTestClient(t, tt.transport)
			if _, err := c.Get(t.Context(), "k"); !errors.Is(err, tt.read) {
				t.Errorf("get: %v, want %v", err, tt.read)
			}
			_, err := c.Commit(t.Context(), egretflow.StoreTxn{Writes: []egretflow.StoreWrite{{Key: "k"}}})
			if !errors.Is(err, tt.write) {
				t.Errorf("commit: %v, want %v", err, tt.write)
			}
			for _, other := range []error{egretflow.ErrUncertain, egretflow.ErrUnavailable, egretflow.ErrConflict} {
				if !errors.Is(tt.write, other) && errors.Is(err, other) {
					t.Errorf("commit: %v is also %v", err, other)
				}
			}
		})
	}
}

// Guards against a lease whose ExpiresAt is later than its expiry in the store,
// which happens if the TTL is counted from the response instead of the request.
func TestLeaseDeadlineStartsBeforeTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestClient(t, func(r *http.Request) (*http.Response, error) {
			time.Sleep(time.Second)
			return respond(200, `{"ID":"7","TTL":"5","result":{"ID":"7","TTL":"5"}}`)(r)
		})
		start := time.Now()
		lease, err := c.GrantLease(t.Context(), 4500*time.Millisecond)
		if want := start.Add(5 * time.Second); err != nil || lease.ID.Number != 7 || !lease.ExpiresAt.Equal(want) {
			t.Errorf("lease %+v, error %v, want expiry %v", lease, err, want)
		}
		start = time.Now()
		if lease, err = c.KeepLease(t.Context(), egretflow.LeaseID{Number: 7}); err != nil || !lease.ExpiresAt.Equal(start.Add(5*time.Second)) {
			t.Errorf("kept lease %+v, error %v", lease, err)
		}
	})
}

// Guards against renewing an expired lease without an error: the store responds
// with status 200 but without a TTL.
func TestKeepLeaseAfterExpiry(t *testing.T) {
	c := newTestClient(t, respond(200, `{"result":{"ID":"7"}}`))
	if _, err := c.KeepLease(t.Context(), egretflow.LeaseID{Number: 7}); !errors.Is(err, egretflow.ErrNotFound) {
		t.Errorf("error %v, want not found", err)
	}
}

// Guards against a call that never returns when the connection delivers
// nothing.
func TestCallTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestClient(t, func(r *http.Request) (*http.Response, error) {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return nil, err
			}
			<-r.Context().Done()
			return nil, r.Context().Err()
		})
		start := time.Now()
		_, err := c.Commit(t.Context(), egretflow.StoreTxn{})
		if !errors.Is(err, egretflow.ErrUncertain) || time.Since(start) != DefaultCallTimeout {
			t.Errorf("error %v after %v", err, time.Since(start))
		}
	})
}

// Guards against wrongly decoded events, in particular deletions, and against a
// watch that ends with the wrong error.
func TestWatch(t *testing.T) {
	tests := []struct {
		name, stream string
		events       []egretflow.StoreEntry
		want         error
	}{
		{
			name: "events until the connection ends",
			stream: `{"result":{"header":{"revision":"4"},"created":true}}
{"result":{"events":[{"kv":{"key":"YQ==","value":"Yg==","mod_revision":"5","create_revision":"5"}},{"type":"DELETE","kv":{"key":"YQ==","mod_revision":"6"}}]}}`,
			events: []egretflow.StoreEntry{
				{Key: "a", Value: []byte("b"), Modified: egretflow.StoreVersion{Revision: 5}, Created: egretflow.StoreVersion{Revision: 5}},
				{Key: "a", Modified: egretflow.StoreVersion{Revision: 6}},
			},
			want: egretflow.ErrUnavailable,
		},
		{name: "compacted", stream: `{"result":{"canceled":true,"compact_revision":"9"}}`, want: ErrCompacted},
		{name: "cancelled by the store", stream: `{"result":{"canceled":true,"cancel_reason":"no leader"}}`, want: egretflow.ErrUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			events := make(chan egretflow.StoreEntry, 10)
			err := newTestClient(t, respond(200, tt.stream)).Watch(t.Context(), "a", egretflow.StoreVersion{Revision: 4}, events)
			if !errors.Is(err, tt.want) {
				t.Errorf("error %v, want %v", err, tt.want)
			}
			close(events)
			var got []egretflow.StoreEntry
			for e := range events {
				got = append(got, e)
			}
			if !reflect.DeepEqual(got, tt.events) {
				t.Errorf("events %+v, want %+v", got, tt.events)
			}
		})
	}
}

// Guards against changes of the request encoding, which the fake transport
// would not notice.
func TestRequestsOnTheWire(t *testing.T) {
	var bodies []string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		bodies = append(bodies, r.URL.Path+" "+string(data))
		_, _ = io.WriteString(w, `{"header":{"revision":"8"},"succeeded":true}`)
	}))
	defer srv.Close()
	c, err := New(Config{BaseURL: srv.URL, Client: srv.Client(), Clock: time.Now})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.List(context.Background(), "a"); err != nil {
		t.Fatal(err)
	}
	version, err := c.Commit(context.Background(), egretflow.StoreTxn{
		Conditions: []egretflow.StoreCondition{{Key: "a", Modified: egretflow.StoreVersion{Revision: 3}}},
		Writes:     []egretflow.StoreWrite{{Key: "a", Value: []byte("b"), Lease: egretflow.LeaseID{Number: 7}}, {Key: "b", Delete: true}},
	})
	if err != nil || version.Revision != 8 {
		t.Fatalf("version %s, error %v", version, err)
	}
	want := []string{
		`/v3/kv/range {"key":"YQ==","range_end":"Yg=="}`,
		`/v3/kv/txn {"compare":[{"key":"YQ==","target":"MOD","result":"EQUAL","mod_revision":"3"}],` +
			`"success":[{"request_put":{"key":"YQ==","value":"Yg==","lease":"7"}},{"request_delete_range":{"key":"Yg=="}}]}`,
	}
	if !reflect.DeepEqual(bodies, want) {
		t.Errorf("bodies\n%s\nwant\n%s", strings.Join(bodies, "\n"), strings.Join(want, "\n"))
	}
	if calls := c.Calls(); calls[CallList] != 1 || calls[CallCommit] != 1 {
		t.Errorf("calls %v", calls)
	}
}
