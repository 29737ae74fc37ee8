package registrar_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretflow/egretflow"
)

// Guards against a list that follows what a peer says of an earlier era, or what one of the
// build before says, which names no era and may mean an earlier one.
func TestConfirmationsOfOtherEras(t *testing.T) {
	for _, test := range []struct {
		name    string
		version egretflow.StoreVersion
		// applied reports whether the change of the peer is taken over, and reads is the
		// number of reads that it causes.
		applied bool
		reads   int
	}{
		{"same era, newer", egretflow.StoreVersion{Era: 2, Revision: 41}, true, 0},
		{"same era, older", egretflow.StoreVersion{Era: 2, Revision: 39}, false, 0},
		{"earlier era, higher revision", egretflow.StoreVersion{Era: 1, Revision: 900}, false, 0},
		{"no era, higher revision", egretflow.StoreVersion{Revision: 900}, false, 1},
		{"no era, lower revision", egretflow.StoreVersion{Revision: 39}, false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDirectory()
				d.config, d.servers, d.era, d.revision = configuration(1), []egretflow.ServerEntry{server(1), server(2)}, 2, 40
				// Nobody but this instance reads, and that is due only after 3 s or more.
				r := start(t, d, func() int { return 9 })
				time.Sleep(200 * time.Millisecond)
				before, known := d.readCount(), r.Confirmation()
				peer := known
				peer.From, peer.Version, peer.ReadAt, peer.Servers = "peer", test.version, time.Now(), fingerprintWithout(t, 1)
				peer.Deltas = []egretflow.ServersDelta{{Version: test.version, Removed: []egretflow.ServerName{"s1"}}}
				r.ApplyConfirmation(peer)
				time.Sleep(700 * time.Millisecond)
				if applied := !r.AcceptsWork("s1"); applied != test.applied {
					t.Errorf("applied %t, want %t", applied, test.applied)
				}
				if reads := d.readCount() - before; reads != test.reads {
					t.Errorf("%d reads, want %d", reads, test.reads)
				}
				if v := r.Confirmation().Version; known.Version.After(v) {
					t.Errorf("version %s after %s", v, known.Version)
				}
			})
		})
	}
}

// fingerprintWithout returns the hash of the list of servers 1 and 2 without server n.
func fingerprintWithout(t *testing.T, n int) uint64 {
	d := newDirectory()
	d.config, d.servers = configuration(1), []egretflow.ServerEntry{server(3 - n)}
	r := start(t, d, nil)
	time.Sleep(100 * time.Millisecond)
	return r.Confirmation().Servers
}

// Guards against an instance of the build before that ends the confirmation of an equal list,
// so that the whole fleet reads the store while it is replaced.
func TestEqualListWithoutEraIsConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory()
		d.config, d.servers, d.era, d.revision = configuration(1), []egretflow.ServerEntry{server(1)}, 2, 40
		r := start(t, d, func() int { return 1 })
		time.Sleep(100 * time.Millisecond)
		before := d.readCount()
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			c := r.Confirmation()
			c.From, c.ReadAt, c.Version = "peer", time.Now(), egretflow.StoreVersion{Revision: 900}
			r.ApplyConfirmation(c)
		}
		if reads := d.readCount() - before; reads != 0 {
			t.Errorf("%d reads while a peer confirms the list", reads)
		}
		if v := r.Confirmation().Version; v != (egretflow.StoreVersion{Era: 2, Revision: 40}) {
			t.Errorf("version %s", v)
		}
	})
}

// Guards against a list of an earlier era that comes late and takes the place of a later
// one.
func TestListOfEarlierEraIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory()
		d.config, d.servers, d.era, d.revision = configuration(1), []egretflow.ServerEntry{server(1), server(2)}, 1, 900
		r := start(t, d, nil)
		time.Sleep(time.Second)
		late, err := d.Servers(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		d.set(func(d *fakeDirectory) { d.servers, d.era, d.revision = []egretflow.ServerEntry{server(2)}, 2, 30 })
		time.Sleep(4 * time.Second)
		if r.AcceptsWork("s1") || !r.AcceptsWork("s2") {
			t.Error("the list of the later era is not in force")
		}
		d.set(func(d *fakeDirectory) { d.staleList = &late })
		time.Sleep(time.Second)
		if r.AcceptsWork("s1") {
			t.Error("a list of an earlier era has taken the place of a later one")
		}
	})
}

// Guards against a server that has left and gets work again at an instance that knew so,
// because another one, which has missed that in an outage, keeps the server for the grace and
// passes its list on as a newer one.
func TestKeptServersAreNotTakenOver(t *testing.T) {
	for _, era := range []egretflow.Era{1, 2} {
		synctest.Test(t, func(t *testing.T) {
			d := newDirectory()
			d.config, d.servers, d.era, d.revision = configuration(1), []egretflow.ServerEntry{server(1), server(2)}, 1, 40
			r := start(t, d, nil)
			time.Sleep(time.Second)
			d.set(func(d *fakeDirectory) { d.down = true })
			time.Sleep(2 * time.Second)
			d.set(func(d *fakeDirectory) {
				d.down, d.servers, d.era, d.revision = false, []egretflow.ServerEntry{server(2)}, era, 60
			})
			time.Sleep(time.Second)
			_, kept := r.Snapshot()
			if !r.AcceptsWork("s1") {
				t.Error("a server that is missing after the return is not kept")
			}
			// Others have known since revision 50 of this era that server 1 has left.
			if known := (egretflow.StoreVersion{Era: era, Revision: 50}); len(kept.Entries) > 1 && kept.Version.After(known) {
				t.Errorf("others are told %d servers at version %s, which is after %s", len(kept.Entries), kept.Version, known)
			}
			time.Sleep(3 * time.Second)
			if _, list := r.Snapshot(); len(list.Entries) != 1 || list.Version != (egretflow.StoreVersion{Era: era, Revision: 61}) {
				t.Errorf("%d servers at version %s after the grace, want 1 at %d/61", len(list.Entries), list.Version, era)
			}
		})
	}
}
