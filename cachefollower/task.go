package cachefollower

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/slicer"
	"github.com/pkg/errors"
)

// followedServer holds the state of one server and of its stream.
type followedServer struct {
	share slicer.ServerShare
	// cancel ends the open stream; nil if there is none.
	cancel context.CancelFunc
	// lastSequence is the highest sequence number received; 0 if none was received
	// since the start or since the engine restarted.
	lastSequence uint64
	// awaitingEvent is true until the open stream has delivered its first event.
	awaitingEvent bool
	// failures counts the streams that ended with an error since the last event.
	failures int
	// nextStartAt is when the next stream may start.
	nextStartAt time.Time
	// bytes is the number of bytes read since the last pause.
	bytes int
	// pending holds the events for the next observation.
	pending []egretflow.CacheEvent
	// removed means that the server has left the slice and its stream has not
	// ended yet.
	removed bool
}

// followLoop holds the state that only the goroutine of Run uses.
type followLoop struct {
	*Follower
	streams  *sync.WaitGroup
	followed map[egretflow.ServerName]*followedServer
	// startOrder lists the servers in the order in which streams are started. It
	// is random, so that instances follow different servers if none of them can
	// follow all.
	startOrder  []egretflow.ServerName
	openStreams int
	// tokens is the number of bytes that may be read at the time filledAt;
	// negative if the bucket is overdrawn.
	tokens   float64
	filledAt time.Time
}

// setServers replaces the followed servers. It stops the streams of servers that
// left the slice or have a new address.
func (t *followLoop) setServers(servers []slicer.ServerShare) {
	for _, s := range t.followed {
		s.removed = true
	}
	t.startOrder = t.startOrder[:0]
	for _, share := range servers {
		if share.Kind != egretflow.PoolKindModel || share.Server.Role != egretflow.RolePrefill {
			continue
		}
		name := share.Server.Name
		s := t.followed[name]
		if s == nil {
			s = &followedServer{}
			t.followed[name] = s
		} else if s.share.Server.Address != share.Server.Address {
			s.stop()
			s.lastSequence = 0
		}
		s.share, s.removed = share, false
		t.startOrder = append(t.startOrder, name)
	}
	t.cfg.Rand.Shuffle(len(t.startOrder), func(a, b int) { t.startOrder[a], t.startOrder[b] = t.startOrder[b], t.startOrder[a] })
	for name, s := range t.followed {
		if s.removed {
			s.stop()
			if s.cancel == nil {
				delete(t.followed, name)
			}
		}
	}
}

// stop ends the open stream, if there is one. The stream then sends an
// endMessage.
func (s *followedServer) stop() {
	if s.cancel != nil {
		s.cancel()
	}
}

// handle processes a message of a stream.
func (t *followLoop) handle(m message) {
	switch m := m.(type) {
	case batchMessage:
		if s := t.followed[m.server]; s != nil && !s.removed {
			s.addEvents(m.events)
			s.bytes += m.bytes
		}
		t.chargeRead(m.bytes)
	case endMessage:
		t.openStreams--
		s := t.followed[m.server]
		s.cancel()
		s.cancel = nil
		if s.removed {
			delete(t.followed, m.server)
			return
		}
		s.streamEnded(m.err)
		s.nextStartAt = later(s.nextStartAt, t.cfg.Clock().Add(t.backoff(s.failures)))
	}
}

// addEvents adds new events to those for the next observation. Repeated ones are
// dropped (rule 4).
func (s *followedServer) addEvents(events []egretflow.CacheEvent) {
	for _, e := range events {
		if s.awaitingEvent && s.lastSequence != 0 && e.Sequence <= s.lastSequence {
			s.clearAfterRestart()
		}
		s.awaitingEvent = false
		if e.Sequence <= s.lastSequence {
			continue
		}
		s.lastSequence, s.failures = e.Sequence, 0
		s.pending = append(s.pending, e)
	}
}

// clearAfterRestart adds a CacheEventCleared for an engine that restarted, and
// accepts sequence numbers from 1 on again (rule 5).
func (s *followedServer) clearAfterRestart() {
	s.pending = append(s.pending, egretflow.CacheEvent{Type: egretflow.CacheEventCleared})
	s.lastSequence = 0
}

// streamEnded counts a failure, except for an idle stream, and detects a restart
// of the engine by a refused connection (rule 5).
func (s *followedServer) streamEnded(err error) {
	if errors.Is(err, errIdle) {
		return
	}
	s.failures++
	if errors.Is(err, syscall.ECONNREFUSED) && s.lastSequence != 0 {
		s.clearAfterRestart()
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// backoff returns the wait before the next stream after a number of failures in a
// row, with jitter of half of the mean in both directions.
func (t *followLoop) backoff(failures int) time.Duration {
	if failures == 0 {
		return 0
	}
	wait := min(maxBackoff, minBackoff<<min(failures-1, 10))
	return wait/2 + time.Duration(t.cfg.Rand.Int64N(int64(wait)))
}

// chargeRead takes read bytes from the bucket. If that overdraws it, it pauses
// the server that sent the most bytes (rule 6).
func (t *followLoop) chargeRead(bytes int) {
	t.refill()
	t.tokens -= float64(bytes)
	if t.tokens >= 0 {
		return
	}
	var busiest *followedServer
	for _, name := range t.startOrder {
		if s := t.followed[name]; s.cancel != nil && (busiest == nil || s.bytes > busiest.bytes) {
			busiest = s
		}
	}
	if busiest == nil {
		return
	}
	busiest.stop()
	busiest.bytes = 0
	busiest.nextStartAt = t.cfg.Clock().Add(PausePeriod)
	// Refill half of the bucket. Without that, the other servers would be paused
	// one by one for the bytes of this one.
	t.tokens = burstBytes / 2
}

func (t *followLoop) refill() {
	now := t.cfg.Clock()
	t.tokens = min(burstBytes, t.tokens+now.Sub(t.filledAt).Seconds()*float64(t.cfg.BytesPerSecond))
	t.filledAt = now
}

// tick passes the pending events on and starts at most one stream.
func (t *followLoop) tick(ctx context.Context) {
	now := t.cfg.Clock()
	for _, name := range t.startOrder {
		s := t.followed[name]
		if len(s.pending) > 0 {
			t.cfg.Observe(egretflow.Observation{
				Kind: egretflow.ObservationCache, Server: name, EndedAt: now, Cache: s.pending,
			})
			s.pending = nil
		}
	}
	t.refill()
	if t.openStreams >= MaxOpenStreams || t.tokens <= 0 {
		return
	}
	next := slices.IndexFunc(t.startOrder, func(name egretflow.ServerName) bool {
		s := t.followed[name]
		return s.cancel == nil && !now.Before(s.nextStartAt)
	})
	if next >= 0 {
		t.startStream(ctx, t.followed[t.startOrder[next]])
	}
}

func (t *followLoop) startStream(ctx context.Context, s *followedServer) {
	t.openStreams++
	s.awaitingEvent = true
	streamCtx, cancel := context.WithCancel(ctx)
	s.cancel = cancel
	c := &stream{Follower: t.Follower, share: s.share, resumeAfter: s.lastSequence}
	t.streams.Go(func() {
		err := c.read(streamCtx)
		select {
		case t.messages <- endMessage{c.share.Server.Name, err}:
		case <-ctx.Done():
			cancel()
		}
	})
}
