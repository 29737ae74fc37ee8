package storeclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/egretflow/egretflow"
)

// call sends one request and decodes the response into the value to which
// response points. Its errors follow the rules of the package.
func (c *Client) call(ctx context.Context, kind CallKind, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	resp, sent, err := c.send(ctx, kind, request)
	if err != nil {
		return kind.callError(sent, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponseBytes))
	if err != nil {
		return kind.callError(true, fmt.Errorf("read response: %w", err))
	}
	if resp.StatusCode != http.StatusOK {
		return kind.statusError(resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, response); err != nil {
		return kind.callError(true, fmt.Errorf("decode response: %w", err))
	}
	return nil
}

// send posts the request and counts the call. sent reports whether any byte of
// the body may have reached the store.
func (c *Client) send(ctx context.Context, kind CallKind, request any) (resp *http.Response, sent bool, err error) {
	data, err := json.Marshal(request)
	if err != nil {
		return nil, false, fmt.Errorf("encode request: %w", err)
	}
	body := &readTrackingBody{r: bytes.NewReader(data)}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.cfg.BaseURL+kind.path(), body)
	if err != nil {
		return nil, false, fmt.Errorf("create request: %w", err)
	}
	r.ContentLength = int64(len(data))
	r.Header.Set("Content-Type", "application/json")
	c.calls.add(kind)
	resp, err = c.cfg.Client.Do(r)
	if err != nil {
		return nil, body.read.Load(), fmt.Errorf("send request: %w", err)
	}
	return resp, true, nil
}

// readTrackingBody is a request body that records whether it was read. The HTTP
// transport reads the body only to write it to a connection, so an unread body
// has certainly not reached the store.
type readTrackingBody struct {
	r    io.Reader
	read atomic.Bool
}

// Read implements io.Reader.
func (b *readTrackingBody) Read(p []byte) (int, error) {
	b.read.Store(true)
	return b.r.Read(p)
}

// callError returns the error of a call without a valid response: ErrUncertain
// for a write that may have reached the store, else ErrUnavailable.
func (k CallKind) callError(sent bool, cause error) error {
	if sent && k.isWrite() {
		return fmt.Errorf("%w: %w", egretflow.ErrUncertain, cause)
	}
	return fmt.Errorf("%w: %w", egretflow.ErrUnavailable, cause)
}

// These are the gRPC codes that the store returns only before it proposes a
// write (grpc.github.io/grpc/core/md_doc_statuscodes.html). Unavailable is not
// included, because the store also returns it when its leader changes during a
// write.
const (
	codeInvalidArgument    = 3
	codeNotFound           = 5
	codePermissionDenied   = 7
	codeResourceExhausted  = 8
	codeFailedPrecondition = 9
	codeOutOfRange         = 11
	codeUnimplemented      = 12
	codeUnauthenticated    = 16
)

// statusError returns the error for a response with a status other than 200. It
// depends on the gRPC code in the response.
func (k CallKind) statusError(status int, data []byte) error {
	var response struct {
		Code    int    `json:"code"`
		Message string `json:"message"`
	}
	if err := json.Unmarshal(data, &response); err != nil {
		return k.callError(true, fmt.Errorf("store returned status %d", status))
	}
	cause := fmt.Errorf("store returned status %d: %s", status, response.Message)
	switch response.Code {
	case codeNotFound:
		return fmt.Errorf("%w: %w", egretflow.ErrNotFound, cause)
	case codePermissionDenied:
		return fmt.Errorf("%w: %w: %w", egretflow.ErrUnavailable, egretflow.ErrForbidden, cause)
	case codeUnauthenticated:
		return fmt.Errorf("%w: %w: %w", egretflow.ErrUnavailable, egretflow.ErrUnauthorized, cause)
	case codeInvalidArgument, codeResourceExhausted, codeFailedPrecondition, codeOutOfRange, codeUnimplemented:
		return fmt.Errorf("%w: %w", egretflow.ErrUnavailable, cause)
	}
	return k.callError(true, cause)
}
