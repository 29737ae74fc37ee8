package editor

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/fakestore"
)

// Guards against tables of the target size (1.5) that exceed the limit of the
// store, and against uncompressed documents, from earlier versions or small ones,
// that cannot be read.
func TestTablesAtTargetSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakestore.Store{}
		plain, err := json.Marshal(largeTables(400))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := store.Commit(t.Context(), egretflow.StoreTxn{
			Writes: []egretflow.StoreWrite{{Key: egretflow.TablesDocumentKey, Value: plain}},
		}); err != nil {
			t.Fatal(err)
		}
		ed := newTestEditor(store)
		if before, err := ed.Tables(t.Context()); err != nil || len(before.Pools[0].Servers) != 400 {
			t.Fatalf("uncompressed document: error %v", err)
		}
		wanted, err := json.Marshal(largeTables(10_000))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ed.Edit(t.Context(), request("amina", "", string(wanted))); err != nil {
			t.Fatal(err)
		}
		after, err := ed.Tables(t.Context())
		if err != nil || after.Revision != 1 || len(after.Pools[0].Servers) != 10_000 {
			t.Fatalf("error %v", err)
		}
		stored, err := store.Get(t.Context(), egretflow.TablesDocumentKey)
		if err != nil || len(stored.Value) > egretflow.MaxStoreValueBytes {
			t.Errorf("%d bytes stored, error %v", len(stored.Value), err)
		}
	})
}

// Guards against a corrupt value whose decompression exhausts the memory of every
// instance.
func TestDecodeBoundsDecompressedSize(t *testing.T) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(bytes.Repeat([]byte{' '}, MaxDocumentBytes+1)); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := decompress(b.Bytes(), MaxDocumentBytes); err == nil {
		t.Error("a document above the bound was decompressed")
	}
	for name, data := range map[string][]byte{"truncated": b.Bytes()[:b.Len()-9], "no body": gzipMagic} {
		if _, err := DecodeDocument(data); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// Guards against edits in a restored store that never become active because the
// instances hold a higher revision. Also guards against such an edit being written
// although another edit was accepted first.
func TestEditAboveRevision(t *testing.T) {
	withTables(t, func(t *testing.T, _ *fakestore.Store, ed *Editor) {
		r := request("amina", drainPath, "false")
		r.MustExceed = 40
		result, err := ed.Edit(t.Context(), r)
		if err != nil || !result.Written || result.Revision != 41 {
			t.Fatalf("result %+v, error %v", result, err)
		}
		result, err = ed.Edit(t.Context(), request("amina", drainPath, "true"))
		if err != nil || result.Revision != 42 {
			t.Fatalf("result %+v, error %v", result, err)
		}
		entries, err := ed.Audit(t.Context(), 10)
		if err != nil || len(entries) != 3 || entries[1].Revision != 41 || entries[2].Revision != 1 {
			t.Errorf("entries %+v, error %v", entries, err)
		}
		r.Base, r.MustExceed = 41, 60
		if _, err := ed.Edit(t.Context(), r); !errors.Is(err, egretflow.ErrConflict) {
			t.Errorf("error %v, want a conflict", err)
		}
	})
}
