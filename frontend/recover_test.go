package frontend

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/egretflow/egretflow"
)

// eventNames records the names of events.
type eventNames struct{ names []egretflow.EventName }

func (e *eventNames) Record(event egretflow.Event) { e.names = append(e.names, event.Name) }

// Guards against a panic of one request that leaves its caller without an answer, or
// that nobody can find in the log.
func TestPanicCostsOneRequest(t *testing.T) {
	events := &eventNames{}
	f := &Frontend{cfg: Config{Clock: time.Now, Recorder: events}}
	e := echo.New()
	e.HTTPErrorHandler = f.writeError
	e.Use(f.recoverPanics, f.identifyTest)
	e.GET("/", func(echo.Context) error { panic("unexpected") })
	w := httptest.NewRecorder()
	e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
	if w.Code != http.StatusInternalServerError || len(events.names) == 0 || events.names[0] != egretflow.EventPanicked {
		t.Errorf("status %d, events %v", w.Code, events.names)
	}
}

// Guards against a refusal that promises that the request has not run, when it may have
// run before its handler panicked.
func TestPanicPromisesNothing(t *testing.T) {
	f := &Frontend{cfg: Config{Clock: time.Now, Recorder: &eventNames{}, Dialect: silentDialect{}, Rand: rand.New(rand.NewPCG(1, 1))}}
	e := echo.New()
	e.HTTPErrorHandler = f.writeForwardError
	e.Use(f.recoverPanics, f.identifyTest)
	e.GET("/", func(echo.Context) error { panic("unexpected") })
	w := httptest.NewRecorder()
	e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
	if w.Code != http.StatusBadGateway {
		t.Errorf("status %d, want %d", w.Code, http.StatusBadGateway)
	}
}

// identifyTest gives a request an id.
func (f *Frontend) identifyTest(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Set(requestKey, &request{id: "q1"})
		return next(c)
	}
}

// Guards against callers that look refused before for good, because one caller had a
// long deadline.
func TestLongDeadlineIsForgotten(t *testing.T) {
	var e waitEstimator
	now := time.Unix(1000, 0)
	e.estimateWait("r", now, now.Add(24*time.Second))
	if e.estimateWait("r", now, now.Add(14*time.Second)) == 0 {
		t.Error("a shorter deadline counts as that of a first request at once")
	}
	for range 3 {
		now = now.Add(longestWindow + time.Second)
		e.estimateWait("r", now, now.Add(14*time.Second))
	}
	if waited := e.estimateWait("r", now, now.Add(14*time.Second)); waited != 0 {
		t.Errorf("a first request counts as one that waited %v", waited)
	}
}
