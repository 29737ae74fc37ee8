package distributor

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/editor"
	"github.com/egretflow/egretflow/internal/fakestore"
)

// withFleet runs f in virtual time with a fleet that has been running at revision
// 1 for 5 s.
func withFleet(t *testing.T, size, domains int, f func(t *testing.T, fl *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, size, domains, Timing{})
		fl.edit(1)
		fl.startAll(1)
		fl.awaitRevision(1, time.Second)
		time.Sleep(5 * time.Second)
		f(t, fl)
		fl.stopAll()
	})
}

func normalFaults() fakestore.Faults { return fakestore.Faults{Latency: 2 * time.Millisecond} }

func outage() fakestore.Faults { return fakestore.Faults{Outage: true} }

// Guards against a store load that grows with the fleet: only WatchersPerDomain
// instances of each failure domain may watch the store. All must be confirmed.
func TestOnlyWatchersWatchStore(t *testing.T) {
	withFleet(t, 24, 4, func(t *testing.T, f *fleet) {
		watching := map[egretflow.FailureDomain]int{}
		for _, m := range f.members {
			status, err := f.instance(m).Status(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if status.WatchesStore {
				watching[m.FailureDomain]++
			}
			if !status.RevisionConfirmed || !status.Ready || status.Revision != 1 {
				t.Errorf("status %+v", status)
			}
		}
		for domain, n := range watching {
			if n != WatchersPerDomain {
				t.Errorf("%s: %d watchers", domain, n)
			}
		}
		if watches := f.store.Calls()["Watch"]; watches != 4*WatchersPerDomain {
			t.Errorf("%d watches", watches)
		}
	})
}

// Guards against faults that delay a revision. Each fault is injected before the
// edit, and all instances must still activate the revision within the 7 s of
// section 14.
func TestRevisionSpreadsDespiteFaults(t *testing.T) {
	watchersOf := func(f *fleet, domain int) []egretflow.Member {
		return pickWatchers(f.members)[domainOf(f.members[domain])]
	}
	tests := []struct {
		name   string
		inject func(f *fleet)
	}{
		{"silent watches", func(f *fleet) { f.store.SetFaults(fakestore.Faults{SilentWatches: true}) }},
		{"slow store", func(f *fleet) { f.store.SetFaults(fakestore.Faults{Latency: time.Second}) }},
		{"compaction", func(f *fleet) { f.store.Compact() }},
		{"outage until just before the edit", func(f *fleet) {
			f.store.SetFaults(outage())
			time.Sleep(time.Minute)
			f.store.SetFaults(normalFaults())
		}},
		{"a fifth of the peers silent until the edit", func(f *fleet) {
			for n := 0; n < len(f.members); n += 5 {
				f.setLink(f.members[n], linkSilent)
				time.AfterFunc(time.Second, func() { f.setLink(f.members[n], linkUp) })
			}
		}},
		{"watchers of one domain unreachable by peers", func(f *fleet) {
			for _, m := range watchersOf(f, 0) {
				f.setLink(m, linkRefused)
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withFleet(t, 24, 4, func(t *testing.T, f *fleet) {
				tt.inject(f)
				f.awaitRevision(f.edit(2), 7*time.Second)
			})
		})
	}
}

// Guards against an instance that restarts while the store is down and then
// activates an old revision or reports its revision as confirmed.
func TestRestartDuringOutage(t *testing.T) {
	withFleet(t, 12, 3, func(t *testing.T, f *fleet) {
		f.awaitRevision(f.edit(2), 7*time.Second)
		f.store.SetFaults(outage())
		restarted := f.restart(f.members[4], 2)
		<-restarted.Ready()
		if current := restarted.Current(); current.Tables.Revision != 2 {
			t.Errorf("revision %d, want 2", current.Tables.Revision)
		}
		time.Sleep(time.Minute)
		for _, m := range f.members {
			if current := f.instance(m).Current(); current.Confirmed || current.Tables.Revision != 2 {
				t.Errorf("%s during the outage: %+v", m.Name, current)
			}
		}
		restarted = f.restart(f.members[4], 3)
		<-restarted.Ready()
		if current := restarted.Current(); current.Confirmed || current.Tables.Revision != 2 {
			t.Errorf("restarted late in the outage: %+v", current)
		}
		f.store.SetFaults(normalFaults())
		time.Sleep(10 * time.Second)
		for _, m := range f.members {
			if !f.instance(m).Current().Confirmed {
				t.Errorf("%s is not confirmed after the outage", m.Name)
			}
		}
	})
}

// Guards against a startup that accepts the first response, which may come from a
// peer that was disconnected and has an older revision.
func TestStartupTakesHighestRevisionOfPeers(t *testing.T) {
	withFleet(t, 9, 3, func(t *testing.T, f *fleet) {
		for _, m := range f.members[:7] {
			f.setLink(m, linkRefused)
		}
		f.store.SetFaults(outage())
		time.Sleep(time.Second)
		// Only instances 7 and 8 can get revision 2 before instance 0 restarts.
		doc, err := decodeDocument([]byte(`{"Revision": 2, "EditID": "late", "Routes": [], "Pools": []}`))
		if err != nil {
			t.Fatal(err)
		}
		f.instance(f.members[8]).active.activate(doc, nil, time.Now())
		for _, m := range f.members[:7] {
			f.setLink(m, linkUp)
		}
		restarted := f.restart(f.members[0], 2)
		<-restarted.Ready()
		if r := restarted.Current().Tables.Revision; r != 2 {
			t.Errorf("revision %d, want 2", r)
		}
	})
}

// Guards against instances that go back to the older revision of a store that was
// restored from a backup, or still report their higher revision as confirmed.
func TestOlderStoreRevisionIsNotAccepted(t *testing.T) {
	withFleet(t, 9, 3, func(t *testing.T, f *fleet) {
		f.awaitRevision(f.edit(2), 7*time.Second)
		old, err := json.Marshal(egretflow.TablesHead{Revision: 1, EditID: "edit-1"})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := f.store.Commit(t.Context(), egretflow.StoreTxn{Writes: []egretflow.StoreWrite{
			{Key: egretflow.TablesDocumentKey, Value: []byte(`{"Revision":1,"EditID":"edit-1","Routes":[],"Pools":[]}`)},
			{Key: egretflow.TablesHeadKey, Value: old},
		}}); err != nil {
			t.Fatal(err)
		}
		// Watchers notice at the next read of the head, the others at the latest
		// when their last confirmation has expired.
		time.Sleep(3 * time.Second)
		for _, m := range f.members {
			if i := f.instance(m); contains(pickWatchers(f.members)[domainOf(m)], m.Name) && i.Current().Confirmed {
				t.Errorf("watcher %s is confirmed", m.Name)
			}
		}
		time.Sleep(27 * time.Second)
		for _, m := range f.members {
			if current := f.instance(m).Current(); current.Tables.Revision != 2 || current.Confirmed {
				t.Errorf("%s: %+v", m.Name, current)
			}
		}
	})
}

// Guards against a pull that waits for a peer that does not respond while another
// peer holds the same revision.
func TestSilentPeerIsHedged(t *testing.T) {
	withFleet(t, 3, 1, func(t *testing.T, f *fleet) {
		f.store.SetFaults(outage())
		doc, err := decodeDocument([]byte(`{"Revision": 2, "EditID": "late", "Routes": [], "Pools": []}`))
		if err != nil {
			t.Fatal(err)
		}
		f.instance(f.members[1]).active.activate(doc, nil, time.Now())
		f.instance(f.members[2]).active.activate(doc, nil, time.Now())
		f.setLink(f.members[1], linkSilent)
		start := time.Now()
		reader := f.instance(f.members[0])
		reader.Hint(f.members[1], 2)
		reader.Hint(f.members[2], 2)
		for reader.Current().Tables.Revision < 2 {
			time.Sleep(time.Millisecond)
		}
		if took := time.Since(start); took > 2*DefaultHedgeAfter+10*oneWayLatency {
			t.Errorf("took %v", took)
		}
	})
}

type violationRecorder struct{ violated bool }

func (c *violationRecorder) Check(_ egretflow.Invariant, holds bool, _ egretflow.RequestID, _ string) {
	c.violated = c.violated || !holds
}

// Guards against a caller of activate that passes a lower revision: activate must
// refuse it and report the violation of I8.
func TestActivateRefusesLowerRevision(t *testing.T) {
	c := &violationRecorder{}
	a := newActive(c)
	for _, r := range []egretflow.Revision{5, 4} {
		a.activate(document{tables: &egretflow.Tables{Revision: r}}, nil, time.Time{})
	}
	if !c.violated || a.load().revision() != 5 {
		t.Errorf("violated %v, revision %d", c.violated, a.load().revision())
	}
}

// Guards against combinations of outages, link faults, restarts, compactions and
// edits after which an instance activates a lower revision, or lacks the last one
// 7 s after the faults have ended.
func TestRandomFaultsNeverRevert(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			withFleet(t, 10, 3, func(t *testing.T, f *fleet) {
				r := rand.New(rand.NewPCG(seed, 0))
				accepted := egretflow.Revision(1)
				for step := range 60 {
					m := f.members[r.IntN(len(f.members))]
					switch r.IntN(7) {
					case 0:
						f.store.SetFaults(outage())
					case 1:
						f.store.Compact()
					case 2:
						f.store.SetFaults(fakestore.Faults{SilentWatches: r.IntN(2) == 0, Latency: time.Duration(r.IntN(300)) * time.Millisecond})
					case 3:
						f.setLink(m, []linkState{linkUp, linkSilent, linkRefused}[r.IntN(3)])
					case 4:
						f.restart(m, seed)
					default:
						f.store.SetFaults(normalFaults())
						accepted = f.edit(step + 2)
					}
					time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
				}
				f.store.SetFaults(normalFaults())
				for _, m := range f.members {
					f.setLink(m, linkUp)
				}
				f.awaitRevision(accepted, 7*time.Second)
			})
		})
	}
}

