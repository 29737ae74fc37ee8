package frontend

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/relayer"
)

const (
	// anyone is the caller of forwarded requests, which name none.
	anyone egretflow.CallerName = "*"
	// giveUpShare of a caller's patience may pass before its first token; the
	// rest is for the way to the caller and for the engine.
	giveUpShare = 0.85
	// A request that has between returnedFrom and returnedTo of the longest time
	// of its route left counts as one that was refused before. Callers' patience
	// differs by less, and one with less time is in a hurry of its own.
	returnedFrom = 0.5
	returnedTo   = 0.84
	// forwardRetryAfter is the mean pause that callers are asked for when the
	// rejection has no estimate.
	forwardRetryAfter = time.Second
	termsKey          = "terms"
)

// identifyForwarded reads the terms of a request.
func (f *Frontend) identifyForwarded(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		x := &request{arrived: f.cfg.Clock(), caller: anyone}
		c.Set(requestKey, x)
		terms, err := f.cfg.Dialect.ReadRequest(c.Request(), x.arrived)
		x.shownID, x.deadline = terms.ID, terms.Deadline
		if x.id = egretflow.RequestID(terms.ID); x.id == "" {
			x.id = egretflow.RequestID(strconv.FormatUint(f.random(), 16))
		}
		if err != nil {
			return badRequest(err)
		}
		c.Set(termsKey, terms)
		return next(c)
	}
}

// admitForwarded counts the open requests and refuses while the instance cannot
// serve any.
func (f *Frontend) admitForwarded(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !f.open.enterLate() {
			return f.refuseDraining()
		}
		defer f.open.leave()
		if f.open.draining() {
			c.Response().Header().Set("Connection", "close")
		}
		if f.cfg.Tables() == nil {
			return f.refuseSoon(egretflow.RefusalNoServer, "the instance has no configuration yet")
		}
		f.cfg.Metrics.Started()
		defer f.cfg.Metrics.Ended()
		return next(c)
	}
}

func (f *Frontend) refuseSoon(reason egretflow.RefusalReason, message string) *egretflow.Refusal {
	refusal := refuse(http.StatusServiceUnavailable, reason, message, nil)
	refusal.RetryAt = f.cfg.Clock().Add(f.jitter(forwardRetryAfter))
	return refusal
}

// serveForwarded passes a request on to the pool of its route.
func (f *Frontend) serveForwarded(c echo.Context) error {
	x, r := requestOf(c), c.Request()
	terms, _ := c.Get(termsKey).(egretflow.Terms)
	tables := f.cfg.Tables()
	route, err := tables.RouteForHost(r.Host, r.URL.Path)
	if err != nil {
		return refuse(http.StatusNotFound, egretflow.RefusalForbidden, "no route serves this host and path", err)
	}
	pool, ok := tables.Pool(route.PoolOf(xxhash.Sum64String(terms.ID)))
	if !ok {
		return f.refuseSoon(egretflow.RefusalNoServer, "the pool of the route is missing")
	}
	if f.open.closing() && !f.endsInTime(x, route, pool) {
		return f.refuseDraining()
	}
	body, done, err := f.readBody(c)
	if err != nil {
		return err
	}
	defer done()
	work := f.forwardedWork(x, route, pool, terms)
	work.Fingerprint = fingerprint(x.caller, r.Method+" "+r.URL.RequestURI(), body)
	f.record(egretflow.EventAdmitted, work.Request, field("route", string(route.Name)), field("pool", string(pool.Name)),
		field("importance", string(work.Importance)), field("revision", strconv.FormatUint(uint64(tables.Revision), 10)),
		number("prompt", work.PromptTokens), number("expected", work.ExpectedTokens),
		milliseconds("target_ms", work.FirstTokenBy.Sub(x.arrived)), milliseconds("left_ms", work.Deadline.Sub(x.arrived)))
	ctx, cancel := context.WithDeadlineCause(r.Context(), f.endOf(x, route), errDeadline)
	defer cancel()
	call := &relayer.Call{
		Work: work, Pool: pool, Method: r.Method, URL: r.URL, Host: r.Host, Header: r.Header, Body: body,
		Terms: terms, MaxAttempts: route.MaxAttempts, EventGapTarget: time.Duration(route.EventGapTarget),
	}
	run := f.cfg.Relayer.Forward
	if pool.Kind == egretflow.PoolKindModel {
		run = f.cfg.Relayer.ForwardStream
	}
	result, err := run(ctx, call, c.Response())
	f.finished(c, work, route, result, err)
	if err != nil && result.Started {
		// The caller must see that the answer is cut.
		panic(http.ErrAbortHandler)
	}
	return err
}

