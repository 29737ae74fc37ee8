package engine

import (
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/egretflow/egretflow"
)

// Defaults of Config.
const (
	DefaultSlots                = 20
	DefaultBlocks               = 4000
	DefaultTokenGap             = 25 * time.Millisecond
	DefaultPrefillRetention     = 800 * time.Millisecond
	DefaultStreamRetention      = 3 * time.Second
	DefaultReportLag            = time.Second
	DefaultMaxWaiting           = 64
	DefaultRestartAfter         = 2 * time.Second
	DefaultEventLossProbability = 0.02
)

// Config holds the settings of an Engine. Zero values select the defaults above. A
// zero rate means that the work takes no time.
type Config struct {
	// Name is the engine id in KV transfers.
	Name string
	Role egretflow.Role
	// Model is the only model that is served; empty serves any model.
	Model string
	// Address is reported to decode engines as the source of KV transfers. The
	// default is the local address of the first completion request.
	Address netip.AddrPort
	// Slots is the number of requests that can run at the same time. MaxWaiting
	// is the number of requests that can wait for a slot; more get 503.
	Slots      int
	MaxWaiting int
	// Blocks is the engine memory in blocks of egretflow.BlockTokens tokens.
	Blocks                 int
	PrefillTokensPerSecond int
	TokenGap               time.Duration
	// LinkBytesPerSecond is the rate of the link over which the engine exports
	// KV caches.
	LinkBytesPerSecond int64
	KVBytesPerToken    int64
	// PrefillRetention is how long the result of a prefill is retained for its
	// import.
	PrefillRetention time.Duration
	// StreamRetention is how long a disconnected or finished stream can be resumed.
	StreamRetention time.Duration
	// ReportLag is the interval at which the load report is updated, and the
	// delay of cache events.
	ReportLag time.Duration
	// EventLossProbability is the probability, from 0 to 1, that a cache event is
	// lost; negative for none.
	EventLossProbability float64
	// ChecksFencing makes the engine reject orders with a stale fencing token.
	ChecksFencing bool
	// Weights is the store that models are loaded from. With nil a model is
	// ready immediately.
	Weights *WeightStore
	// ModelBytes is the size of every model in the weight store.
	ModelBytes int64
	// RestartAfter is how long the engine is down after a CrashMarker crash.
	RestartAfter time.Duration
	// OnCrash is called in a new goroutine when the engine crashes.
	OnCrash func()
	Clock   egretflow.Clock
	Rand    *rand.Rand
	// Client fetches KV caches from other engines.
	Client *http.Client
}

func (c *Config) setDefaults() {
	setDefault(&c.Slots, DefaultSlots)
	setDefault(&c.MaxWaiting, DefaultMaxWaiting)
	setDefault(&c.Blocks, DefaultBlocks)
	setDefault(&c.TokenGap, DefaultTokenGap)
	setDefault(&c.PrefillRetention, DefaultPrefillRetention)
	setDefault(&c.StreamRetention, DefaultStreamRetention)
	setDefault(&c.ReportLag, DefaultReportLag)
	setDefault(&c.EventLossProbability, DefaultEventLossProbability)
	setDefault(&c.RestartAfter, DefaultRestartAfter)
	setDefault(&c.Role, egretflow.RoleDecode)
	setDefault(&c.Client, http.DefaultClient)
	if c.Clock == nil {
		c.Clock = egretflow.SystemClock
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(1, 1))
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
