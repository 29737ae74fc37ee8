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

// call sends one request and decodes the answer. Its errors follow the rules
// of the package.
func (c *Client) call(ctx context.Context, kind CallKind, request, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	resp, sent, err := c.send(ctx, kind, request)
	if err != nil {
		return kind.failure(sent, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponseBytes))
	if err != nil {
		return kind.failure(true, fmt.Errorf("read answer: %w", err))
	}
	if resp.StatusCode != http.StatusOK {
		return kind.refusal(resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return kind.failure(true, fmt.Errorf("decode answer: %w", err))
	}
	return nil
}

// send posts the request. sent says whether any byte of the body may have
// reached the store.
func (c *Client) send(ctx context.Context, kind CallKind, request any) (resp *http.Response, sent bool, err error) {
	data, err := json.Marshal(request)
	if err != nil {
		return nil, false, fmt.Errorf("encode request: %w", err)
	}
	body := &watchedBody{r: bytes.NewReader(data)}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.cfg.BaseURL+kind.path(), body)
	if err != nil {
		return nil, false, fmt.Errorf("make request: %w", err)
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

// watchedBody notes whether the transport has read from it. The transport
// reads the body only to write it to a connection, so an unread body is
// certain not to have reached the store.
type watchedBody struct {
	r    io.Reader
	read atomic.Bool
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	b.read.Store(true)
	return b.r.Read(p)
}

// failure classifies a call without a usable answer.
func (k CallKind) failure(sent bool, cause error) error {
	if sent && k.writes() {
		return fmt.Errorf("%w: %w", egretflow.ErrUncertain, cause)
	}
	return fmt.Errorf("%w: %w", egretflow.ErrUnavailable, cause)
}

// The gRPC codes that the store uses only before it proposes a write
// (grpc.github.io/grpc/core/md_doc_statuscodes.html). Unavailable is not among
// them: the store also returns it when its leader changes during a write.
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

// refusal classifies an answer with an error status.
func (k CallKind) refusal(status int, data []byte) error {
	var answer struct {
		Code    int    `json:"code"`
		Message string `json:"message"`
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return k.failure(true, fmt.Errorf("store answered %d", status))
	}
	cause := fmt.Errorf("store answered %d: %s", status, answer.Message)
	switch answer.Code {
	case codeNotFound:
		return fmt.Errorf("%w: %w", egretflow.ErrNotFound, cause)
	case codePermissionDenied:
		return fmt.Errorf("%w: %w: %w", egretflow.ErrUnavailable, egretflow.ErrForbidden, cause)
	case codeUnauthenticated:
		return fmt.Errorf("%w: %w: %w", egretflow.ErrUnavailable, egretflow.ErrUnauthorized, cause)
	case codeInvalidArgument, codeResourceExhausted, codeFailedPrecondition, codeOutOfRange, codeUnimplemented:
		return fmt.Errorf("%w: %w", egretflow.ErrUnavailable, cause)
	}
	return k.failure(true, cause)
}
