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

// readBody reads the body within the limits. If it returns no error, the handler
// must call the returned function when it no longer uses the body: it releases
// the bytes that the body takes of MaxTotalBodyBytes.
func (f *Frontend) readBody(c echo.Context) ([]byte, func(), error) {
	r := c.Request()
	reserved := f.cfg.Limits.MaxBodyBytes
	if r.ContentLength > reserved {
		return nil, nil, f.bodyTooLarge()
	}
	if r.ContentLength >= 0 {
		reserved = r.ContentLength
	}
	if !f.bodyBytes.TryAcquire(reserved) {
		return nil, nil, f.refuseWithRetry(http.StatusServiceUnavailable, egretflow.RefusalOverload, "too many request bodies are in progress")
	}
	body, err := f.readLimited(c)
	if err != nil {
		f.bodyBytes.Release(reserved)
		return nil, nil, err
	}
	unused := reserved - int64(len(body))
	f.bodyBytes.Release(unused)
	return body, func() { f.bodyBytes.Release(reserved - unused) }, nil
}

// readLimited reads the body within MaxBodyBytes and BodyTimeout.
func (f *Frontend) readLimited(c echo.Context) ([]byte, error) {
	control := http.NewResponseController(c.Response())
	// Only response writers of tests do not support deadlines.
	_ = control.SetReadDeadline(f.cfg.Clock().Add(f.cfg.Limits.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, f.cfg.Limits.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, f.bodyTooLarge()
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
