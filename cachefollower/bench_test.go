package cachefollower

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/egretflow/egretflow/internal/sse"
)

// Reports the processor time to read one event of a prompt of 2,000 tokens.
func BenchmarkReadEvent(b *testing.B) {
	hashes := make([]string, 8)
	for n := range hashes {
		hashes[n] = fmt.Sprint(uint64(1)<<63 + uint64(n))
	}
	event := fmt.Sprintf("id: 1234567\ndata: {\"type\":\"BlockStored\",\"block_hashes\":[%s]}\n\n", strings.Join(hashes, ","))
	events := sse.NewReader(&repeated{text: event})
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

// repeated delivers a text without end.
type repeated struct {
	text string
	at   int
}

var _ io.Reader = (*repeated)(nil)

func (r *repeated) Read(p []byte) (int, error) {
	n := copy(p, r.text[r.at:])
	r.at = (r.at + n) % len(r.text)
	return n, nil
}
