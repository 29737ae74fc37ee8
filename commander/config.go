package commander

import (
	"net/http"
	"time"

	"github.com/egretflow/egretflow"
)

const (
	// LeaseTTL is the lifetime of a lease without renewal.
	LeaseTTL = 10 * time.Second
	// CommandTimeout bounds one command. An engine applies a command within this
	// time or never, except when the process of the sender was paused.
	CommandTimeout = time.Second
	// PollInterval is the time between two reads of the engines' status (8.3).
	PollInterval = time.Second
	// MinImbalanceTime is how long one role has to be much busier than the other
	// before an engine changes its role.
	MinImbalanceTime = 30 * time.Second
	// RoleChangeInterval is the minimum time between two role changes of a pool.
	RoleChangeInterval = time.Minute
	// DrainTimeout is how long an engine may take to finish its requests before
	// its role changes. After it, the role changes even if requests still run.
	DrainTimeout = 30 * time.Second
	// DefaultMaxConcurrentLoads is the default of Config.MaxConcurrentLoads.
	DefaultMaxConcurrentLoads = 1

	// minDrainTime is the minimum duration of a drain. Instances can send new
	// work to the engine for 3 s after the drain starts (9.2), and the engine's
	// load report lags by 1 s.
	minDrainTime = 4 * time.Second
	// undrainPeriod is how long after a role change the holder ends any drain
	// that the engine reports. Besides the drain of the role change itself this
	// covers one that a previous holder, which was paused, starts late.
	undrainPeriod = 10 * time.Minute
	// minLoadRatio is the ratio of the loads of the two roles above which an
	// engine changes its role.
	minLoadRatio = 1.5
	// minBusierLoad is the load of the busier role below which no engine changes
	// its role.
	minBusierLoad = 0.7
	// candidatesPerPool is the number of members that may hold the lease of a
	// pool.
	candidatesPerPool = 2
	// maxConcurrentCalls bounds the engines of a pool that are called at a time.
	maxConcurrentCalls = 16
	// storeTimeout bounds one call to the store.
	storeTimeout = 2 * time.Second
	// maxResponseBytes is the number of bytes read from the response of an
	// engine; the rest is ignored.
	maxResponseBytes = 64 << 10
)

// RoleLoad holds the load of the engines of each role in a pool, as a fraction of
// their capacity.
type RoleLoad struct {
	Prefill float64
	Decode  float64
}

// Config holds what a Commander needs.
type Config struct {
	Instance egretflow.InstanceName
	Store    egretflow.Store
	Tables   egretflow.TablesSource
	// Members returns the reachable members. It may omit this instance.
	Members func() []egretflow.Member
	// Client calls the engines.
	Client *http.Client
	// RoleLoad returns the load of a pool, or false if it is not known.
	RoleLoad func(pool egretflow.PoolName) (RoleLoad, bool)
	// MaxConcurrentLoads is the number of engines of a pool that may load a model
	// at a time: the pool's share of the weight store's throughput divided by the
	// throughput of one load. 0 means DefaultMaxConcurrentLoads.
	MaxConcurrentLoads int
	Clock              egretflow.Clock
	Recorder           egretflow.Recorder
}

func (c *Config) check() error {
	err := egretflow.CheckRequired([]egretflow.RequiredField{
		{Name: "Instance", Missing: c.Instance == ""},
		{Name: "Store", Missing: c.Store == nil},
		{Name: "Tables", Missing: c.Tables == nil},
		{Name: "Members", Missing: c.Members == nil},
		{Name: "Client", Missing: c.Client == nil},
		{Name: "RoleLoad", Missing: c.RoleLoad == nil},
		{Name: "Clock", Missing: c.Clock == nil},
		{Name: "Recorder", Missing: c.Recorder == nil},
	})
	if err != nil {
		return err
	}
	if c.MaxConcurrentLoads == 0 {
		c.MaxConcurrentLoads = DefaultMaxConcurrentLoads
	}
	return nil
}
