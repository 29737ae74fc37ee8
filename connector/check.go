package connector

import (
	"fmt"
	"net/http"

	"github.com/pkg/errors"
)

// maxStatus is the largest status code of HTTP (RFC 9110 section 15).
const maxStatus = 599

// errInvalidResponse means that what a server sent is no response in the protocol. The
// request may have run.
var errInvalidResponse = errors.New("invalid response")

// checkHead returns an error if the head of a response is invalid although net/http
// accepts it.
func checkHead(resp *http.Response) error {
	return checkStatus(resp)
}

// checkStatus returns an error if the status code is none of HTTP, or if it is 101: no
// request asks for another protocol. net/http accepts any three digits, and a sign in
// place of the first.
func checkStatus(resp *http.Response) error {
	code := resp.StatusCode
	if code < http.StatusContinue || code > maxStatus || code == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: status %q", errInvalidResponse, resp.Status)
	}
	return nil
}
