package cachefollower

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/egretflow/egretflow/internal/sse"
)

// Measures the processor time to read and decode one event of a prompt of 2,000
// tokens.
func BenchmarkReadEvent(b *testing.B) {
	hashes := make([]string, 8)
	for n := range hashes {
		hashes[n] = fmt.Sprint(uint64(1)<<63 + uint64(n))
	}
	event := fmt.Sprintf("id: 1234567\ndata: {\"type\":\"BlockStored\",\"block_hashes\":[%s]}\n\n", strings.Join(hashes, ","))
	events := sse.NewReader(&repeatingReader{text: event})
	b.SetBytes(int64(len(event)))
	for b.Loop() {
		id, data, err := events.Next()
		if err != nil {
			b.Fatal(err)
		}
		if _, err := decodeEvent(id, data); err != nil {
			b.Fatal(err)
		}
	}
}

// repeatingReader is a reader that repeats a text endlessly.
type repeatingReader struct {
	text   string
	offset int
}

var _ io.Reader = (*repeatingReader)(nil)

func (r *repeatingReader) Read(p []byte) (int, error) {
	n := copy(p, r.text[r.offset:])
	r.offset = (r.offset + n) % len(r.text)
	return n, nil
}
