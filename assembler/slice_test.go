package assembler

import (
	"testing"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/slicer"
)

// Guards against a scheduler that gets the servers of all slices, and against one
// that uses servers of another slice before a plan is known.
func TestRestrictedTables(t *testing.T) {
	f := newSliceFollower()
	servers := []egretflow.Server{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	tables := &egretflow.Tables{Revision: 2, Pools: []egretflow.Pool{{Name: "p", Servers: servers}, {Name: "q"}}}
	f.setTables(tables)
	if got := f.sliceTables(); got != nil {
		t.Fatalf("tables without a plan are %+v, want none", got)
	}
	f.setPlan(slicer.Plan{Servers: []slicer.ServerShare{{Server: &servers[1]}, {Server: &egretflow.Server{Name: "gone"}}}})
	got := f.sliceTables()
	if len(got.Pools) != 2 || len(got.Pools[0].Servers) != 1 || got.Pools[0].Servers[0].Name != "b" {
		t.Errorf("restricted pools are %+v, want server b only", got.Pools)
	}
	if got.Revision != 2 || len(tables.Pools[0].Servers) != 3 {
		t.Error("restricting changed the tables in force")
	}
}
