package storeclient

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/egretflow/egretflow"
)

// Watch sends every change under prefix after the given store revision, in
// order. It returns when ctx ends or the watch breaks; the error is
// ErrCompacted when the changes are gone. A watch over a connection that
// silently stopped delivering does not break by itself: the caller compares
// with a read from time to time.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, events chan<- egretflow.StoreEntry) error {
	request := watchRequest{Create: watchCreate{
		Key:           []byte(prefix),
		RangeEnd:      prefixEnd(prefix),
		StartRevision: after + 1,
	}}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp, sent, err := c.send(ctx, CallWatch, request)
	if err != nil {
		return fmt.Errorf("watch %s: %w", prefix, CallWatch.failure(sent, err))
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(io.LimitReader(resp.Body, MaxResponseBytes))
		return fmt.Errorf("watch %s: %w", prefix, CallWatch.refusal(resp.StatusCode, data))
	}
	if err := forwardEvents(ctx, resp.Body, events); err != nil {
		return fmt.Errorf("watch %s: %w", prefix, err)
	}
	return nil
}

func forwardEvents(ctx context.Context, body io.Reader, events chan<- egretflow.StoreEntry) error {
	dec := json.NewDecoder(body)
	for {
		var m watchMessage
		if err := dec.Decode(&m); err != nil {
			return CallWatch.failure(true, fmt.Errorf("read events: %w", err))
		}
		if m.Error != nil {
			return CallWatch.failure(true, fmt.Errorf("store ended the watch: %s", m.Error.Message))
		}
		if m.Result.CompactRevision > 0 {
			return fmt.Errorf("%w: oldest kept is %d", ErrCompacted, m.Result.CompactRevision)
		}
		if m.Result.Canceled {
			return CallWatch.failure(true, fmt.Errorf("store ended the watch: %s", m.Result.CancelReason))
		}
		for _, e := range m.Result.Events {
			select {
			case events <- e.entry():
			case <-ctx.Done():
				return fmt.Errorf("send event: %w", ctx.Err())
			}
		}
	}
}
