package frontend

import (
	"net/http"

	"github.com/egretflow/egretflow"
	"github.com/labstack/echo/v4"
)

// serveService answers a request of a service route.
func (f *Frontend) serveService(c echo.Context) error {
	return refuse(http.StatusNotFound, egretflow.RefusalForbidden, "no route", nil)
}
