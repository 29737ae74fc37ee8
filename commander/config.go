package commander

import (
	"net/http"
	"time"

	"github.com/egretflow/egretflow"
)

const (
	// LeaseTTL is the lifetime of a lease without renewal.
	LeaseTTL = 10 * time.Second
	// CommandTimeout bounds one command; an engine applies it within this time
	// or never, unless the sender was paused.
	CommandTimeout = time.Second
	// Interval is the time between two readings of the engines (8.3).
	Interval = time.Second
	// HoldTime is how long a ratio of loads has to last before a role changes.
	HoldTime = 30 * time.Second
	// ChangeInterval is the least time between two role changes of a pool.
	ChangeInterval = time.Minute
	// DrainTime is how long an engine may finish its requests before its role
	// changes.
	DrainTime = 30 * time.Second
	// DefaultMaxLoads is the default of Config.MaxLoads.
	DefaultMaxLoads = 1

	// leastDrain is how long a drain lasts at least. Instances can send new work
	// for 3 s after it (9.2), and a load report lags by 1 s.
	leastDrain = 4 * time.Second
	// undrainFor is how long after a role change a drain of the engine is
	// ended again. It covers the late command of a holder that was paused.
	undrainFor = 10 * time.Minute
	// busyRatio is the ratio of the loads of the two roles that calls for a
	// change, and busyLoad the least load of the busier role.
	busyRatio = 1.5
	busyLoad  = 0.7
	// candidates is the number of members that may hold the lease of a pool.
	candidates = 2
	// maxParallel bounds the engines that are called at a time.
	maxParallel = 16
	// storeTimeout bounds one call of the store.
	storeTimeout = 2 * time.Second
	// maxAnswerBytes bounds the answer of an engine.
	maxAnswerBytes = 64 << 10
)

// RoleLoad is how busy the engines of each role are, as a part of their
// capacity.
type RoleLoad struct {
	Prefill float64
	Decode  float64
}

// Config holds what a Commander needs.
type Config struct {
	Instance egretflow.InstanceName
	Store    egretflow.Store
	Tables   egretflow.TablesHolder
	// Members lists the reachable members, with or without this instance.
	Members func() []egretflow.Member
	// Client calls the engines.
	Client *http.Client
	// RoleLoad returns the loads of a pool, or false if they are not known.
	RoleLoad func(pool egretflow.PoolName) (RoleLoad, bool)
	// MaxLoads bounds the models of a pool that load at a time: the pool's part
	// of the weight store's rate divided by the rate of one load. 0 means
	// DefaultMaxLoads.
	MaxLoads int
	Clock    egretflow.Clock
	Recorder egretflow.Recorder
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
	if c.MaxLoads == 0 {
		c.MaxLoads = DefaultMaxLoads
	}
	return nil
}
