package frontend

import (
	"context"
	"fmt"
	"net/http"
	"regexp"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/authenticator"
	"github.com/egretflow/egretflow/explainer"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// request is what is known of an HTTP request before its body.
type request struct {
	// id is unique for each request, shownID is what the caller sees: its own
	// X-Request-Id, if it sent one.
	id      egretflow.RequestID
	shownID string
	caller  egretflow.CallerName
	arrived time.Time
	// deadline is that of the caller; zero if none.
	deadline time.Time
}

const requestKey = "request"

func requestOf(c echo.Context) *request {
	if x, ok := c.Get(requestKey).(*request); ok {
		return x
	}
	return &request{}
}

func (x *request) callerID() egretflow.EventField { return field(explainer.CallerIDField, x.shownID) }

// requestIDPattern is what a caller may choose as its X-Request-Id.
var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

var errDeadline = errors.New("deadline of the request passed")

// identify finds the caller and sets the request of the context.
func (f *Frontend) identify(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		r := c.Request()
		x := &request{arrived: f.cfg.Clock()}
		c.Set(requestKey, x)
		given := r.Header.Get(headerRequestID)
		name, known := f.cfg.Callers.Identify(authenticator.BearerToken(r))
		x.caller = egretflow.CallerName(name)
		x.setID(given, f.random())
		c.Response().Header().Set(headerRequestID, x.shownID)
		if !known {
			f.cfg.Metrics.AccessDenied("Caller")
			f.record(egretflow.EventAccessDenied, x.id, field("interface", "Caller"), field("remote", r.RemoteAddr))
			return refuse(http.StatusUnauthorized, egretflow.RefusalUnauthorized, "the API key is missing or unknown", egretflow.ErrUnauthorized)
		}
		if given != "" && x.shownID != given {
			return badRequest(&egretflow.FieldError{Field: headerRequestID, Reason: "must be 1 to 64 letters, digits, dots, dashes and underscores"})
		}
		return next(c)
	}
}

// setID makes the id unique, because engines tell requests apart by it. It ends
// with a mark of the caller, by which resume checks that an event id belongs to
// the caller that presents it.
func (x *request) setID(given string, random uint64) {
	x.id = egretflow.RequestID(fmt.Sprintf("%016x-%08x", random, callerMark(x.caller)))
	x.shownID = string(x.id)
	if requestIDPattern.MatchString(given) {
		x.shownID = given
	}
}

func callerMark(caller egretflow.CallerName) uint32 {
	return uint32(xxhash.Sum64String(string(caller)))
}

// ownedBy reports whether a request id was made for caller.
func ownedBy(id egretflow.RequestID, caller egretflow.CallerName) bool {
	mark := fmt.Sprintf("-%08x", callerMark(caller))
	return len(id) > len(mark) && string(id[len(id)-len(mark):]) == mark
}

// admit bounds the open requests of a caller and sets the deadline.
func (f *Frontend) admit(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		x := requestOf(c)
		if !f.open.enter() {
			return f.refuseLater(http.StatusServiceUnavailable, egretflow.RefusalDraining, "the instance is shutting down")
		}
		defer f.open.leave()
		if f.cfg.Tables() == nil {
			return f.refuseLater(http.StatusServiceUnavailable, egretflow.RefusalNoServer, "the instance has no tables yet")
		}
		if f.streams.add(x.caller) > f.cfg.Limits.MaxStreams {
			f.streams.remove(x.caller)
			return f.tooManyStreams()
		}
		defer f.streams.remove(x.caller)
		f.cfg.Metrics.Started()
		defer f.cfg.Metrics.Ended()
		ctx, cancel, err := f.withDeadline(c)
		if err != nil {
			return err
		}
		defer cancel()
		original := c.Request()
		c.SetRequest(original.WithContext(ctx))
		// The error handler runs after cancel and must see whether the caller has
		// gone.
		defer c.SetRequest(original)
		return next(c)
	}
}

func (f *Frontend) tooManyStreams() *egretflow.Refusal {
	return f.refuseLater(http.StatusTooManyRequests, egretflow.RefusalTooManyStreams, "the caller has too many open requests")
}

func (f *Frontend) withDeadline(c echo.Context) (context.Context, context.CancelFunc, error) {
	x := requestOf(c)
	ends := x.arrived.Add(f.cfg.Limits.RequestTimeout)
	if given := c.Request().Header.Get(headerDeadline); given != "" {
		deadline, err := time.Parse(time.RFC3339Nano, given)
		if err != nil {
			return nil, nil, badRequest(&egretflow.FieldError{Field: headerDeadline, Reason: "must be a time of RFC 3339"})
		}
		if !deadline.After(x.arrived) {
			return nil, nil, refuse(http.StatusBadRequest, egretflow.RefusalDeadline, "the deadline has passed", nil)
		}
		x.deadline = deadline
		if deadline.Before(ends) {
			ends = deadline
		}
	}
	ctx, cancel := context.WithDeadlineCause(c.Request().Context(), ends, errDeadline)
	return ctx, cancel, nil
}
