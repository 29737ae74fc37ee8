package storeclient

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/egretflow/egretflow"
)

// Watch sends to events every change of a key with the prefix after the given
// version, in order. It returns an error when ctx ends or the watch
// fails; ErrCompacted means that the store no longer has all these changes. A
// watch does not notice a connection that silently stopped delivering, so the
// caller must compare with a read from time to time.
func (c *Client) Watch(ctx context.Context, prefix string, after egretflow.StoreVersion, events chan<- egretflow.StoreEntry) error {
	request := watchRequest{Create: watchCreate{
		Key:           []byte(prefix),
		RangeEnd:      prefixEnd(prefix),
		StartRevision: after.Revision + 1,
	}}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp, sent, err := c.send(ctx, CallWatch, request)
	if err != nil {
		return fmt.Errorf("watch %s: %w", prefix, CallWatch.callError(sent, err))
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(io.LimitReader(resp.Body, MaxResponseBytes))
		return fmt.Errorf("watch %s: %w", prefix, CallWatch.statusError(resp.StatusCode, data))
	}
	if err := forwardEvents(ctx, resp.Body, events); err != nil {
		return fmt.Errorf("watch %s: %w", prefix, err)
	}
	return nil
}

// forwardEvents sends the events of a watch stream until the stream or ctx
// ends. It never returns nil.
func forwardEvents(ctx context.Context, body io.Reader, events chan<- egretflow.StoreEntry) error {
	dec := json.NewDecoder(body)
	for {
		var m watchMessage
		if err := dec.Decode(&m); err != nil {
			return CallWatch.callError(true, fmt.Errorf("read events: %w", err))
		}
		if m.Error != nil {
			return CallWatch.callError(true, fmt.Errorf("store ended the watch: %s", m.Error.Message))
		}
		if m.Result.CompactRevision > 0 {
			return fmt.Errorf("%w: oldest available revision is %d", ErrCompacted, m.Result.CompactRevision)
		}
		if m.Result.Canceled {
			return CallWatch.callError(true, fmt.Errorf("store ended the watch: %s", m.Result.CancelReason))
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
