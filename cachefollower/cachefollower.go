package cachefollower

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/slicer"
)

const (
	// MaxOpen bounds the open streams. A slice has about 116 servers of both
	// roles at the target size (1.5).
	MaxOpen = 32
	// TickInterval is the time between two batches of a server.
	TickInterval = 100 * time.Millisecond
	// IdleTimeout ends a stream that delivers nothing.
	IdleTimeout = 30 * time.Second
	// RestPeriod is how long a server that sends too much is not followed.
	RestPeriod = 10 * time.Minute
	// DefaultBytesPerSecond is the bound of (1.5) for messages of the control
	// plane, which cache events are counted against separately.
	DefaultBytesPerSecond = 6 << 10
	// burstBytes lets an engine that was idle send the events of some prompts of
	// ten thousand tokens, about 1 KB each, at once.
	burstBytes = 64 << 10

	minBackoff = 500 * time.Millisecond
	maxBackoff = 30 * time.Second
	// messageBuffer lets streams go on reading while a batch is passed on.
	messageBuffer = 64
)

// Config is what a Follower needs.
type Config struct {
	// Client must have no timeout, which would end every stream.
	Client *http.Client
	Clock  egretflow.Clock
	// Rand is used only by the goroutine of Run.
	Rand *rand.Rand
	// Sink gets the events.
	Sink func(egretflow.Observation)
	// TLS says for a pool whether its servers speak TLS; nil means none do.
	TLS func(egretflow.PoolName) bool
	// BytesPerSecond bounds the mean rate of what is read; 0 means
	// DefaultBytesPerSecond.
	BytesPerSecond int
}

// Follower follows cache events.
type Follower struct {
	cfg      Config
	servers  chan []slicer.Share
	messages chan message
}

// message is one of the types below.
type message interface{ isMessage() }

type (
	// batchMessage carries events that were read together.
	batchMessage struct {
		server egretflow.ServerName
		events []egretflow.CacheEvent
		bytes  int
	}
	// endMessage says that the stream of a server ended.
	endMessage struct {
		server egretflow.ServerName
		err    error
	}
)

func (batchMessage) isMessage() {}
func (endMessage) isMessage()   {}

// New returns a follower that does nothing until Run is called.
func New(cfg Config) *Follower {
	if cfg.BytesPerSecond == 0 {
		cfg.BytesPerSecond = DefaultBytesPerSecond
	}
	return &Follower{cfg: cfg, servers: make(chan []slicer.Share, 1), messages: make(chan message, messageBuffer)}
}

// SetServers replaces the servers of the slice; only the prefill servers are
// followed. It never blocks. Calls must not overlap.
func (f *Follower) SetServers(servers []slicer.Share) {
	select {
	case <-f.servers:
	default:
	}
	f.servers <- servers
}

// Run follows until ctx ends. It must be called once.
func (f *Follower) Run(ctx context.Context) error {
	var streams sync.WaitGroup
	defer streams.Wait()
	t := &task{
		Follower: f, streams: &streams, followed: map[egretflow.ServerName]*followed{},
		tokens: burstBytes, filledAt: f.cfg.Clock(),
	}
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case servers := <-f.servers:
			t.setServers(servers)
		case m := <-f.messages:
			t.take(m)
		case <-ticker.C:
			t.tick(ctx)
		}
	}
}
