package frontend

import (
	"net/http"
	"slices"
	"strings"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/relayer"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// maxKeyBytes is the maximum length of an Idempotency-Key in bytes.
const maxKeyBytes = 255

// serveService passes a request to the servers of its service route.
func (f *Frontend) serveService(c echo.Context) error {
	x, r := requestOf(c), c.Request()
	route, pool, err := f.serviceRoute(x.caller, r)
	if err != nil {
		f.cfg.Metrics.RequestRefused(asRefusal(err).Reason)
		return err
	}
	key := r.Header.Get(headerIdempotencyKey)
	if !route.Idempotent && (key == "" || len(key) > maxKeyBytes) {
		f.cfg.Metrics.RequestRefused(egretflow.RefusalBadRequest)
		return badRequest(&egretflow.FieldError{Field: headerIdempotencyKey, Reason: "is required on this route, with at most 255 bytes"})
	}
	body, release, err := f.readBody(c)
	if err != nil {
		f.cfg.Metrics.RequestRefused(asRefusal(err).Reason)
		return err
	}
	defer release()
	work := newWork(x, route)
	work.Fingerprint = fingerprint(x.caller, r.Method+" "+r.URL.RequestURI(), body)
	charge, err := f.spendQuota(r.Context(), x, work)
	if err != nil {
		return err
	}
	header := r.Header.Clone()
	header.Del(headerAuthorization)
	header.Set(headerRequestID, x.shownID)
	f.record(egretflow.EventAdmitted, work.Request, x.callerID(), field("caller", string(x.caller)), field("route", string(route.Name)))
	result, err := f.cfg.Relayer.Call(r.Context(), &relayer.Call{
		Work: work, Pool: pool, Key: key, Method: r.Method, URL: r.URL, Host: r.Host, Header: header, Body: body,
	}, c.Response())
	f.refundQuota(charge, result, err)
	f.recordOutcome(c, work, route, result, err)
	if err != nil && result.Started {
		// Closes the connection, so that the caller sees an incomplete response.
		panic(http.ErrAbortHandler)
	}
	return err
}

// serviceRoute returns the route for the path and its pool, or a refusal (4.1):
// status 403 if only other callers may use a route to the path, 404 if there is
// none.
func (f *Frontend) serviceRoute(caller egretflow.CallerName, r *http.Request) (*egretflow.Route, *egretflow.Pool, error) {
	// A server may resolve dot segments to a path outside the route.
	if segments := strings.Split(r.URL.Path, "/"); slices.Contains(segments, "..") || slices.Contains(segments, ".") {
		return nil, nil, badRequest(&egretflow.FieldError{Field: "path", Reason: "must not contain dot segments"})
	}
	tables := f.cfg.Tables()
	route, err := tables.RouteForPath(caller, r.Method, r.URL.Path)
	switch {
	case errors.Is(err, egretflow.ErrForbidden):
		return nil, nil, refuse(http.StatusForbidden, egretflow.RefusalForbidden, "the caller has no route to this path", err)
	case err != nil:
		return nil, nil, refuse(http.StatusNotFound, egretflow.RefusalForbidden, "no route serves this path", err)
	}
	return f.routePool(tables, route, caller)
}