// Guards against a status that cannot be decoded or lacks members, and against
// a POST request being served.
func TestStatusHandler(t *testing.T) {
	withFleet(t, 3, 1, func(t *testing.T, f *fleet) {
		for method, want := range map[string]int{http.MethodGet: http.StatusOK, http.MethodPost: http.StatusMethodNotAllowed} {
			w := httptest.NewRecorder()
			f.instance(f.members[0]).StatusHandler().ServeHTTP(w, httptest.NewRequest(method, egretflow.StatusPath, nil))
			if w.Code != want {
				t.Errorf("%s: status %d", method, w.Code)
			}
			if want != http.StatusOK {
				continue
			}
			var status egretflow.InstanceStatus
			if err := json.Unmarshal(w.Body.Bytes(), &status); err != nil || status.Revision != 1 || len(status.Members) != 3 {
				t.Errorf("status %+v, error %v", status, err)
			}
		}
	})
}

// Guards against a forked instance that never recovers: it holds another document
// under the same revision number, so audit entries do not apply to its tables and
// it must read the whole document from the store or a peer.
func TestForkedInstanceGetsWholeDocument(t *testing.T) {
	for _, watcher := range []bool{true, false} {
		t.Run(fmt.Sprintf("watcher=%t", watcher), func(t *testing.T) {
			withFleet(t, 9, 1, func(t *testing.T, f *fleet) {
				watchers := pickWatchers(f.members)[domainOf(f.members[0])]
				forked := f.members[slices.IndexFunc(f.members, func(m egretflow.Member) bool {
					return contains(watchers, m.Name) == watcher
				})]
				// The fork differs from revision 2 in a field that the next edits do not
				// change.
				fork, err := decodeDocument(tablesWithSlots(1))
				if err != nil {
					t.Fatal(err)
				}
				fork.tables.Revision, fork.tables.EditID = 2, "fork"
				fork.tables.Pools[0].Servers[5].Slots = 77
				f.instance(forked).active.activate(fork, nil, time.Now())
				f.edit(2)
				f.awaitRevision(f.edit(3), 7*time.Second)
				current := f.instance(forked).Current().Tables
				if servers := current.Pools[0].Servers; servers[0].Slots != 3 || servers[5].Slots != 1 {
					t.Errorf("revision %d has slots %d and %d, want 3 and 1", current.Revision, servers[0].Slots, servers[5].Slots)
				}
			})
		})
	}
}

