package connector

import (
	"fmt"
	"io"
	"net/http"
	"strings"

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
	if err := checkStatus(resp); err != nil {
		return err
	}
	return checkNames(resp.Header)
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

// checkNames returns an error if the name of a field has a blank. net/http rejects all other
// invalid names, but ignores a Content-Length or Transfer-Encoding with a blank, so that it
// would read another body than the server sent.
func checkNames(fields http.Header) error {
	for name := range fields {
		if strings.Contains(name, " ") {
			return fmt.Errorf("%w: field name %q", errInvalidResponse, name)
		}
	}
	return nil
}

// checkedBody is the body of a response. It does not end like a complete one if its
// trailer is invalid.
type checkedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if invalid := checkNames(b.resp.Trailer); invalid != nil {
			return n, fmt.Errorf("read trailer: %w", invalid)
		}
	}
	return n, err //nolint:wrapcheck // io.Reader
}
