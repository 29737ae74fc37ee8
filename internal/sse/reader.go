// Package sse reads server-sent events (HTML standard, section 9.2).
//
// # Usage
//
//	events := sse.NewReader(response.Body)
//	for {
//		id, data, err := events.Next()
//		...
//	}
package sse

import (
	"bufio"
	"bytes"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

const (
	eventBufferBytes = 1 << 10
	maxEventBytes    = 1 << 20
)

// ErrTooLong means that an event exceeds 1 MB.
var ErrTooLong = errors.New("event is too long")

// Reader reads events without a goroutine, coroutine or allocation per event,
// which the targets for processor time and memory per stream need (section 14).
type Reader struct {
	r *bufio.Reader
	// id and data are those of the event that is being read.
	id   []byte
	data []byte
	// line holds a line that is longer than the buffer of r.
	line []byte
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, eventBufferBytes)}
}

// Next returns the last id that was sent and the data of the next event, both
// valid until the following call. An event that is cut by the end of the input
// is not returned.
func (e *Reader) Next() (id, data []byte, err error) {
	e.data = e.data[:0]
	for {
		line, err := e.readLine()
		if err != nil {
			return nil, nil, err
		}
		if len(line) == 0 {
			if len(e.data) > 0 {
				return e.id, e.data[:len(e.data)-1], nil
			}
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			e.id = append(e.id[:0], value...)
		case "data":
			e.data = append(append(e.data, value...), '\n')
		}
		if len(e.data) > maxEventBytes {
			return nil, nil, ErrTooLong
		}
	}
}

// Buffered reports whether more bytes have arrived than were returned.
func (e *Reader) Buffered() bool { return e.r.Buffered() > 0 }

// readLine returns the next line without its end.
func (e *Reader) readLine() ([]byte, error) {
	line, err := e.r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		e.line = append(e.line[:0], line...)
		for errors.Is(err, bufio.ErrBufferFull) && len(e.line) <= maxEventBytes {
			line, err = e.r.ReadSlice('\n')
			e.line = append(e.line, line...)
		}
		line = e.line
	}
	if len(line) > maxEventBytes {
		return nil, ErrTooLong
	}
	if err != nil {
		return nil, fmt.Errorf("read event: %w", err)
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
}
