package registrar

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/configwatcher"
	"github.com/egretflow/egretflow/erafollower"
)

const (
	// ReadInterval is the time between two reads of the server list. It leaves
	// room for one slow read within the 2 s in which a leaving server must be
	// known.
	ReadInterval = 700 * time.Millisecond
	// ReregistrationGrace is how long a server that is missing after an outage of
	// the platform is kept, so that it can register again.
	ReregistrationGrace = 2200 * time.Millisecond
)

// Config holds the settings and dependencies of a Registrar.
type Config struct {
	Instance  egretflow.InstanceName
	Directory egretflow.Directory
	// Eras knows the latest era of the platform's store. Nil means that this instance
	// learns it from the lists alone.
	Eras     egretflow.EraFollower
	Clock    egretflow.Clock
	Recorder egretflow.Recorder
	// Rank returns the position of this instance in the order in which instances
	// read the directory for the fleet; the one with rank 0 reads. Nil means that
	// this instance always reads itself.
	Rank func() int
	// Watches reports whether this instance watches the configuration for the fleet.
	// Nil means that the one with rank 0 does.
	Watches func() bool
	// Relayed, if set, reports whether Directory reads through another instance.
	Relayed func() bool
	// OnRead, if set, is called after each successful read, so that the peers
	// can be sent the result.
	OnRead func()
}

// Registrar keeps the tables of one instance up to date. It implements
// egretflow.TablesSource.
type Registrar struct {
	cfg Config

	configuration *configwatcher.Watcher
	wakeServers   chan struct{}

	mu          sync.Mutex
	state       state
	schedule    readSchedule
	tables      *egretflow.Tables
	subscribers []func(t *egretflow.Tables)
}

var _ egretflow.TablesSource = (*Registrar)(nil)

// New returns a Registrar that has no tables until Run has read the directory.
func New(cfg Config) *Registrar {
	cfg = cfg.withDefaults()
	r := &Registrar{cfg: cfg, state: state{statedLeaving: statements{}, departures: map[egretflow.ServerName]departure{}, pausedUntil: map[egretflow.ServerName]time.Time{}}, wakeServers: make(chan struct{}, 1)}
	r.configuration = configwatcher.New(configwatcher.Config{
		Instance: cfg.Instance, Source: cfg.Directory, Clock: cfg.Clock, Recorder: cfg.Recorder,
		Apply: r.applyConfiguration, OnRead: cfg.OnRead, Rank: cfg.Rank, Watches: cfg.Watches, Relayed: cfg.Relayed,
	})
	return r
}

// withDefaults returns the settings of an instance without peers in place of those that
// are missing.
func (c Config) withDefaults() Config {
	if c.Eras == nil {
		c.Eras = erafollower.New(erafollower.Config{Instance: c.Instance, Clock: c.Clock, Recorder: c.Recorder})
	}
	if c.Rank == nil {
		c.Rank = func() int { return 0 }
	}
	if c.Watches == nil {
		rank := c.Rank
		c.Watches = func() bool { return rank() == 0 }
	}
	if c.Relayed == nil {
		c.Relayed = func() bool { return false }
	}
	return c
}

// Current implements egretflow.TablesSource.
func (r *Registrar) Current() egretflow.ActiveTables {
	r.mu.Lock()
	defer r.mu.Unlock()
	return egretflow.ActiveTables{Tables: r.tables, Confirmed: r.state.reachable, ConfirmedAt: r.schedule.confirmedAt}
}

// Tables returns the tables in force, or nil before the first configuration was
// read.
func (r *Registrar) Tables() *egretflow.Tables { return r.Current().Tables }

// Subscribe implements egretflow.TablesSource.
func (r *Registrar) Subscribe(f func(t *egretflow.Tables)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers = append(r.subscribers, f)
	if r.tables != nil {
		f(r.tables)
	}
}

// Configuration returns the state of the configuration by which this instance decides.
func (r *Registrar) Configuration() egretflow.ConfigurationState { return r.configuration.State() }

// Run reads the configuration and the servers of the directory until ctx ends. It
// always returns nil.
func (r *Registrar) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { r.configuration.Run(ctx) })
	r.syncServers(ctx)
	wg.Wait()
	return nil
}

// syncServers reads the server list whenever a read is due, until ctx ends.
func (r *Registrar) syncServers(ctx context.Context) {
	for ctx.Err() == nil {
		startedAt := r.cfg.Clock()
		list, err := r.cfg.Directory.Servers(ctx)
		if err != nil {
			r.handleServersError(ctx, startedAt, err)
		} else {
			r.applyServers(list, startedAt)
			r.onRead()
		}
		r.awaitServers(ctx)
	}
}

// onRead calls Config.OnRead after a successful read.
func (r *Registrar) onRead() {
	if r.cfg.OnRead != nil {
		r.cfg.OnRead()
	}
}

// applyConfiguration puts a configuration in force.
func (r *Registrar) applyConfiguration(c *egretflow.Configuration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.configuration = c
	r.publish()
}

func (r *Registrar) applyServers(list egretflow.ServerList, readAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock()
	if !r.cfg.Eras.Learn(list.Version.Era, "") || r.state.version.After(list.Version) {
		r.schedule.attemptedAt, r.schedule.failures = readAt, 0
		r.record(egretflow.EventOldReading, "Version", list.Version.String(), "Known", r.state.version.String(), "Era", strconv.FormatUint(uint64(r.cfg.Eras.Latest().Era), 10))
		return
	}
	if !r.state.reachable {
		r.record(egretflow.EventStoreAvailable, "Servers", strconv.Itoa(len(list.Entries)))
	}
	r.schedule.attemptedAt, r.schedule.failures = readAt, 0
	if list.ConfirmedAt.IsZero() {
		r.schedule.confirmedAt, r.schedule.succeededAt = readAt, readAt
	} else if list.ConfirmedAt.After(r.schedule.confirmedAt) {
		r.schedule.confirmedAt = list.ConfirmedAt
	}
	changes := r.state.replaceServers(list, now)
	r.publishChanges(changes)
}

// publishChanges records the changes of the server list and publishes the tables if
// there are any changes or no tables yet. The caller holds mu.
func (r *Registrar) publishChanges(changes []change) {
	for _, c := range changes {
		r.record(c.event, "Server", string(c.server), "Pool", string(c.pool))
	}
	if len(changes) > 0 || r.tables == nil {
		r.publish()
	}
}

// publish builds the tables and passes them to the subscribers. It does nothing
// before the first configuration. The caller holds mu.
func (r *Registrar) publish() {
	tables := r.state.buildTables()
	if tables == nil {
		return
	}
	r.tables = tables
	for _, f := range r.subscribers {
		f(tables)
	}
}

// handleServersError counts a failed read of the servers that was started at
// triedAt, and records an event if it is the first of an outage.
func (r *Registrar) handleServersError(ctx context.Context, triedAt time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.schedule.attemptedAt = triedAt
	r.schedule.failures++
	if ctx.Err() != nil || !r.state.markUnreachable() {
		return
	}
	r.record(egretflow.EventStoreUnavailable, "Reading", "Servers", "LastReadAt", r.schedule.confirmedAt.UTC().Format(time.RFC3339Nano), "Error", err.Error())
}

// record writes an event with fields given as pairs of a key and a value.
func (r *Registrar) record(name egretflow.EventName, pairs ...string) {
	r.cfg.Recorder.Record(egretflow.NewEvent(name, r.cfg.Clock(), r.cfg.Instance, pairs...))
}