// Guards against answering a pull with deltas that have a gap or are larger than
// the document.
func TestDeltasAbove(t *testing.T) {
	s := &snapshot{document: newDocument(&egretflow.Tables{Revision: 9}, make([]byte, 1000))}
	for r := egretflow.Revision(7); r <= 9; r++ {
		s.deltas = appendDelta(s.deltas, &delta{r, make([]byte, 40)})
	}
	for above, want := range map[egretflow.Revision]int{9: 0, 8: 1, 7: 2, 6: 3, 5: 0, 0: 0, 20: 0} {
		if got := len(s.deltasAbove(above)); got != want {
			t.Errorf("above %d: %d deltas, want %d", above, got, want)
		}
	}
	s.data = s.data[:100]
	if got := s.deltasAbove(6); got != nil {
		t.Errorf("%d deltas, larger than the document", len(got))
	}
	if s.deltas = appendDelta(s.deltas, nil); len(s.deltas) != 0 {
		t.Error("deltas were kept after a revision without a delta")
	}
}

// Guards against a pull response whose whole document the peer cannot decode. The
// tables are large enough to be compressed; the document either comes from the
// store, already compressed, or was made from a delta.
func TestPullOfCompressedDocument(t *testing.T) {
	tables := &egretflow.Tables{Revision: 9, Pools: []egretflow.Pool{{Name: "order-desk", Kind: egretflow.PoolKindService}}}
	for n := range 2000 {
		tables.Pools[0].Servers = append(tables.Pools[0].Servers, egretflow.Server{
			Name: egretflow.ServerName(fmt.Sprintf("o%d", n)), Address: netip.MustParseAddrPort("127.0.0.1:9003"),
			FailureDomain: "domain-0", Role: egretflow.RoleService, Slots: 1,
		})
	}
	plain, err := json.Marshal(tables)
	if err != nil {
		t.Fatal(err)
	}
	stored, err := editor.EncodeDocument(plain)
	if err != nil || len(stored) >= len(plain) {
		t.Fatalf("%d bytes stored of %d, error %v", len(stored), len(plain), err)
	}
	for name, data := range map[string][]byte{"from a delta": plain, "from the store": stored} {
		d := New(Config{Clock: time.Now})
		d.active.current.Store(&snapshot{document: newDocument(tables, data)})
		response, err := d.HandlePull(t.Context(), &egretflow.PullRequest{Above: 3, Full: true})
		if err != nil {
			t.Fatal(err)
		}
		got, err := decodeDocument(response.Tables)
		if err != nil || len(response.Tables) != len(stored) || len(got.tables.Pools[0].Servers) != 2000 {
			t.Errorf("%s: %d bytes pulled, error %v", name, len(response.Tables), err)
		}
	}
}
