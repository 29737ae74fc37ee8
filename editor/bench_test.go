package editor

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/fakestore"
)

// BenchmarkDrain measures the time of an edit that drains one server and the sizes
// of what it stores. docs/decisions/tables.md uses its figures.
func BenchmarkDrain(b *testing.B) {
	for _, servers := range []int{15, 150, 1500, 5500, 10_000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			store := &fakestore.Store{}
			ed := newTestEditor(store)
			tables := largeTables(servers)
			path := "Pools/assistant/Servers/" + string(tables.Pools[0].Servers[1].Name) + "/Drain"
			data, err := json.Marshal(tables)
			if err != nil {
				b.Fatal(err)
			}
			if _, err := ed.Edit(b.Context(), request("setup", "", string(data))); err != nil {
				b.Fatal(err)
			}
			calls := store.Calls()
			drain := true
			for b.Loop() {
				if _, err := ed.Edit(b.Context(), request("amina", path, fmt.Sprint(drain))); err != nil {
					b.Fatal(err)
				}
				drain = !drain
			}
			stored, err := store.Get(b.Context(), egretflow.TablesDocumentKey)
			if err != nil {
				b.Fatal(err)
			}
			document, err := decompress(stored.Value, MaxDocumentBytes)
			if err != nil {
				b.Fatal(err)
			}
			entry, err := store.Get(b.Context(), auditKey(2))
			if err != nil {
				b.Fatal(err)
			}
			edits := float64(store.Calls()["Commit"] - calls["Commit"])
			b.ReportMetric(float64(store.Calls()["Get"]-calls["Get"]-2)/edits, "reads/edit")
			b.ReportMetric(float64(len(document)), "document-bytes")
			b.ReportMetric(float64(len(stored.Value)), "stored-bytes")
			b.ReportMetric(float64(len(entry.Value)), "entry-bytes")
		})
	}
}

// BenchmarkActivate compares two ways for an instance to get new tables: applying
// the audit entry, as the distributor does, and decoding the whole document. It
// also measures the compression of the document.
func BenchmarkActivate(b *testing.B) {
	for _, servers := range []int{150, 1500, 5500, 10_000} {
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
		entry := &AuditEntry{Revision: 1, Changes: changes, Checksum: xxhash.Sum64(document)}
		b.Run(fmt.Sprintf("servers=%d/entry", servers), func(b *testing.B) {
			for b.Loop() {
				if _, _, err := entry.Next(base); err != nil {
					b.Fatal(err)
				}
			}
		})
		stored, err := EncodeDocument(document)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("servers=%d/document", servers), func(b *testing.B) {
			for b.Loop() {
				if _, err := DecodeDocument(stored); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("servers=%d/compress", servers), func(b *testing.B) {
			for b.Loop() {
				if _, err := EncodeDocument(document); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// largeTables returns tables with one pool. Its servers differ in every field that
// differs in a real fleet, because identical ones would compress unrealistically
// well.
func largeTables(servers int) *egretflow.Tables {
	random := rand.New(rand.NewPCG(1, 1))
	pool := egretflow.Pool{Name: "assistant", Kind: egretflow.PoolKindModel, Model: "assistant-llm"}
	for n := range servers {
		role := egretflow.RoleDecode
		if n%3 == 0 {
			role = egretflow.RolePrefill
		}
		host := random.Uint32()
		pool.Servers = append(pool.Servers, egretflow.Server{
			Name:          egretflow.ServerName(fmt.Sprintf("server-%08x", host)),
			Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(host >> 16), byte(host >> 8), byte(host)}), 9000),
			FailureDomain: egretflow.FailureDomain(fmt.Sprintf("mittelland-%c", 'a'+random.IntN(15))),
			Role:          role, Slots: 16 + random.IntN(9), Blocks: 3500 + random.IntN(1000),
			PrefillTokensPerSecond: 16000 + 500*random.IntN(5), LinkBytesPerSecond: 5_000_000_000,
		})
	}
	return &egretflow.Tables{Pools: []egretflow.Pool{pool}}
}
