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
	"github.com/egretflow/egretflow/reserver"
	"github.com/labstack/echo/v4"
)

// Authenticator finds the name of the caller or operator that a key belongs to.
type Authenticator interface {
	Identify(key string) (name string, ok bool)
}

// Limits bounds the resources that callers can use. A zero field has the default
// value, except LameDuck.
type Limits struct {
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// MaxTotalBodyBytes bounds the sum of the bodies of all open requests. A quarter is
	// kept for those of up to reserver.SmallBytes.
	MaxTotalBodyBytes int64
	// MaxStreams bounds the open requests of one caller, streamed or not. A route
	// may set a lower limit.
	MaxStreams     int
	MaxConnections int
	// SocketBufferBytes bounds each buffer that the kernel holds for a caller's
	// connection; 0 leaves it to the kernel.
	SocketBufferBytes int
	HeaderTimeout     time.Duration
	BodyTimeout       time.Duration
	IdleTimeout       time.Duration
	// WriteTimeout is the longest time that a caller may take for the next 4 KB of a
	// response. A write blocks when the caller does not read.
	WriteTimeout time.Duration
	// RequestTimeout bounds a request, also one with a later deadline. With a
	// Dialect, a route may set another limit.
	RequestTimeout time.Duration
	// DrainTimeout is the time that open requests have to end at shutdown (10.1).
	DrainTimeout time.Duration
	// LameDuck is the time at the start of a shutdown during which the instance
	// is not ready but still serves new requests, because load balancers notice
	// the change late; 0 means none.
	LameDuck time.Duration
}

// Defaults of Limits.
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

// SetBudget sets the limits that follow from the memory of the instance.
func (l *Limits) SetBudget(b reserver.Budget) {
	l.MaxTotalBodyBytes, l.SocketBufferBytes = b.BodyBytes, b.SocketBufferBytes
	l.MaxConnections = min(DefaultMaxConnections, b.Connections)
}

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
	// Tables returns the current tables, or nil while there are none.
	Tables func() *egretflow.Tables
	// Configuration, if set, returns by which version of the configuration the
	// instance decides.
	Configuration func() egretflow.ConfigurationState
	Callers       Authenticator
	// Quotas, if set, counts what organisations use of their quotas.
	Quotas   egretflow.QuotaSpender
	Recorder egretflow.Recorder
	Checker  egretflow.Checker
	Metrics  *recorder.Metrics
	Clock    egretflow.Clock
	Rand     *rand.Rand
	Limits   Limits
	// TLS, if set, is used to serve callers over TLS.
	TLS *tls.Config
	// Dialect, if set, makes the frontend forward requests unchanged by host and
	// path, instead of serving the OpenAI-compatible API and service routes.
	Dialect egretflow.Dialect
}

// Frontend serves callers. Its methods are safe for concurrent use.
type Frontend struct {
	cfg       Config
	handler   http.Handler
	startedAt time.Time
	// bodies bounds the bodies of all requests to MaxTotalBodyBytes.
	bodies       *reserver.Reserver
	openByCaller callerCounter
	// randMu guards cfg.Rand.
	randMu sync.Mutex

	open  *openRequests
	waits waitEstimator
	// drainEndNanos is when open requests are handed over or cancelled, in nanoseconds
	// since 1970; 0 before the shutdown.
	drainEndNanos atomic.Int64
	// handover is cancelled when open streams must end after the current event.
	handover      context.Context
	startHandover context.CancelFunc
}

// New returns a Frontend for cfg. Call Serve to accept connections, or use it as
// an http.Handler.
func New(cfg Config) *Frontend {
	cfg.Limits = cfg.Limits.withDefaults()
	f := &Frontend{cfg: cfg, startedAt: cfg.Clock(), bodies: reserver.New(cfg.Limits.MaxTotalBodyBytes, cfg.Limits.MaxTotalBodyBytes/4), openByCaller: newCallerCounter(), open: newOpenRequests()}
	f.handover, f.startHandover = context.WithCancel(context.Background())
	f.handler = f.routes()
	return f
}

// ServeHTTP implements http.Handler. A response to HTTP/1.0 may end with its
// connection, so that one that is cut off must reset it.
func (f *Frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*timeoutConn)
	if !ok || r.ProtoAtLeast(1, 1) {
		f.handler.ServeHTTP(w, r)
		return
	}
	c.resets.Store(true)
	f.handler.ServeHTTP(w, r)
	// This is not deferred, because a handler that panics has cut its response off.
	c.resets.Store(false)
}

func (f *Frontend) routes() http.Handler {
	e := echo.New()
	e.Use(f.recoverPanics)
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

// random returns a random number.
func (f *Frontend) random() uint64 {
	f.randMu.Lock()
	defer f.randMu.Unlock()
	return f.cfg.Rand.Uint64()
}
