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
	// eventBufferBytes is the size of the read buffer; longer lines are copied.
	eventBufferBytes = 1 << 10
	// maxEventBytes bounds a line and the data of an event.
	maxEventBytes = 1 << 20
)

// ErrTooLong means that an event exceeds 1 MiB.
var ErrTooLong = errors.New("event exceeds 1 MiB")

// Reader reads events without a goroutine, coroutine or allocation per event, to
// meet the targets for CPU time and memory per stream (section 14).
type Reader struct {
	r *bufio.Reader
	// id is the last received event id, data the data of the current event.
	id   []byte
	data []byte
	// line is the buffer for a line that is longer than the buffer of r.
	line []byte
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, eventBufferBytes)}
}

// Next returns the data of the next event and the last id that was received with
// it or before it. Both are valid until the following call. An event that is
// truncated by the end of the input is not returned.
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

// Buffered reports whether bytes after the returned event are in the read buffer.
func (e *Reader) Buffered() bool { return e.r.Buffered() > 0 }

// readLine returns the next line without its line ending.
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
