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

// maxBatch bounds the events read together.
const maxBatch = 64

// errIdle means that a stream delivered nothing for IdleTimeout.
var errIdle = errors.New("stream is idle")

// errSequence means that an event has no usable sequence number.
var errSequence = errors.New("cache event without sequence number")

// stream reads the events of one connection on a goroutine of its own.
type stream struct {
	*Follower
	share slicer.Share
	// last is the number after which the stream resumes; 0 for the beginning.
	last uint64
}

// read sends batches until the stream ends, and returns the cause.
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
	if c.last != 0 {
		request.Header.Set("Last-Event-ID", strconv.FormatUint(c.last, 10))
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
		for len(batch.events) == 0 || events.Buffered() && len(batch.events) < maxBatch {
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

// decodeEvent decodes one event (docs/engine-protocol.md). Events of unknown
// type keep their number, so that they do not look like a gap. Malformed data
// becomes an event of no type with the number, because ending the stream would
// only lead to the same event again.
func decodeEvent(id, data []byte) (egretflow.CacheEvent, error) {
	sequence, err := strconv.ParseUint(string(id), 10, 64)
	if err != nil || sequence == 0 {
		return egretflow.CacheEvent{}, fmt.Errorf("%w: %.40q", errSequence, id)
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
