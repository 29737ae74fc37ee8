package frontend

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/reserver"
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
	if r.ContentLength > f.cfg.Limits.MaxBodyBytes {
		return nil, nil, f.bodyTooLarge()
	}
	part := f.bodies.Part()
	body, err := f.readLimited(c, part)
	if err != nil {
		return nil, nil, err
	}
	if p := requestOf(c).pending; p != nil {
		p.read.Store(true)
	}
	return body, part.Free, nil
}

// readLimited reads the body within MaxBodyBytes and BodyTimeout.
func (f *Frontend) readLimited(c echo.Context, part *reserver.Part) ([]byte, error) {
	control := http.NewResponseController(c.Response())
	// Only response writers of tests do not support deadlines.
	_ = control.SetReadDeadline(f.cfg.Clock().Add(f.cfg.Limits.BodyTimeout))
	limit := f.cfg.Limits.MaxBodyBytes
	body, err := part.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, limit), c.Request().ContentLength, limit)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge), errors.Is(err, reserver.ErrTooLarge):
		return nil, f.bodyTooLarge()
	case errors.Is(err, reserver.ErrNoRoom):
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
