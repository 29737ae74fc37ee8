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

// request holds what is known of an HTTP request before its body is read.
type request struct {
	// id is unique for each request, except that a forwarded request has the id
	// that its caller sent.
	id egretflow.RequestID
	// shownID is the id that the caller sees: its X-Request-Id, if it sent a
	// valid one, else id. For a forwarded request it is the id in its metadata,
	// which may be empty.
	shownID string
	caller  egretflow.CallerName
	// organisation is the caller if the tables name it, else nil.
	organisation *egretflow.Organisation
	arrived      time.Time
	// deadline is the deadline that the caller sent; zero if none.
	deadline time.Time
	// pending is set while the request is open.
	pending *pendingRequest
}

// requestKey is the key of the *request in the echo context.
const requestKey = "request"

// requestOf returns the request of the context, or an empty one if none is set.
func requestOf(c echo.Context) *request {
	if x, ok := c.Get(requestKey).(*request); ok {
		return x
	}
	return &request{}
}

// callerID returns the event field with the id that the caller sees.
func (x *request) callerID() egretflow.EventField { return field(explainer.CallerIDField, x.shownID) }

// requestIDPattern matches the valid values of a caller's X-Request-Id.
var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

var (
	errDeadline = errors.New("deadline of the request passed")
	// errNotAdmitted means that a drain admits no further requests.
	errNotAdmitted = errors.New("the drain admits no further requests")
)

// identify finds the caller by its API key and stores the request in the context.
// Requests without a known key are refused. Before the tables are known, a key is
// refused with a time to retry, because the tables may name it.
func (f *Frontend) identify(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		r := c.Request()
		x := &request{arrived: f.cfg.Clock()}
		c.Set(requestKey, x)
		given := r.Header.Get(headerRequestID)
		key := authenticator.BearerToken(r)
		known := f.identifyKey(x, key)
		x.setID(given, f.random())
		c.Response().Header().Set(headerRequestID, x.shownID)
		if !known && key != "" && f.cfg.Tables() == nil {
			return f.refuseWithoutTables()
		}
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

// identifyKey sets the caller that a key belongs to, in the tables or in the file of
// callers' keys, and returns false if it belongs to none.
func (f *Frontend) identifyKey(x *request, key string) bool {
	if tables := f.cfg.Tables(); tables != nil {
		if o, ok := tables.OrganisationOfKey(key); ok {
			x.caller, x.organisation = o.Name, o
			return true
		}
	}
	name, ok := f.cfg.Callers.Identify(key)
	x.caller = egretflow.CallerName(name)
	return ok
}

// setID sets the ids. id is unique, because engines distinguish requests by it. It
// ends with a hash of the caller, by which resumeFrom checks that an event id
// belongs to the caller that sends it.
func (x *request) setID(given string, random uint64) {
	x.id = egretflow.RequestID(fmt.Sprintf("%016x-%08x", random, callerHash(x.caller)))
	x.shownID = string(x.id)
	if requestIDPattern.MatchString(given) {
		x.shownID = given
	}
}

func callerHash(caller egretflow.CallerName) uint32 {
	return uint32(xxhash.Sum64String(string(caller)))
}

// ownedBy reports whether a request id ends with the hash of caller, as set by
// setID.
func ownedBy(id egretflow.RequestID, caller egretflow.CallerName) bool {
	suffix := fmt.Sprintf("-%08x", callerHash(caller))
	return len(id) > len(suffix) && string(id[len(id)-len(suffix):]) == suffix
}

// whileOpen adds the request to the open ones with add and runs handle, whose error it
// answers. It returns errNotAdmitted if add does not admit the request.
func (f *Frontend) whileOpen(c echo.Context, add func(*pendingRequest) bool, handle func() error) error {
	x, original := requestOf(c), c.Request()
	ctx, cancel := context.WithCancelCause(original.Context())
	defer cancel(context.Canceled)
	p := f.newPendingRequest(x, c.Response().Writer, cancel)
	if !add(p) {
		return errNotAdmitted
	}
	defer f.open.leave(p)
	x.pending = p
	c.Response().Writer = p
	c.SetRequest(original.WithContext(ctx))
	// The original context shows the error handler whether the caller has disconnected.
	defer c.SetRequest(original)
	if err := handle(); err != nil {
		c.SetRequest(original)
		c.Error(err)
	}
	return nil
}

// admit refuses requests during a drain and those over the limit of open requests
// of a caller, and sets the deadline of the others.
func (f *Frontend) admit(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		x := requestOf(c)
		err := f.whileOpen(c, f.open.enter, func() error {
			if f.cfg.Tables() == nil {
				return f.refuseWithoutTables()
			}
			if f.openByCaller.add(x.caller) > f.cfg.Limits.MaxStreams {
				f.openByCaller.remove(x.caller)
				return f.tooManyRequests()
			}
			defer f.openByCaller.remove(x.caller)
			f.cfg.Metrics.RequestStarted()
			defer f.cfg.Metrics.RequestEnded()
			ctx, cancel, err := f.withDeadline(c)
			if err != nil {
				return err
			}
			defer cancel()
			c.SetRequest(c.Request().WithContext(ctx))
			return next(c)
		})
		if errors.Is(err, errNotAdmitted) {
			return f.refuseWithRetry(http.StatusServiceUnavailable, egretflow.RefusalDraining, "the instance is shutting down")
		}
		return err
	}
}

// refuseWithoutTables returns the refusal of a request that arrives before the instance
// has tables, and so before it knows organisations and routes.
func (f *Frontend) refuseWithoutTables() *egretflow.Refusal {
	return f.refuseWithRetry(http.StatusServiceUnavailable, egretflow.RefusalNoServer, "the instance has no tables yet")
}

func (f *Frontend) tooManyRequests() *egretflow.Refusal {
	return f.refuseWithRetry(http.StatusTooManyRequests, egretflow.RefusalTooManyStreams, "the caller has too many open requests")
}

// withDeadline returns a context that ends at the caller's deadline or after the
// request timeout, whichever comes first.
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
