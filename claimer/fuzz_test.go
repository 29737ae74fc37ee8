package claimer

import (
	"bytes"
	"testing"
	"time"

	"github.com/egretflow/egretflow"
)

// Guards against stored documents that change when they are read and written
// again, or whose encoding is larger than the computed size.
func FuzzDecodeDocument(f *testing.F) {
	f.Add([]byte(`{"Claims":[{"KeyHash":"k","Fingerprint":7,"Token":"t","Epoch":1,"Holder":"entry-1","State":"Claimed","ExpiresAt":"2026-01-02T00:00:00Z"}]}`))
	f.Add([]byte(`{"Claims":[{"KeyHash":"k","State":"Done","Outcome":{"Status":200,"Body":"eA=="},"ExpiresAt":"2026-01-02T00:00:00Z"},{"KeyHash":"k","State":"NotRun","ExpiresAt":"2026-01-02T00:00:00Z"}]}`))
	f.Add([]byte(`{"Claims":null}`))
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := decodeDocument(data, now)
		if err != nil {
			return
		}
		encoded := d.encode()
		if len(encoded) > d.size {
			t.Fatalf("%d bytes, counted %d", len(encoded), d.size)
		}
		again, err := decodeDocument(encoded, now)
		if err != nil || !bytes.Equal(again.encode(), encoded) {
			t.Fatalf("document %s is not read back, error %v", encoded, err)
		}
	})
}

// Guards against idempotency keys that yield neither a valid location nor a
// refusal with a 4xx status.
func FuzzLocate(f *testing.F) {
	f.Add("019b0a5e-0000-7000-8000-000000000000")
	f.Add("plain key")
	f.Add("urn:uuid:019b0a5e-0000-7000-8000-000000000000")
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	f.Fuzz(func(t *testing.T, key string) {
		p, refusal := locate(egretflow.ClaimKey{Caller: "c", Route: "r", Key: key}, now)
		if refusal != nil {
			if refusal.Status < 400 || refusal.Status > 499 {
				t.Fatalf("%q: status %d", key, refusal.Status)
			}
			return
		}
		if p.shard < 0 || p.shard >= Shards || p.document == "" || p.keyHash == "" {
			t.Fatalf("%q: location %+v", key, p)
		}
	})
}
