package relayer

import (
	"io"

	"github.com/pkg/errors"
)

// pumpChunkBytes is the size of the pieces in which a pump reads a body and hands it on.
const pumpChunkBytes = 4 << 10

// pump reads a body while what was read before is written to a caller. It keeps no more
// than the bytes that it begins with, so that a server that is read slowly is still read
// whenever the caller has taken a chunk.
type pump struct {
	// full holds the chunks to write, in order, and is closed at the end of the body. free
	// holds those that were written.
	full, free chan []byte
	// stopped is closed when no more chunks are written.
	stopped chan struct{}
	// err is the error that ended the body. It may be read when full is closed.
	err error
}

// startPump starts a pump of body, of which prefix was read. stop must be called before
// body is closed.
func startPump(body io.Reader, prefix []byte) (p *pump, stop func()) {
	chunks := max(1, len(prefix)/pumpChunkBytes)
	p = &pump{full: make(chan []byte, chunks+1), free: make(chan []byte, chunks+1), stopped: make(chan struct{})}
	for len(prefix) > 0 {
		n := min(pumpChunkBytes, len(prefix))
		p.full <- prefix[:n:n]
		prefix = prefix[n:]
	}
	go p.run(body)
	return p, func() { close(p.stopped) }
}

func (p *pump) run(body io.Reader) {
	defer close(p.full)
	for {
		var chunk []byte
		select {
		case chunk = <-p.free:
		case <-p.stopped:
			return
		}
		n, err := body.Read(chunk[:cap(chunk)])
		if n > 0 {
			p.full <- chunk[:n]
		} else {
			p.free <- chunk
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				p.err = err
			}
			return
		}
	}
}
