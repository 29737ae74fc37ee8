package frontend

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
)

// callerCounter counts the open requests of each caller.
type callerCounter struct {
	mu     *sync.Mutex
	counts map[egretflow.CallerName]int
}

func newCallerCounter() callerCounter {
	return callerCounter{mu: &sync.Mutex{}, counts: map[egretflow.CallerName]int{}}
}

// add counts a new request of caller and returns the number of its open requests.
func (s callerCounter) add(caller egretflow.CallerName) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[caller]++
	return s.counts[caller]
}

func (s callerCounter) remove(caller egretflow.CallerName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts[caller]--; s.counts[caller] <= 0 {
		delete(s.counts, caller)
	}
}

func (s callerCounter) count(caller egretflow.CallerName) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[caller]
}

// firstBodyBytes is what a body of unknown length takes of MaxTotalBodyBytes at first.
const firstBodyBytes = 16 << 10

// errNoBodyRoom means that the bodies of other requests take all of MaxTotalBodyBytes.
var errNoBodyRoom = errors.New("too many request bodies are in progress")

// bodyRoom is the part of MaxTotalBodyBytes that one body takes.
type bodyRoom struct {
	total *semaphore.Weighted
	bytes int64
}

// resize changes the part to n bytes. It returns false if they are not free.
func (b *bodyRoom) resize(n int64) bool {
	if n > b.bytes && !b.total.TryAcquire(n-b.bytes) {
		return false
	}
	if n < b.bytes {
		b.total.Release(b.bytes - n)
	}
	b.bytes = n
	return true
}

// readAll reads a body. The room grows with the body if that is larger than expected.
func (b *bodyRoom) readAll(body io.Reader, expected int64) ([]byte, error) {
	if !b.resize(expected) {
		return nil, errNoBodyRoom
	}
	buf := make([]byte, 0, expected)
	for {
		if len(buf) == cap(buf) {
			larger := 2 * cap(buf)
			if !b.resize(int64(larger)) {
				return nil, errNoBodyRoom
			}
			buf = append(make([]byte, 0, larger), buf...)
		}
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			return buf, nil
		}
		if err != nil {
			return nil, err //nolint:wrapcheck // the caller compares it
		}
	}
}

// readBody reads the body within the limits. If it returns no error, the handler
// must call the returned function when it no longer uses the body: it releases
// the bytes that the body takes of MaxTotalBodyBytes.
func (f *Frontend) readBody(c echo.Context) ([]byte, func(), error) {
	r := c.Request()
	if r.ContentLength > f.cfg.Limits.MaxBodyBytes {
		return nil, nil, f.bodyTooLarge()
	}
	expected := int64(firstBodyBytes)
	if r.ContentLength >= 0 {
		expected = r.ContentLength + 1 // one byte of room for the read that finds the end
	}
	room := &bodyRoom{total: f.bodyBytes}
	body, err := f.readLimited(c, room, expected)
	if err != nil {
		room.resize(0)
		return nil, nil, err
	}
	if p := requestOf(c).pending; p != nil {
		p.read.Store(true)
	}
	return body, func() { room.resize(0) }, nil
}

// readLimited reads the body within MaxBodyBytes and BodyTimeout.
func (f *Frontend) readLimited(c echo.Context, room *bodyRoom, expected int64) ([]byte, error) {
	control := http.NewResponseController(c.Response())
	// Only response writers of tests do not support deadlines.
	_ = control.SetReadDeadline(f.cfg.Clock().Add(f.cfg.Limits.BodyTimeout))
	body, err := room.readAll(http.MaxBytesReader(c.Response(), c.Request().Body, f.cfg.Limits.MaxBodyBytes), expected)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, f.bodyTooLarge()
	case errors.Is(err, errNoBodyRoom):
		return nil, f.refuseWithRetry(http.StatusServiceUnavailable, egretflow.RefusalOverload, err.Error())
	case errors.Is(err, errReadTimeout), errors.Is(err, os.ErrDeadlineExceeded):
		return nil, refuse(http.StatusRequestTimeout, egretflow.RefusalBadRequest, "the body arrived too slowly", err)
	case err != nil:
		return nil, badRequest(fmt.Errorf("read body: %w", err))
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

func (f *Frontend) bodyTooLarge() *egretflow.Refusal {
	message := fmt.Sprintf("the body is larger than %d bytes", f.cfg.Limits.MaxBodyBytes)
	return refuse(http.StatusRequestEntityTooLarge, egretflow.RefusalBadRequest, message, nil)
}
