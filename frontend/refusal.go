package frontend

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// Request and response headers (4.2).
const (
	headerRequestID      = "X-Request-Id"
	headerRunState       = "Egretflow-Run-State"
	headerDeadline       = "X-Request-Deadline"
	headerEventID        = "Last-Event-ID"
	headerIdempotencyKey = "Idempotency-Key"
	headerTraceparent    = "Traceparent"
	headerAuthorization  = "Authorization"
)

// retryAfter is the longest time after which callers are asked to retry when the
// refusal has no better estimate; jitter shortens it by up to half.
const retryAfter = 2 * time.Second

// errorBody is the error object of the OpenAI API with the run state.
type errorBody struct {
	Error errorObject `json:"error"`
}

type errorObject struct {
	Message   string             `json:"message"`
	Type      string             `json:"type"`
	Code      string             `json:"code"`
	Param     string             `json:"param,omitempty"`
	RunState  egretflow.RunState `json:"run_state"`
	RequestID string             `json:"request_id"`
}

// refuse returns the refusal of a request that has not run.
func refuse(status int, reason egretflow.RefusalReason, message string, err error) *egretflow.Refusal {
	return &egretflow.Refusal{Status: status, Reason: reason, RunState: egretflow.RunStateNotRun, Message: message, Err: err}
}

func badRequest(err error) *egretflow.Refusal {
	return refuse(http.StatusBadRequest, egretflow.RefusalBadRequest, err.Error(), err)
}

// refuseWithRetry returns a refusal that asks the caller to retry after about
// retryAfter.
func (f *Frontend) refuseWithRetry(status int, reason egretflow.RefusalReason, message string) *egretflow.Refusal {
	refusal := refuse(status, reason, message, nil)
	refusal.RetryAt = f.cfg.Clock().Add(f.jitter(retryAfter))
	return refusal
}

// asRefusal returns the refusal for any error of a handler. An error that is
// neither a refusal nor an error of echo becomes status 500, and its request may
// have run.
func asRefusal(err error) *egretflow.Refusal {
	var refusal *egretflow.Refusal
	var httpError *echo.HTTPError
	switch {
	case errors.As(err, &refusal):
		return refusal
	case errors.As(err, &httpError):
		return refuse(httpError.Code, egretflow.RefusalBadRequest, http.StatusText(httpError.Code), err)
	}
	return &egretflow.Refusal{
		Status: http.StatusInternalServerError, Reason: egretflow.RefusalBackend,
		RunState: egretflow.RunStateMayHaveRun, Message: "internal error", Err: err,
	}
}

// writeError is the error handler of echo. It writes the refusal for err, unless
// the response has started or the caller has disconnected.
func (f *Frontend) writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	abortIfGone(err, c)
	f.writeRefusal(c, asRefusal(err))
}

// writeRefusal writes a refusal and records it.
func (f *Frontend) writeRefusal(c echo.Context, refusal *egretflow.Refusal) {
	x, h := requestOf(c), c.Response().Header()
	status := f.refusalHeader(h, refusal, x)
	f.recordRefusal(status, h, refusal, x)
	// A write error means that the caller has disconnected, or that the request was
	// answered at the end of a drain.
	_ = c.JSON(status, newErrorBody(refusal, x))
}

// refusalHeader sets the header of a refusal and returns its status.
func (f *Frontend) refusalHeader(h http.Header, refusal *egretflow.Refusal, x *request) int {
	if f.cfg.Dialect != nil {
		return f.forwardRefusalHeader(h, refusal, x)
	}
	h.Set(headerRequestID, x.shownID)
	h.Set(headerRunState, string(refusal.RunState))
	if !refusal.RetryAt.IsZero() {
		seconds := math.Ceil(refusal.RetryAt.Sub(f.cfg.Clock()).Seconds())
		h.Set("Retry-After", strconv.Itoa(max(1, int(seconds))))
	}
	if refusal.Status == http.StatusRequestEntityTooLarge || refusal.Status == http.StatusRequestTimeout {
		// The rest of the body is not read, so the connection cannot be reused.
		h.Set("Connection", "close")
	}
	return refusal.Status
}

// recordRefusal records a refusal that is written with the header h.
func (f *Frontend) recordRefusal(status int, h http.Header, refusal *egretflow.Refusal, x *request) {
	fields := []egretflow.EventField{
		field("reason", string(refusal.Reason)), field("run_state", string(refusal.RunState)), field("status", strconv.Itoa(status)),
		field("retry_after", h.Get("Retry-After")), field("error", refusal.Error()),
	}
	if f.cfg.Dialect == nil {
		fields = append(fields, x.callerID())
	}
	fields = append(fields, quotaFields(refusal)...)
	if f.cfg.Configuration != nil {
		fields = append(fields, configurationFields(f.cfg.Configuration(), f.cfg.Clock())...)
	}
	f.record(egretflow.EventRefused, x.id, fields...)
}

// configurationFields returns by which version of the configuration a request was
// judged, and how old its last confirmation is; -1 if there is none.
func configurationFields(s egretflow.ConfigurationState, now time.Time) []egretflow.EventField {
	age := int64(-1)
	if !s.ConfirmedAt.IsZero() {
		age = now.Sub(s.ConfirmedAt).Milliseconds()
	}
	return []egretflow.EventField{
		field("version", strconv.FormatUint(s.Version, 10)), field("known_version", strconv.FormatUint(s.KnownVersion, 10)),
		field("confirmed_ms", strconv.FormatInt(age, 10)), field("confirmed_by", string(s.ConfirmedBy)),
	}
}

// abortIfGone closes the connection of a caller that has disconnected. If the handler
// just returned, net/http would write an empty answer with status 200. A caller that
// has closed only its own direction would receive it.
func abortIfGone(err error, c echo.Context) {
	if errors.Is(err, context.Canceled) && c.Request().Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

func newErrorBody(refusal *egretflow.Refusal, x *request) errorBody {
	body := errorBody{Error: errorObject{
		Message: refusal.Message, Type: errorType(refusal.Status), Code: string(refusal.Reason),
		RunState: refusal.RunState, RequestID: x.shownID,
	}}
	var fieldError *egretflow.FieldError
	if errors.As(refusal.Err, &fieldError) {
		body.Error.Param = fieldError.Field
	}
	return body
}

// errorType returns the error type that the OpenAI API uses for a status.
func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	}
	return "server_error"
}

func field(key, value string) egretflow.EventField {
	return egretflow.EventField{Key: key, Value: value}
}

func number(key string, value int) egretflow.EventField { return field(key, strconv.Itoa(value)) }

func milliseconds(key string, d time.Duration) egretflow.EventField {
	return field(key, strconv.FormatInt(d.Milliseconds(), 10))
}
