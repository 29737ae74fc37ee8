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

// followed is the state of one server.
type followed struct {
	share slicer.Share
	// cancel ends the open stream; nil if there is none.
	cancel context.CancelFunc
	// last is the highest sequence number seen, and resumed says that the open
	// stream has not delivered an event yet.
	last     uint64
	resumed  bool
	failures int
	// notBefore is when the next stream may start.
	notBefore time.Time
	// bytes counts what was read since the last rest.
	bytes   int
	pending []egretflow.CacheEvent
	// dropped says that the server left the slice while its stream ended.
	dropped bool
}

// task is the state owned by the goroutine of Run.
type task struct {
	*Follower
	streams  *sync.WaitGroup
	followed map[egretflow.ServerName]*followed
	// order is the order in which streams are started. It differs between
	// instances, which spreads the load if not all servers can be followed.
	order []egretflow.ServerName
	open  int
	// tokens is the number of bytes that may be read now.
	tokens   float64
	filledAt time.Time
}

func (t *task) setServers(servers []slicer.Share) {
	for _, s := range t.followed {
		s.dropped = true
	}
	t.order = t.order[:0]
	for _, share := range servers {
		if share.Kind != egretflow.PoolKindModel || share.Server.Role != egretflow.RolePrefill {
			continue
		}
		name := share.Server.Name
		s := t.followed[name]
		if s == nil {
			s = &followed{}
			t.followed[name] = s
		} else if s.share.Server.Address != share.Server.Address {
			s.stop()
			s.last = 0
		}
		s.share, s.dropped = share, false
		t.order = append(t.order, name)
	}
	t.cfg.Rand.Shuffle(len(t.order), func(a, b int) { t.order[a], t.order[b] = t.order[b], t.order[a] })
	for name, s := range t.followed {
		if s.dropped {
			s.stop()
			if s.cancel == nil {
				delete(t.followed, name)
			}
		}
	}
}

// stop ends the open stream. Its endMessage follows.
func (s *followed) stop() {
	if s.cancel != nil {
		s.cancel()
	}
}

func (t *task) take(m message) {
	switch m := m.(type) {
	case batchMessage:
		if s := t.followed[m.server]; s != nil && !s.dropped {
			s.take(m.events)
			s.bytes += m.bytes
		}
		t.spend(m.bytes)
	case endMessage:
		t.open--
		s := t.followed[m.server]
		s.cancel()
		s.cancel = nil
		if s.dropped {
			delete(t.followed, m.server)
			return
		}
		s.ended(m.err)
		s.notBefore = later(s.notBefore, t.cfg.Clock().Add(t.backoff(s.failures)))
	}
}

// take keeps new events for the next batch.
func (s *followed) take(events []egretflow.CacheEvent) {
	for _, e := range events {
		if s.resumed && s.last != 0 && e.Sequence <= s.last {
			s.restarted()
		}
		s.resumed = false
		if e.Sequence <= s.last {
			continue
		}
		s.last, s.failures = e.Sequence, 0
		s.pending = append(s.pending, e)
	}
}

// restarted forgets what an engine that restarted held (rule 5).
func (s *followed) restarted() {
	s.pending = append(s.pending, egretflow.CacheEvent{Type: egretflow.CacheEventCleared})
	s.last = 0
}

func (s *followed) ended(err error) {
	if errors.Is(err, errIdle) {
		return
	}
	s.failures++
	if errors.Is(err, syscall.ECONNREFUSED) && s.last != 0 {
		s.restarted()
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (t *task) backoff(failures int) time.Duration {
	if failures == 0 {
		return 0
	}
	wait := min(maxBackoff, minBackoff<<min(failures-1, 10))
	return wait/2 + time.Duration(t.cfg.Rand.Int64N(int64(wait)))
}

// spend takes read bytes from the bucket (rule 6).
func (t *task) spend(bytes int) {
	t.refill()
	t.tokens -= float64(bytes)
	if t.tokens >= 0 {
		return
	}
	var most *followed
	for _, name := range t.order {
		if s := t.followed[name]; s.cancel != nil && (most == nil || s.bytes > most.bytes) {
			most = s
		}
	}
	if most == nil {
		return
	}
	most.stop()
	most.bytes = 0
	most.notBefore = t.cfg.Clock().Add(RestPeriod)
	// The others go on; without a new allowance they would be ended one by one
	// for the bytes of the first.
	t.tokens = burstBytes / 2
}

func (t *task) refill() {
	now := t.cfg.Clock()
	t.tokens = min(burstBytes, t.tokens+now.Sub(t.filledAt).Seconds()*float64(t.cfg.BytesPerSecond))
	t.filledAt = now
}

// tick passes the batches on and starts at most one stream.
func (t *task) tick(ctx context.Context) {
	now := t.cfg.Clock()
	for _, name := range t.order {
		s := t.followed[name]
		if len(s.pending) > 0 {
			t.cfg.Sink(egretflow.Observation{
				Kind: egretflow.ObservationCache, Server: name, EndedAt: now, Cache: s.pending,
			})
			s.pending = nil
		}
	}
	t.refill()
	if t.open >= MaxOpen || t.tokens <= 0 {
		return
	}
	next := slices.IndexFunc(t.order, func(name egretflow.ServerName) bool {
		s := t.followed[name]
		return s.cancel == nil && !now.Before(s.notBefore)
	})
	if next >= 0 {
		t.start(ctx, t.followed[t.order[next]])
	}
}

func (t *task) start(ctx context.Context, s *followed) {
	t.open++
	s.resumed = true
	streamCtx, cancel := context.WithCancel(ctx)
	s.cancel = cancel
	c := &stream{Follower: t.Follower, share: s.share, last: s.last}
	t.streams.Go(func() {
		err := c.read(streamCtx)
		select {
		case t.messages <- endMessage{c.share.Server.Name, err}:
		case <-ctx.Done():
			cancel()
		}
	})
}
