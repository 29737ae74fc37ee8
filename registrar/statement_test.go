package registrar_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretflow/egretflow"
)

// Guards against new work for a server that states that it is leaving, in an outage of
// the platform too, and against a server that gets none after it has started again.
func TestStatedLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory()
		d.config = configuration(1)
		d.servers = []egretflow.ServerEntry{server(1), server(2)}
		r := start(t, d, nil)
		time.Sleep(time.Second)
		r.MarkLeaving("s1")
		r.MarkLeaving("unknown")
		if r.AcceptsWork("s1") || !r.AcceptsWork("s2") {
			t.Errorf("s1 takes work: %v, s2: %v; want only s2", r.AcceptsWork("s1"), r.AcceptsWork("s2"))
		}
		if got := r.Closed("desk").Names; !slices.Equal(got, []egretflow.ServerName{"s1"}) {
			t.Errorf("closed servers %v, want s1", got)
		}
		if servers := r.Tables().Pools[0].Servers; !servers[0].Drain || servers[1].Drain {
			t.Errorf("servers in the tables: %+v", servers)
		}
		d.set(func(d *fakeDirectory) { d.down = true })
		time.Sleep(5 * time.Second)
		if r.AcceptsWork("s1") {
			t.Error("the statement is forgotten in an outage of the platform")
		}
		again := server(1)
		again.Server.StartedAt = time.Now()
		d.set(func(d *fakeDirectory) { d.down, d.servers = false, []egretflow.ServerEntry{again, server(2)} })
		time.Sleep(2 * time.Second)
		if !r.AcceptsWork("s1") || len(r.Closed("desk").Names) > 0 {
			t.Error("a server that has started again takes no work")
		}
	})
}

// Guards against work for a server before it wants any, against one that gets none
// afterwards, and against a pool that counts as open although one of its roles has no
// server.
func TestPausedServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory()
		d.config = configuration(1)
		d.servers = []egretflow.ServerEntry{server(1), server(2)}
		r := start(t, d, nil)
		time.Sleep(time.Second)
		later := time.Now().Add(2 * time.Second)
		r.PauseUntil("s1", later)
		r.PauseUntil("s1", later.Add(-time.Second))
		if got := r.Closed("desk"); r.AcceptsWork("s1") || !got.OpensAt.IsZero() || !slices.Equal(got.Names, []egretflow.ServerName{"s1"}) {
			t.Errorf("s1 takes work: %v, closed %+v", r.AcceptsWork("s1"), got)
		}
		r.PauseUntil("s2", later.Add(time.Second))
		if got := r.Closed("desk").OpensAt; !got.Equal(later) {
			t.Errorf("the pool opens at %v, want %v", got, later)
		}
		r.MarkLeaving("s1")
		if got := r.Closed("desk").OpensAt; !got.Equal(later.Add(time.Second)) {
			t.Errorf("without s1 the pool opens at %v, want %v", got, later.Add(time.Second))
		}
		time.Sleep(3 * time.Second)
		if got := r.Closed("desk"); !r.AcceptsWork("s2") || !got.OpensAt.IsZero() {
			t.Errorf("after the pause s2 takes work: %v, closed %+v", r.AcceptsWork("s2"), got)
		}
	})
}
