package cachefollower

import (
	"testing"

	"github.com/egretflow/egretflow"
)

// Fuzzes cache events from engines: an accepted one has a sequence number, and a
// follower that takes any two passes on growing numbers only, after a clear.
func FuzzDecodeEvent(f *testing.F) {
	f.Add([]byte("7"), []byte(`{"type":"BlockStored","block_hashes":[18446744073709551615,2]}`), []byte("8"))
	f.Add([]byte("7"), []byte(`{"type":"AllBlocksCleared"}`), []byte("3"))
	f.Add([]byte("x"), []byte(`[`), []byte("0"))
	f.Fuzz(func(t *testing.T, id, data, nextID []byte) {
		s := &followed{last: 5, resumed: true}
		for _, id := range [][]byte{id, nextID} {
			if e, err := decodeEvent(id, data); err == nil {
				s.take([]egretflow.CacheEvent{e})
			}
		}
		last := uint64(5)
		for _, e := range s.pending {
			if e.Sequence == 0 && e.Type != egretflow.CacheEventCleared || e.Sequence != 0 && e.Sequence <= last {
				t.Fatalf("events %+v", s.pending)
			}
			last = e.Sequence
		}
	})
}
