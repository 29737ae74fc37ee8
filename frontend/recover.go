package frontend

import (
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/labstack/echo/v4"

	"github.com/egretflow/egretflow"
)

// recoverPanics turns a panic of a handler into an error of its request, so that the
// caller gets an answer and the cause is logged. http.ErrAbortHandler passes, because
// it closes the connection on purpose.
func (f *Frontend) recoverPanics(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) (err error) {
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if e, ok := cause.(error); ok && errors.Is(e, http.ErrAbortHandler) {
				panic(cause)
			}
			f.recordPanic(c, cause)
			if c.Response().Committed {
				panic(http.ErrAbortHandler)
			}
			// A server may have run the request before the panic.
			err = &egretflow.Refusal{
				Status: http.StatusInternalServerError, Reason: egretflow.RefusalBackend, RunState: egretflow.RunStateMayHaveRun,
				Message: "the request failed", Err: fmt.Errorf("panic: %v", cause),
			}
		}()
		return next(c)
	}
}

// recordPanic records a panic with the id of its request.
func (f *Frontend) recordPanic(c echo.Context, cause any) {
	var id egretflow.RequestID
	if x, ok := c.Get(requestKey).(*request); ok {
		id = x.id
	}
	f.record(egretflow.EventPanicked, id, field("cause", fmt.Sprint(cause)), field("stack", string(debug.Stack())))
}
