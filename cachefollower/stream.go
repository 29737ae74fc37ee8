package cachefollower

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/internal/sse"
	"github.com/egretflow/egretflow/slicer"
	"github.com/pkg/errors"
)

// maxBatchEvents is the maximum number of events in one batchMessage.
const maxBatchEvents = 64

// errIdle means that a stream delivered no event for IdleTimeout.
var errIdle = errors.New("stream is idle")

// errNoSequence means that an event has no valid sequence number. A valid one is
// a positive integer.
var errNoSequence = errors.New("cache event without sequence number")

// stream reads the events of one connection. Each stream has its own goroutine.
type stream struct {
	*Follower
	share slicer.ServerShare
	// resumeAfter is the sequence number after which the stream resumes; 0 starts
	// at the first event.
	resumeAfter uint64
}

// read sends batches to Run until the stream ends, and returns why it ended.
func (c *stream) read(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idle := time.AfterFunc(IdleTimeout, func() { cancel(errIdle) })
	defer idle.Stop()
	response, err := c.connect(ctx)
	if err == nil {
		defer response.Body.Close()
		err = c.readEvents(ctx, sse.NewReader(response.Body), idle)
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

func (c *stream) connect(ctx context.Context) (*http.Response, error) {
	scheme := "http"
	if c.cfg.TLS != nil && c.cfg.TLS(c.share.Pool) {
		scheme = "https"
	}
	url := scheme + "://" + c.share.Server.Address.String() + "/kv_events"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("make request for cache events: %w", err)
	}
	request.Header.Set("Accept", "text/event-stream")
	if c.resumeAfter != 0 {
		request.Header.Set("Last-Event-ID", strconv.FormatUint(c.resumeAfter, 10))
	}
	response, err := c.cfg.Client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("follow cache events of %s: %w", c.share.Server.Name, err)
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, fmt.Errorf("follow cache events of %s: status %d", c.share.Server.Name, response.StatusCode)
	}
	return response, nil
}

func (c *stream) readEvents(ctx context.Context, events *sse.Reader, idle *time.Timer) error {
	for {
		batch := batchMessage{server: c.share.Server.Name}
		for len(batch.events) == 0 || events.Buffered() && len(batch.events) < maxBatchEvents {
			id, data, err := events.Next()
			if err != nil {
				return fmt.Errorf("read cache events of %s: %w", c.share.Server.Name, err)
			}
			e, err := decodeEvent(id, data)
			if err != nil {
				return fmt.Errorf("read cache events of %s: %w", c.share.Server.Name, err)
			}
			batch.events = append(batch.events, e)
			batch.bytes += len(id) + len(data)
		}
		idle.Reset(IdleTimeout)
		select {
		case c.messages <- batch:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// decodeEvent decodes one event (docs/engine-protocol.md). An event of unknown
// type keeps its sequence number, so that it does not appear as a gap. Malformed
// data becomes an event with the sequence number and no type, because a resumed
// stream would start with the same event again.
func decodeEvent(id, data []byte) (egretflow.CacheEvent, error) {
	sequence, err := strconv.ParseUint(string(id), 10, 64)
	if err != nil || sequence == 0 {
		return egretflow.CacheEvent{}, fmt.Errorf("%w: %.40q", errNoSequence, id)
	}
	var body struct {
		Type   egretflow.CacheEventType `json:"type"`
		Hashes []egretflow.PrefixHash   `json:"block_hashes"`
	}
	if json.Unmarshal(data, &body) != nil {
		return egretflow.CacheEvent{Sequence: sequence}, nil
	}
	return egretflow.CacheEvent{Sequence: sequence, Type: body.Type, Hashes: body.Hashes}, nil
}
