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
	// MaxOpenStreams is the maximum number of open streams. At the target size a
	// slice has about 116 servers of both roles (1.5).
	MaxOpenStreams = 32
	// TickInterval is the time between two batches of a server, and between the
	// starts of two streams.
	TickInterval = 100 * time.Millisecond
	// IdleTimeout is the time without events after which a stream is ended.
	IdleTimeout = 30 * time.Second
	// PausePeriod is how long a server that sent too many bytes is not followed.
	PausePeriod = 10 * time.Minute
	// DefaultBytesPerSecond is the default of Config.BytesPerSecond. It equals the
	// limit on control plane messages (1.5); cache events have a separate
	// limit.
	DefaultBytesPerSecond = 6 << 10
	// burstBytes is the size of the token bucket. It lets an engine that was idle
	// send the events of several prompts of ten thousand tokens, about 1 KB each,
	// at once.
	burstBytes = 64 << 10

	// minBackoff is the mean wait after the first failure; it doubles with every
	// further failure.
	minBackoff = 500 * time.Millisecond
	// maxBackoff is the longest mean wait.
	maxBackoff = 30 * time.Second
	// messageBuffer is the capacity of Follower.messages. It lets streams continue
	// reading while Run passes on a batch.
	messageBuffer = 64
)

// Config holds the settings and dependencies of a Follower.
type Config struct {
	// Client connects to the servers. It must have no timeout, because that would
	// end every stream.
	Client *http.Client
	Clock  egretflow.Clock
	// Rand is used only by the goroutine of Run.
	Rand *rand.Rand
	// Observe receives the events as observations of kind ObservationCache. It
	// is called by the goroutine of Run.
	Observe func(egretflow.Observation)
	// TLS reports whether the servers of a pool use TLS; nil means that none do.
	TLS func(egretflow.PoolName) bool
	// BytesPerSecond limits the mean rate of the bytes read; 0 means
	// DefaultBytesPerSecond.
	BytesPerSecond int
}

// Follower reads the cache events of the prefill servers in a slice.
type Follower struct {
	cfg      Config
	servers  chan []slicer.ServerShare
	messages chan message
}

// message is a batchMessage or an endMessage that a stream sends to Run.
type message interface{ isMessage() }

type (
	// batchMessage carries events that were read together.
	batchMessage struct {
		server egretflow.ServerName
		events []egretflow.CacheEvent
		bytes  int
	}
	// endMessage reports that the stream of a server ended.
	endMessage struct {
		server egretflow.ServerName
		err    error
	}
)

func (batchMessage) isMessage() {}
func (endMessage) isMessage()   {}

// New returns a Follower. It opens no stream before Run is called.
func New(cfg Config) *Follower {
	if cfg.BytesPerSecond == 0 {
		cfg.BytesPerSecond = DefaultBytesPerSecond
	}
	return &Follower{cfg: cfg, servers: make(chan []slicer.ServerShare, 1), messages: make(chan message, messageBuffer)}
}

// SetServers replaces the servers of the slice; only the prefill servers are
// followed. It never blocks. It must not be called concurrently.
func (f *Follower) SetServers(servers []slicer.ServerShare) {
	select {
	case <-f.servers:
	default:
	}
	f.servers <- servers
}

// Run follows the servers until ctx ends. It must be called only once.
func (f *Follower) Run(ctx context.Context) error {
	var streams sync.WaitGroup
	defer streams.Wait()
	t := &followLoop{
		Follower: f, streams: &streams, followed: map[egretflow.ServerName]*followedServer{},
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
			t.handle(m)
		case <-ticker.C:
			t.tick(ctx)
		}
	}
}
