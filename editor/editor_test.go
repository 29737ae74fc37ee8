package editor

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/fakestore"
)

func newTestEditor(store egretflow.Store) *Editor {
	var n atomic.Int64
	return New(store, time.Now, func() string { return fmt.Sprintf("edit-%d", n.Add(1)) })
}

func request(who, path, value string) Request {
	return Request{Who: who, Reason: "test", Steps: []Step{{OperationSet, path, json.RawMessage(value)}}}
}

const (
	drainPath = "Pools/assistant/Servers/d1/Drain"
	slotsPath = "Pools/assistant/Servers/d1/Slots"
)

// withTables runs f in virtual time with a store that holds the tables of
// tables.json at revision 1.
func withTables(t *testing.T, f func(t *testing.T, store *fakestore.Store, ed *Editor)) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakestore.Store{}
		ed := newTestEditor(store)
		data, err := json.Marshal(readTables(t))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ed.Edit(t.Context(), request("setup", "", string(data))); err != nil {
			t.Fatal(err)
		}
		f(t, store, ed)
	})
}

func revisionOf(t *testing.T, ed *Editor) egretflow.Revision {
	t.Helper()
	tables, err := ed.Tables(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return tables.Revision
}

// Guards against an edit that is reported as failed although it took effect, and
// against one that takes effect twice, when the store's response is lost or the
// write is delayed.
func TestEditAppliesOnceDespiteLostAnswers(t *testing.T) {
	tests := []struct {
		name   string
		faults fakestore.Faults
	}{
		{"answer lost", fakestore.Faults{LostResponses: 1}},
		{"write delayed beyond the first repetition", fakestore.Faults{DelayedWrites: 1, DelayedBy: 10 * time.Second}},
		{"write delayed and arriving between repetitions", fakestore.Faults{DelayedWrites: 2, DelayedBy: 100 * time.Millisecond}},
		{"write delayed, then answer lost", fakestore.Faults{DelayedWrites: 1, DelayedBy: 10 * time.Second, LostResponses: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withTables(t, func(t *testing.T, store *fakestore.Store, ed *Editor) {
				store.SetFaults(tt.faults)
				result, err := ed.Edit(t.Context(), request("amina", drainPath, "true"))
				if err != nil || result.Revision != 2 || !result.Written {
					t.Fatalf("result %+v, error %v", result, err)
				}
				time.Sleep(time.Minute)
				if r := revisionOf(t, ed); r != 2 {
					t.Errorf("revision %d, want 2", r)
				}
			})
		})
	}
}

// Guards against an edit that is applied a second time when the operator repeats it
// because its outcome was unknown.
func TestResumeUnknownEdit(t *testing.T) {
	withTables(t, func(t *testing.T, store *fakestore.Store, ed *Editor) {
		store.SetFaults(fakestore.Faults{LostResponses: 100})
		r := request("amina", drainPath, "true")
		ctx, cancel := contextWithTimeout(t, 40*time.Millisecond)
		result, err := ed.Edit(ctx, r)
		cancel()
		if !errors.Is(err, egretflow.ErrUncertain) || errors.Is(err, egretflow.ErrUnavailable) {
			t.Fatalf("error %v", err)
		}
		store.SetFaults(fakestore.Faults{})
		if _, err := ed.Edit(t.Context(), request("farid", drainPath, "false")); err != nil {
			t.Fatal(err)
		}
		r.EditID = result.EditID
		resumed, err := ed.Edit(t.Context(), r)
		if err != nil || resumed.Revision != 2 || revisionOf(t, ed) != 3 {
			t.Errorf("result %+v, error %v, revision %d", resumed, err, revisionOf(t, ed))
		}
	})
}

// Guards against an edit during an outage of the store that is written, or whose
// error does not state that nothing was written.
func TestOutageWritesNothing(t *testing.T) {
	withTables(t, func(t *testing.T, store *fakestore.Store, ed *Editor) {
		store.SetFaults(fakestore.Faults{Outage: true})
		if _, err := ed.Edit(t.Context(), request("amina", drainPath, "true")); !errors.Is(err, egretflow.ErrUnavailable) {
			t.Errorf("error %v", err)
		}
		store.SetFaults(fakestore.Faults{})
		if r := revisionOf(t, ed); r != 1 {
			t.Errorf("revision %d, want 1", r)
		}
	})
}

// Guards against a lost update when two operators edit at the same time.
func TestConcurrentEditsConflict(t *testing.T) {
	withTables(t, func(t *testing.T, store *fakestore.Store, ed *Editor) {
		store.SetFaults(fakestore.Faults{Latency: time.Millisecond})
		errs := make(chan error, 2)
		for _, r := range []Request{request("amina", drainPath, "true"), request("farid", slotsPath, "7")} {
			go func() {
				_, err := ed.Edit(t.Context(), r)
				errs <- err
			}()
		}
		first, second := <-errs, <-errs
		if first != nil {
			first, second = second, first
		}
		var conflict *ConflictError
		if first != nil || !errors.As(second, &conflict) || !errors.Is(second, egretflow.ErrConflict) {
			t.Fatalf("errors %v and %v", first, second)
		}
		if len(conflict.Yours) != 1 || len(conflict.Theirs) != 1 || len(conflict.Theirs[0].Changes) != 1 {
			t.Errorf("conflict does not show both edits: %v", conflict)
		}
	})
}

// Guards against a whole document based on an old revision that undoes the edits
// made since.
func TestStaleBaseShowsBothEdits(t *testing.T) {
	withTables(t, func(t *testing.T, _ *fakestore.Store, ed *Editor) {
		for _, r := range []Request{
			request("farid", slotsPath, "7"),
			request("farid", "Pools/assistant/TokenGap", `"31ms"`),
		} {
			if _, err := ed.Edit(t.Context(), r); err != nil {
				t.Fatal(err)
			}
		}
		wanted := readTables(t)
		wanted.Pools[0].Servers[1].Drain = true
		data, err := json.Marshal(wanted)
		if err != nil {
			t.Fatal(err)
		}
		r := request("amina", "", string(data))
		r.Base = 1
		var conflict *ConflictError
		if _, err := ed.Edit(t.Context(), r); !errors.As(err, &conflict) {
			t.Fatalf("error %v", err)
		}
		if len(conflict.Theirs) != 2 || len(conflict.Yours) != 1 || !strings.Contains(string(conflict.Yours[0].After), "Drain") {
			t.Errorf("conflict %v", conflict)
		}
	})
}

// Guards against a dry run that writes to the store or does not list the changes.
func TestDryRunWritesNothing(t *testing.T) {
	withTables(t, func(t *testing.T, store *fakestore.Store, ed *Editor) {
		r := request("amina", drainPath, "true")
		r.DryRun = true
		result, err := ed.Edit(t.Context(), r)
		if err != nil || result.Written || len(result.Changes) != 1 || store.Calls()["Commit"] != 1 {
			t.Errorf("result %+v, error %v, calls %v", result, err, store.Calls())
		}
	})
}

// Guards against an audit trail that grows without bound or loses recent entries.
func TestAuditTrailIsBounded(t *testing.T) {
	withTables(t, func(t *testing.T, store *fakestore.Store, ed *Editor) {
		const edits = MaxAuditEntries + 25
		for n := 2; n <= edits; n++ {
			if _, err := ed.Edit(t.Context(), request("amina", slotsPath, fmt.Sprint(n))); err != nil {
				t.Fatal(err)
			}
		}
		entries, err := ed.Audit(t.Context(), 2*MaxAuditEntries)
		if err != nil || len(entries) != MaxAuditEntries {
			t.Fatalf("%d entries, error %v", len(entries), err)
		}
		for n, entry := range entries {
			if entry.Revision != egretflow.Revision(edits-n) || len(entry.Changes) != 1 || entry.Who != "amina" {
				t.Fatalf("entry %d: %+v", n, entry)
			}
		}
		if keys, err := store.List(t.Context(), "Audit/"); err != nil || len(keys) != MaxAuditEntries {
			t.Errorf("%d keys, error %v", len(keys), err)
		}
	})
}

// Guards against a large edit that fails because its audit entry is stored
// uncompressed and exceeds the limit of the store. Also guards against an error
// that names no field when a document exceeds the limit of the store or, if it
// compresses well, the limit of the decompressed size.
func TestLargeEdits(t *testing.T) {
	withTables(t, func(t *testing.T, store *fakestore.Store, ed *Editor) {
		callers := func(prefix string, count int, suffix func(n int) string) string {
			names := make([]string, count)
			for n := range names {
				names[n] = prefix + "-caller-" + suffix(n)
			}
			data, _ := json.Marshal(names)
			return string(data)
		}
		similar := func(n int) string { return fmt.Sprintf("%048d", n) }
		random := rand.New(rand.NewPCG(1, 1))
		different := func(int) string {
			return fmt.Sprintf("%016x%016x%016x", random.Uint64(), random.Uint64(), random.Uint64())
		}
		for _, prefix := range []string{"a", "b"} {
			if _, err := ed.Edit(t.Context(), request("amina", "Routes/chat/Callers", callers(prefix, 12_000, similar))); err != nil {
				t.Fatal(err)
			}
		}
		entries, err := ed.Audit(t.Context(), 1)
		if err != nil || len(entries) != 1 || len(entries[0].Changes[0].Before) < 500_000 {
			t.Errorf("%d entries, error %v", len(entries), err)
		}
		for _, value := range []string{callers("c", 80_000, similar), callers("c", 45_000, different)} {
			_, err = ed.Edit(t.Context(), request("amina", "Routes/chat/Callers", value))
			var field *egretflow.FieldError
			if !errors.As(err, &field) || field.Field != "Tables" {
				t.Errorf("error %v, want the size of %d bytes refused", err, len(value))
			}
		}
	})
}