// refuseDraining refuses a request because the instance stops.
func (f *Frontend) refuseDraining() error {
	return f.refuseSoon(egretflow.RefusalDraining, "the instance is shutting down")
}

// endsInTime reports whether a request that arrives during the drain ends before
// it does. Callers send on connections that they have kept, and a call of a plain
// service is short; a refusal would cost them one of their attempts.
func (f *Frontend) endsInTime(x *request, route *egretflow.Route, pool *egretflow.Pool) bool {
	return pool.Kind == egretflow.PoolKindService && !f.endOf(x, route).After(f.drainEnds())
}

// endOf is when a request ends, by its caller or by its route.
func (f *Frontend) endOf(x *request, route *egretflow.Route) time.Time {
	limit := time.Duration(route.Timeout)
	if limit == 0 {
		limit = f.cfg.Limits.RequestTimeout
	}
	end := x.arrived.Add(limit)
	if !x.deadline.IsZero() && x.deadline.Before(end) {
		return x.deadline
	}
	return end
}

// forwardedWork is what decisions know of the request. One that was refused
// before has waited already.
func (f *Frontend) forwardedWork(x *request, route *egretflow.Route, pool *egretflow.Pool, terms egretflow.Terms) *egretflow.Work {
	work := newWork(x, route)
	work.Pool, work.Deadline = pool.Name, f.endOf(x, route)
	work.PromptTokens, work.MaxTokens, work.ExpectedTokens = terms.PromptTokens, terms.MaxTokens, terms.ExpectedTokens
	work.Prefix = terms.Prefix
	waited := f.waiting.observe(route.Name, x.arrived, terms.Deadline)
	work.FirstTokenBy, work.Returned = work.FirstTokenBy.Add(-waited), waited > 0
	work.GiveUpBy = x.arrived.Add(time.Duration(giveUpShare * float64(route.Patience)))
	if work.Deadline.Before(work.GiveUpBy) {
		work.GiveUpBy = work.Deadline
	}
	return work
}

// waitEstimator tells how long a request has waited before, by the time that
// first requests of its route have left.
type waitEstimator struct {
	mu   sync.Mutex
	left map[egretflow.RouteName]time.Duration
}

func (e *waitEstimator) observe(route egretflow.RouteName, arrived, deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.left == nil {
		e.left = map[egretflow.RouteName]time.Duration{}
	}
	left := deadline.Sub(arrived)
	e.left[route] = max(e.left[route], left)
	share := float64(left) / float64(e.left[route])
	if share < returnedFrom || share > returnedTo {
		return 0
	}
	return e.left[route] - left
}

// writeForwardError writes a rejection. A status that promises that nothing ran
// is used only when that is certain.
func (f *Frontend) writeForwardError(err error, c echo.Context) {
	if c.Response().Committed || errors.Is(err, context.Canceled) && c.Request().Context().Err() != nil {
		return
	}
	refusal, x := asRefusal(err), requestOf(c)
	status := forwardStatus(refusal)
	h := c.Response().Header()
	if x.shownID != "" {
		h.Set(headerRequestID, x.shownID)
	}
	if status == http.StatusServiceUnavailable && refusal.RetryAt.IsZero() {
		refusal.RetryAt = f.cfg.Clock().Add(f.jitter(forwardRetryAfter))
	}
	f.cfg.Dialect.WriteRefusal(h, refusal, f.cfg.Clock())
	f.record(egretflow.EventRefused, x.id, field("reason", string(refusal.Reason)), field("run_state", string(refusal.RunState)),
		field("status", strconv.Itoa(status)), field("retry_after", h.Get("Retry-After")), field("error", refusal.Error()))
	// The connection may be gone; there is nothing left to tell then.
	_ = c.JSON(status, newErrorBody(refusal, x))
}

// forwardStatus is the status of a rejection.
func forwardStatus(r *egretflow.Refusal) int {
	switch {
	case r.RunState == egretflow.RunStateNotRun && r.Reason == egretflow.RefusalBadRequest,
		r.RunState == egretflow.RunStateNotRun && r.Status == http.StatusNotFound:
		return r.Status
	case r.RunState == egretflow.RunStateNotRun:
		return http.StatusServiceUnavailable
	case r.Reason == egretflow.RefusalDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
