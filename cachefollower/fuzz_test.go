package cachefollower

import (
	"testing"

	"github.com/egretflow/egretflow"
)

// Guards against input that makes the decoder of cache events panic, and against
// sequence numbers that do not increase. A number may be at or below the previous
// one only after a CacheEventCleared, which has the number 0.
func FuzzDecodeEvent(f *testing.F) {
	f.Add([]byte("7"), []byte(`{"type":"BlockStored","block_hashes":[18446744073709551615,2]}`), []byte("8"))
	f.Add([]byte("7"), []byte(`{"type":"AllBlocksCleared"}`), []byte("3"))
	f.Add([]byte("x"), []byte(`[`), []byte("0"))
	f.Fuzz(func(t *testing.T, id, data, nextID []byte) {
		s := &followedServer{lastSequence: 5, awaitingEvent: true}
		for _, id := range [][]byte{id, nextID} {
			if e, err := decodeEvent(id, data); err == nil {
				s.addEvents([]egretflow.CacheEvent{e})
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
