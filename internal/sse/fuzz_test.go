package sse

import (
	"bytes"
	"testing"
	"testing/iotest"
)

type event struct{ id, data string }

// readAll returns the events up to the first error.
func readAll(r *Reader) []event {
	var events []event
	for {
		id, data, err := r.Next()
		if err != nil {
			return events
		}
		events = append(events, event{string(id), string(data)})
	}
}

// Fuzzes the streams of engines: the events must not depend on how the bytes are
// split into reads, and hold no more bytes than the input.
func FuzzReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: {\"a\":1}\n\nid: 2\r\ndata: b\r\ndata: c\r\n\r\n: comment\n\ndata:[DONE]\n\n"))
	f.Add([]byte("data: cut by the end"))
	f.Add(append(bytes.Repeat([]byte("data: long "), 200), "\n\n"...))
	f.Fuzz(func(t *testing.T, data []byte) {
		whole := readAll(NewReader(bytes.NewReader(data)))
		byteByByte := readAll(NewReader(iotest.OneByteReader(bytes.NewReader(data))))
		if len(whole) != len(byteByByte) {
			t.Fatalf("%d events, byte by byte %d", len(whole), len(byteByByte))
		}
		size := 0
		for n := range whole {
			if whole[n] != byteByByte[n] {
				t.Fatalf("event %d is %q, byte by byte %q", n, whole[n], byteByByte[n])
			}
			size += len(whole[n].data)
		}
		if size > len(data) {
			t.Fatalf("%d bytes of events from %d bytes", size, len(data))
		}
	})
}
