// Package reserver bounds the bytes that all requests of a process hold together, so
// that many that stay below their own limits cannot use up its memory.
//
// # Usage
//
//	r := reserver.New(32<<20, 8<<20)
//	part := r.Part()
//	defer part.Free()
//	body, err := part.ReadAll(response.Body, response.ContentLength, maxBytes)
//	if errors.Is(err, reserver.ErrNoRoom) {
//		// other requests hold too much
//	}
//	budget := reserver.NewBudget(112 << 20) // shares of the memory of an instance
//
// # Rules
//
//  1. What is reserved is at least what the buffers hold, also while they grow.
//  2. Claim reserves room for a response before its request is sent. It leaves the room
//     for small parts free, so that requests that were sent find room for theirs.
//  3. A part above SmallBytes leaves the room that is kept for smaller ones free, so that
//     a few requests with large bodies do not end those with small ones.
package reserver

import (
	"io"
	"math"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
)

// SmallBytes is the largest part that may use the room for small ones.
const SmallBytes = 64 << 10

// firstBytes is the first size of the buffer for a body of unknown length or of a larger
// one, which may arrive slowly or never.
const firstBytes = 16 << 10

// prefixBytes is the first size of the buffer of ReadPrefix.
const prefixBytes = 4 << 10

var (
	// ErrNoRoom means that other parts hold too many bytes.
	ErrNoRoom = errors.New("other requests hold too many bytes in memory")
	// ErrTooLarge means that a body is larger than its limit.
	ErrTooLarge = errors.New("the body is too large")
)

// Reserver counts the bytes of all parts. It is safe for concurrent use.
type Reserver struct {
	total *semaphore.Weighted
	// large is what parts above SmallBytes may hold together.
	large *semaphore.Weighted
}

// Unbounded returns a Reserver that never runs out of room.
func Unbounded() *Reserver { return New(math.MaxInt64, 0) }

// New returns a Reserver for the given bytes, of which keptForSmall can only be used by
// parts of up to SmallBytes.
func New(bytes, keptForSmall int64) *Reserver {
	return &Reserver{total: semaphore.NewWeighted(bytes), large: semaphore.NewWeighted(max(0, bytes-keptForSmall))}
}

// Part returns an empty part.
func (r *Reserver) Part() *Part { return &Part{reserver: r} }

// Part is what one request holds. It is not safe for concurrent use.
type Part struct {
	reserver *Reserver
	bytes    int64
	// large is the number of bytes that are also counted in Reserver.large.
	large int64
	// claimed is the room of Claim that ReadAll has yet to use.
	claimed int64
}

// Bytes returns the size of the part.
func (p *Part) Bytes() int64 { return p.bytes }

// Claim reserves n bytes of an empty part for what is read later. It returns false if
// they are not free, apart from the room for small parts.
func (p *Part) Claim(n int64) bool {
	if !p.resize(n, n) {
		return false
	}
	p.claimed = n
	return true
}

// Resize changes the part to n bytes. It returns false, and changes nothing, if they are
// not free.
func (p *Part) Resize(n int64) bool {
	if n <= SmallBytes {
		return p.resize(n, 0)
	}
	return p.resize(n, n)
}

// resize is like Resize for n bytes of which large are counted in Reserver.large.
func (p *Part) resize(n, large int64) bool {
	// Room is given up last: others would take it before a failure is known.
	moreBytes := max(0, n-p.bytes)
	if !p.reserver.total.TryAcquire(moreBytes) {
		return false
	}
	if !p.reserver.large.TryAcquire(max(0, large-p.large)) {
		p.reserver.total.Release(moreBytes)
		return false
	}
	p.reserver.total.Release(max(0, p.bytes-n))
	p.reserver.large.Release(max(0, p.large-large))
	p.bytes, p.large = n, large
	return true
}

// Free makes the part empty.
func (p *Part) Free() { p.claimed = 0; p.Resize(0) }

// ReadAll reads a body of up to limit bytes and adds it to the part, unless it returns an
// error. expected is its length, or negative if that is not known; the part grows with a
// body that is larger.
func (p *Part) ReadAll(body io.Reader, expected, limit int64) ([]byte, error) {
	before := p.bytes
	data, err := p.readAll(body, expected, limit)
	if err != nil {
		p.Resize(before)
		return nil, err
	}
	return data, nil
}

func (p *Part) readAll(body io.Reader, expected, limit int64) ([]byte, error) {
	before := p.bytes - min(p.claimed, p.bytes)
	p.claimed = 0
	most := limit + 1 // one byte of room for the read that finds the end
	if expected >= 0 {
		most = min(expected, limit) + 1
	}
	size := min(firstBytes, most)
	if !p.Resize(before + size) {
		return nil, ErrNoRoom
	}
	buf := make([]byte, 0, size)
	for {
		if len(buf) == cap(buf) {
			larger := 2 * int64(cap(buf))
			if larger > most && int64(cap(buf)) < most {
				larger = most
			}
			larger = min(larger, limit+1)
			// Both buffers exist while the bytes are copied.
			if !p.Resize(before + int64(cap(buf)) + larger) {
				return nil, ErrNoRoom
			}
			buf = append(make([]byte, 0, larger), buf...)
			p.Resize(before + larger)
		}
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case int64(len(buf)) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return buf, nil
		case err != nil:
			return nil, err //nolint:wrapcheck // the caller compares it
		}
	}
}

// ReadPrefix reads the first bytes of a body, up to limit or as many as there is room for,
// and sets the part to what they take. complete reports whether they are the whole body.
func (p *Part) ReadPrefix(body io.Reader, limit int64) (prefix []byte, complete bool, err error) {
	p.claimed = 0
	buf := make([]byte, 0, prefixBytes)
	for {
		if len(buf) == cap(buf) {
			larger := min(2*int64(cap(buf)), limit)
			// Both buffers exist while the bytes are copied.
			if larger == int64(cap(buf)) || !p.Resize(max(p.bytes, int64(cap(buf))+larger)) {
				return buf, false, nil
			}
			buf = append(make([]byte, 0, larger), buf...)
			p.Resize(larger)
		}
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case errors.Is(err, io.EOF):
			return buf, true, nil
		case err != nil:
			return nil, false, err //nolint:wrapcheck // the caller compares it
		}
	}
}

// Reader returns a reader that adds all bytes that are read from r to the part.
func (p *Part) Reader(r io.Reader) io.Reader { return &partReader{r, p} }

// Body returns a body that adds what is read from b to a part of its own, until it is
// closed.
func (r *Reserver) Body(b io.ReadCloser) io.ReadCloser {
	part := r.Part()
	return &countedBody{part.Reader(b), b, part}
}

type countedBody struct {
	io.Reader
	io.Closer
	part *Part
}

func (b *countedBody) Close() error {
	b.part.Free()
	return b.Closer.Close() //nolint:wrapcheck // io.Closer
}

type partReader struct {
	io.Reader
	part *Part
}

func (r *partReader) Read(data []byte) (int, error) {
	n, err := r.Reader.Read(data)
	if n > 0 && !r.part.Resize(r.part.bytes+int64(n)) {
		return 0, ErrNoRoom
	}
	return n, err //nolint:wrapcheck // io.Reader
}
