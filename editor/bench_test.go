package editor

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/fakestore"
)

// Reports the figures of docs/decisions/tables.md: sizes and time of an edit
// that drains one server.
func BenchmarkDrain(b *testing.B) {
	for _, servers := range []int{15, 150, 1500, 4000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			store := &fakestore.Store{}
			ed := newTestEditor(store)
			data, err := json.Marshal(largeTables(servers))
			if err != nil {
				b.Fatal(err)
			}
			if _, err := ed.Edit(b.Context(), request("setup", "", string(data))); err != nil {
				b.Fatal(err)
			}
			calls := store.Calls()
			drain := true
			for b.Loop() {
				path := "Pools/assistant/Servers/server-00001/Drain"
				if _, err := ed.Edit(b.Context(), request("amina", path, fmt.Sprint(drain))); err != nil {
					b.Fatal(err)
				}
				drain = !drain
			}
			document, err := store.Get(b.Context(), egretflow.TablesDocumentKey)
			if err != nil {
				b.Fatal(err)
			}
			entry, err := store.Get(b.Context(), auditKey(2))
			if err != nil {
				b.Fatal(err)
			}
			edits := float64(store.Calls()["Commit"] - calls["Commit"])
			b.ReportMetric(float64(store.Calls()["Get"]-calls["Get"]-2)/edits, "reads/edit")
			b.ReportMetric(float64(len(document.Value)), "document-bytes")
			b.ReportMetric(float64(len(entry.Value)), "entry-bytes")
		})
	}
}

// Compares what a change costs an instance: the new tables made from the entry,
// as the distributor does, and decoded from the document.
func BenchmarkActivate(b *testing.B) {
	for _, servers := range []int{150, 1500, 4000} {
		base, after := largeTables(servers), largeTables(servers)
		after.Revision, after.Pools[0].Servers[1].Drain = 1, true
		changes, err := Diff(base, after)
		if err != nil {
			b.Fatal(err)
		}
		document, err := json.Marshal(after)
		if err != nil {
			b.Fatal(err)
		}
		entry := &Entry{Revision: 1, Changes: changes, Checksum: xxhash.Sum64(document)}
		b.Run(fmt.Sprintf("servers=%d/entry", servers), func(b *testing.B) {
			for b.Loop() {
				if _, _, err := entry.Next(base); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("servers=%d/document", servers), func(b *testing.B) {
			for b.Loop() {
				var t egretflow.Tables
				if err := json.Unmarshal(document, &t); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func largeTables(servers int) *egretflow.Tables {
	pool := egretflow.Pool{Name: "assistant", Kind: egretflow.PoolKindModel, Model: "assistant-llm"}
	for n := range servers {
		role := egretflow.RoleDecode
		if n%3 == 0 {
			role = egretflow.RolePrefill
		}
		pool.Servers = append(pool.Servers, egretflow.Server{
			Name:          egretflow.ServerName(fmt.Sprintf("server-%05d", n)),
			Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 9000),
			FailureDomain: "mittelland-a", Role: role, Slots: 20, Blocks: 4000,
			PrefillTokensPerSecond: 16000, LinkBytesPerSecond: 5_000_000_000,
		})
	}
	return &egretflow.Tables{Pools: []egretflow.Pool{pool}}
}
