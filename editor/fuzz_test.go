package editor

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// Guards against audit entries from the store or from peers that make Next, Apply
// or revert panic, that modify the base, or whose result does not have the
// checksum of the entry.
func FuzzDecodeEntry(f *testing.F) {
	data, err := os.ReadFile("testdata/tables.json")
	if err != nil {
		f.Fatal(err)
	}
	base, err := DecodeTables(data)
	if err != nil {
		f.Fatal(err)
	}
	base.Revision = 1
	before, err := json.Marshal(base)
	if err != nil {
		f.Fatal(err)
	}
	after, err := DecodeTables(data)
	if err != nil {
		f.Fatal(err)
	}
	after.Pools[0].Servers[1].Drain = true
	after.Routes = after.Routes[1:]
	changes, err := Diff(base, after)
	if err != nil {
		f.Fatal(err)
	}
	valid := AuditEntry{Revision: 2, EditID: "e", Changes: changes}
	stored, err := valid.encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(stored)
	f.Add([]byte(`{"Revision":2,"Changes":[{"Path":"","After":{}},{"Path":"Pools/x/Servers","After":["a"]}]}`))
	f.Add([]byte(`{"Revision":2,"Changes":[{"Path":"Pools","After":[]},{"Path":"Routes/chat","After":null}]}`))
	f.Add(gzipMagic)
	f.Fuzz(func(t *testing.T, data []byte) {
		entry, err := DecodeAuditEntry(data)
		if err != nil {
			return
		}
		if _, document, err := entry.Next(base); err == nil && xxhash.Sum64(document) != entry.Checksum {
			t.Fatal("the document does not have the checksum")
		}
		_, _ = Apply(base, entry.Changes)
		_, _ = revert(base, []AuditEntry{*entry})
		if now, err := json.Marshal(base); err != nil || string(now) != string(before) {
			t.Fatalf("the base was changed: %s", now)
		}
	})
}

// Guards against stored documents that make the decoder panic, or that it accepts
// although their check fails.
func FuzzDecodeDocument(f *testing.F) {
	data, err := os.ReadFile("testdata/tables.json")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(gzipMagic)
	f.Add([]byte("null"))
	f.Fuzz(func(t *testing.T, data []byte) {
		tables, err := DecodeDocument(data)
		if err == nil && tables.Check() != nil {
			t.Fatalf("accepted tables %+v fail their check", tables)
		}
	})
}

// Guards against paths and values of operators that cause a panic, or whose changes
// do not reproduce the edited tables.
func FuzzSteps(f *testing.F) {
	data, err := os.ReadFile("testdata/tables.json")
	if err != nil {
		f.Fatal(err)
	}
	base, err := DecodeTables(data)
	if err != nil {
		f.Fatal(err)
	}
	f.Add("Pools/assistant/Servers/d1/Drain", []byte("true"), false)
	f.Add("Routes/chat", []byte("null"), true)
	f.Add("", []byte(`{"Routes":[],"Pools":[]}`), false)
	f.Add("Pools//Servers/", []byte(`[1]`), false)
	f.Fuzz(func(t *testing.T, path string, value []byte, remove bool) {
		s := Step{Operation: OperationSet, Path: path, Value: value}
		if remove {
			s.Operation = OperationDelete
		}
		next, err := applySteps(base, []Step{s})
		if err != nil {
			return
		}
		changes, err := Diff(base, next)
		if err != nil {
			t.Fatalf("diff: %v", err)
		}
		reached, err := Apply(base, changes)
		if err != nil {
			t.Fatalf("apply %v: %v", changes, err)
		}
		reached.Revision, reached.EditID = next.Revision, next.EditID
		got, gotErr := json.Marshal(reached)
		want, wantErr := json.Marshal(next)
		if gotErr != nil || wantErr != nil || string(got) != string(want) {
			t.Fatalf("changes %v lead to %s, want %s", changes, got, want)
		}
	})
}
