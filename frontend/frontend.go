package frontend

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/recorder"
	"github.com/egretflow/egretflow/relayer"
	"github.com/labstack/echo/v4"
	"golang.org/x/sync/semaphore"
)

// Identifier finds the name that belongs to a key.
type Identifier interface {
	Identify(key string) (name string, ok bool)
}

// Limits bound what callers can use. Zero values take the defaults.
type Limits struct {
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// MaxTotalBodyBytes bounds the bodies of all requests in progress.
	MaxTotalBodyBytes int64
	// MaxStreams bounds the open requests of one caller, unless its route sets
	// another limit.
	MaxStreams     int
	MaxConnections int
	HeaderTimeout  time.Duration
	BodyTimeout    time.Duration
	IdleTimeout    time.Duration
	// WriteTimeout bounds one write to a caller that does not read.
	WriteTimeout time.Duration
	// RequestTimeout bounds a request without X-Request-Deadline.
	RequestTimeout time.Duration
	// DrainTimeout is the time for open requests at shutdown (10.1).
	DrainTimeout time.Duration
	// LameDuck is the time at shutdown in which the instance is not ready and
	// still takes requests, because balancers notice late; 0 for none.
	LameDuck time.Duration
}

// Default limits.
const (
	DefaultMaxBodyBytes      = 4 << 20
	DefaultMaxHeaderBytes    = 16 << 10
	DefaultMaxTotalBodyBytes = 256 << 20
	DefaultMaxStreams        = 1000
	DefaultMaxConnections    = 8192
	DefaultHeaderTimeout     = 5 * time.Second
	DefaultBodyTimeout       = 10 * time.Second
	DefaultIdleTimeout       = 60 * time.Second
	DefaultWriteTimeout      = 10 * time.Second
	DefaultRequestTimeout    = 10 * time.Minute
	DefaultDrainTimeout      = 20 * time.Second
)

func (l Limits) withDefaults() Limits {
	setDefault(&l.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&l.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&l.MaxTotalBodyBytes, DefaultMaxTotalBodyBytes)
	setDefault(&l.MaxStreams, DefaultMaxStreams)
	setDefault(&l.MaxConnections, DefaultMaxConnections)
	setDefault(&l.HeaderTimeout, DefaultHeaderTimeout)
	setDefault(&l.BodyTimeout, DefaultBodyTimeout)
	setDefault(&l.IdleTimeout, DefaultIdleTimeout)
	setDefault(&l.WriteTimeout, DefaultWriteTimeout)
	setDefault(&l.RequestTimeout, DefaultRequestTimeout)
	setDefault(&l.DrainTimeout, DefaultDrainTimeout)
	return l
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Config holds what a Frontend needs.
type Config struct {
	Instance egretflow.InstanceName
	Relayer  *relayer.Relayer
	// Tables returns the tables in force, nil while there are none.
	Tables   func() *egretflow.Tables
	Callers  Identifier
	Recorder egretflow.Recorder
	Checker  egretflow.Checker
	Metrics  *recorder.Metrics
	Clock    egretflow.Clock
	Rand     *rand.Rand
	Limits   Limits
	// TLS serves callers over TLS; nil for none.
	TLS *tls.Config
	// Dialect, if set, makes the frontend forward the requests of routes by host
	// and path, unchanged, instead of serving its own API.
	Dialect egretflow.Dialect
}

// Frontend serves callers.
type Frontend struct {
	cfg     Config
	handler http.Handler
	bodies  *semaphore.Weighted
	streams streamCounter
	randMu  sync.Mutex

	open    *openRequests
	waiting waitEstimator
	// drainBy is when the drain ends, in nanoseconds since 1970.
	drainBy atomic.Int64
	// handover ends when open answers must end after the current event.
	handover      context.Context
	startHandover context.CancelFunc
}

// New returns a Frontend.
func New(cfg Config) *Frontend {
	cfg.Limits = cfg.Limits.withDefaults()
	f := &Frontend{cfg: cfg, bodies: semaphore.NewWeighted(cfg.Limits.MaxTotalBodyBytes), streams: newStreamCounter(), open: newOpenRequests()}
	f.handover, f.startHandover = context.WithCancel(context.Background())
	f.handler = f.routes()
	return f
}

// ServeHTTP implements http.Handler.
func (f *Frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.handler.ServeHTTP(w, r) }

func (f *Frontend) routes() http.Handler {
	e := echo.New()
	if f.cfg.Dialect != nil {
		e.HTTPErrorHandler = f.writeForwardError
		e.Any("/*", f.serveForwarded, f.identifyForwarded, f.admitForwarded)
		return e
	}
	e.HTTPErrorHandler = f.writeError
	group := e.Group("", f.identify, f.admit)
	group.POST("/v1/chat/completions", f.serveChat)
	group.POST("/v1/completions", f.serveCompletions)
	group.GET("/v1/models", f.serveModels)
	group.Any("/*", f.serveService)
	return e
}

// jitter returns a duration between half of d and d.
func (f *Frontend) jitter(d time.Duration) time.Duration {
	f.randMu.Lock()
	defer f.randMu.Unlock()
	return d/2 + time.Duration(f.cfg.Rand.Int64N(int64(d/2)+1))
}

func (f *Frontend) random() uint64 {
	f.randMu.Lock()
	defer f.randMu.Unlock()
	return f.cfg.Rand.Uint64()
}
