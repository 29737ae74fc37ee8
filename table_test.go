package egretflow_test

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"

	"github.com/egretflow/egretflow"
)

// Guards against invalid tables that are accepted and leave a route or a pool
// unusable, and against errors that do not name the field.
func TestTablesCheckNamesField(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/tables.txtar")
	if err != nil {
		t.Fatal(err)
	}
	base, cases := string(archive.Files[0].Data), string(archive.Files[1].Data)
	for _, line := range strings.Split(strings.TrimSpace(cases), "\n") {
		part := strings.Split(line, "|")
		name, edit, field := part[0], part[1], part[2]
		t.Run(name, func(t *testing.T) {
			data := base
			if edit != "" {
				before, after, _ := strings.Cut(edit, "=>")
				data = strings.Replace(base, before, after, 1)
				if data == base {
					t.Fatalf("the edit %q changes nothing", edit)
				}
			}
			var tables egretflow.Tables
			checkDecoded(t, json.Unmarshal([]byte(data), &tables), field)
		})
	}
}

func checkDecoded(t *testing.T, err error, field string) {
	t.Helper()
	if field == "" {
		if err != nil {
			t.Fatalf("tables were rejected: %v", err)
		}
		return
	}
	if err == nil || !strings.Contains(err.Error(), field) {
		t.Fatalf("got error %v, want one that names %q", err, field)
	}
}

// Guards against a caller that reaches the pool of another caller, and against
// a service prefix that matches in the middle of a path element.
func TestRouteLookup(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/tables.txtar")
	if err != nil {
		t.Fatal(err)
	}
	var tables egretflow.Tables
	if err := json.Unmarshal(archive.Files[0].Data, &tables); err != nil {
		t.Fatal(err)
	}
	if _, err := tables.RouteForModel("other", "letter-writers"); !errors.Is(err, egretflow.ErrForbidden) {
		t.Errorf("route of another caller: got %v, want ErrForbidden", err)
	}
	if _, err := tables.RouteForModel("clerk", "none"); !errors.Is(err, egretflow.ErrNotFound) {
		t.Errorf("unknown model: got %v, want ErrNotFound", err)
	}
	if r, err := tables.RouteForPath("clerk", "POST", "/orders/7"); err != nil || r.Name != "orders" {
		t.Errorf("order path: got %v, %v", r, err)
	}
	for _, path := range []string{"/ordersheet", "/order"} {
		if _, err := tables.RouteForPath("clerk", "POST", path); !errors.Is(err, egretflow.ErrNotFound) {
			t.Errorf("%s: got %v, want ErrNotFound", path, err)
		}
	}
}

// Checks that the decoder of the tables never panics, and that tables that it
// accepts are accepted again after a round trip.
func FuzzTables(f *testing.F) {
	archive, err := txtar.ParseFile("testdata/tables.txtar")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(archive.Files[0].Data)
	f.Fuzz(func(t *testing.T, data []byte) {
		var tables, again egretflow.Tables
		if json.Unmarshal(data, &tables) != nil {
			return
		}
		encoded, err := json.Marshal(&tables)
		if err != nil {
			t.Fatalf("encode accepted tables: %v", err)
		}
		if err := json.Unmarshal(encoded, &again); err != nil {
			t.Fatalf("decode encoded tables: %v", err)
		}
	})
}
