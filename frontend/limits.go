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

// streamCounter counts the open requests of each caller.
type streamCounter struct {
	mu     *sync.Mutex
	counts map[egretflow.CallerName]int
}

func newStreamCounter() streamCounter {
	return streamCounter{mu: &sync.Mutex{}, counts: map[egretflow.CallerName]int{}}
}

// add returns the count with the new request.
func (s streamCounter) add(caller egretflow.CallerName) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[caller]++
	return s.counts[caller]
}

func (s streamCounter) remove(caller egretflow.CallerName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts[caller]--; s.counts[caller] <= 0 {
		delete(s.counts, caller)
	}
}

func (s streamCounter) count(caller egretflow.CallerName) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[caller]
}

// readBody reads the body within the limits. The function that it returns gives
// back the share of the total and must be called when the body is not used any
// more.
func (f *Frontend) readBody(c echo.Context) ([]byte, func(), error) {
	r := c.Request()
	reserved := f.cfg.Limits.MaxBodyBytes
	if r.ContentLength > reserved {
		return nil, nil, f.tooLarge()
	}
	if r.ContentLength >= 0 {
		reserved = r.ContentLength
	}
	if !f.bodies.TryAcquire(reserved) {
		return nil, nil, f.refuseLater(http.StatusServiceUnavailable, egretflow.RefusalOverload, "too many request bodies are in progress")
	}
	body, err := f.readLimited(c)
	if err != nil {
		f.bodies.Release(reserved)
		return nil, nil, err
	}
	unused := reserved - int64(len(body))
	f.bodies.Release(unused)
	return body, func() { f.bodies.Release(reserved - unused) }, nil
}

func (f *Frontend) readLimited(c echo.Context) ([]byte, error) {
	control := http.NewResponseController(c.Response())
	// Writers without deadlines exist only in tests.
	_ = control.SetReadDeadline(f.cfg.Clock().Add(f.cfg.Limits.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, f.cfg.Limits.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, f.tooLarge()
	case errors.Is(err, errSlow), errors.Is(err, os.ErrDeadlineExceeded):
		return nil, refuse(http.StatusRequestTimeout, egretflow.RefusalBadRequest, "the body arrived too slowly", err)
	case err != nil:
		return nil, badRequest(fmt.Errorf("read body: %w", err))
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

func (f *Frontend) tooLarge() *egretflow.Refusal {
	message := fmt.Sprintf("the body is larger than %d bytes", f.cfg.Limits.MaxBodyBytes)
	return refuse(http.StatusRequestEntityTooLarge, egretflow.RefusalBadRequest, message, nil)
}
