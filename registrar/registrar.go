package registrar

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/egretflow/egretflow"
)

const (
	// ReadInterval is the time between two readings of the backend servers. With
	// one slow reading it keeps the 2 s in which a leaving server must be known.
	ReadInterval = 700 * time.Millisecond
	// ReturnGrace is how long entries that expired in an outage of the platform
	// take to return.
	ReturnGrace = 2200 * time.Millisecond
	// retryInterval is the time after a failed reading.
	retryInterval = 250 * time.Millisecond
)

// Config holds what a Registrar needs.
type Config struct {
	Instance  egretflow.InstanceName
	Directory egretflow.Directory
	Clock     egretflow.Clock
	Recorder  egretflow.Recorder
	// Rank is the place of this instance among those that may read for all, 0
	// first; nil means that it reads by itself.
	Rank func() int
	// Told, if set, is called when there is something new to tell the peers.
	Told func()
}

// Registrar is an egretflow.TablesHolder.
type Registrar struct {
	cfg Config

	wakeServers       chan struct{}
	wakeConfiguration chan struct{}

	mu          sync.Mutex
	state       state
	reading     reading
	tables      *egretflow.Tables
	subscribers []func(t *egretflow.Tables)
}

var _ egretflow.TablesHolder = (*Registrar)(nil)

// New returns a Registrar without tables.
func New(cfg Config) *Registrar {
	return &Registrar{cfg: cfg, wakeServers: make(chan struct{}, 1), wakeConfiguration: make(chan struct{}, 1)}
}

// Current implements egretflow.TablesHolder.
func (r *Registrar) Current() egretflow.TablesInForce {
	r.mu.Lock()
	defer r.mu.Unlock()
	return egretflow.TablesInForce{Tables: r.tables, Confirmed: r.state.reachable, ConfirmedAt: r.reading.confirmedAt}
}

// Tables returns the tables in force, nil before the first ones.
func (r *Registrar) Tables() *egretflow.Tables { return r.Current().Tables }

// Subscribe implements egretflow.TablesHolder.
func (r *Registrar) Subscribe(f func(t *egretflow.Tables)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers = append(r.subscribers, f)
	if r.tables != nil {
		f(r.tables)
	}
}

// TakesWork reports whether a server may still get new work.
func (r *Registrar) TakesWork(name egretflow.ServerName) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, ok := r.state.servers[name]
	return ok && !entry.Leaving
}

// Run follows the directory until ctx ends.
func (r *Registrar) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { r.followConfiguration(ctx) })
	r.followServers(ctx)
	wg.Wait()
	return nil
}

// followConfiguration reads each configuration and waits for the next.
func (r *Registrar) followConfiguration(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; {
		c, err := r.cfg.Directory.Configuration(ctx)
		if err == nil {
			failures = 0
			r.takeConfiguration(c)
			r.tell()
			err = r.awaitConfiguration(ctx)
		}
		if err != nil {
			failures++
			r.configurationFailed(ctx, failures, err)
			pause(ctx, retryAfter(failures, r.rank()))
		}
	}
}

func (r *Registrar) followServers(ctx context.Context) {
	for ctx.Err() == nil {
		startedAt, follows := r.cfg.Clock(), r.followsPeer()
		list, err := r.cfg.Directory.Servers(ctx)
		if err != nil {
			r.serversFailed(ctx, startedAt, err)
		} else {
			r.takeServers(list, startedAt)
			r.tell()
			if !follows {
				r.readConfigurationToo()
			}
		}
		r.awaitServers(ctx)
	}
}

// followsPeer reports whether the next reading only follows what a peer has read,
// which confirms the configuration as well.
func (r *Registrar) followsPeer() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mismatch()
}

// readConfigurationToo makes an instance that reads the servers in place of the
// first one read the configuration as well: nobody else confirms it then.
func (r *Registrar) readConfigurationToo() {
	if r.rank() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reading.configurationDue = true
	notify(r.wakeConfiguration)
}

func (r *Registrar) tell() {
	if r.cfg.Told != nil {
		r.cfg.Told()
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (r *Registrar) takeConfiguration(c *egretflow.Configuration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.state.configure(c) {
		return
	}
	r.record(egretflow.EventRevisionInForce, "Version", strconv.FormatUint(c.Version, 10), "Routes", strconv.Itoa(len(c.Routes)))
	r.publish()
}

func (r *Registrar) takeServers(list egretflow.ServerList, readAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock()
	if list.Revision < r.state.readRevision {
		r.reading.readAt, r.reading.failures = readAt, 0
		r.record(egretflow.EventOldReading, "Revision", strconv.FormatInt(list.Revision, 10), "Known", strconv.FormatInt(r.state.readRevision, 10))
		return
	}
	if !r.state.reachable {
		r.record(egretflow.EventStoreAvailable, "Servers", strconv.Itoa(len(list.Entries)))
	}
	r.reading.readAt, r.reading.confirmedAt, r.reading.tellAt, r.reading.failures = readAt, readAt, readAt, 0
	changes := r.state.replace(list, now)
	r.took(changes)
}

// took records the changes of the servers and publishes the tables. The caller
// holds mu.
func (r *Registrar) took(changes []change) {
	for _, c := range changes {
		r.record(c.event, "Server", string(c.server), "Pool", string(c.pool))
	}
	if len(changes) > 0 || r.tables == nil {
		r.publish()
	}
}

// publish builds the tables and hands them to the subscribers. The caller holds
// mu.
func (r *Registrar) publish() {
	tables := r.state.tables()
	if tables == nil {
		return
	}
	r.tables = tables
	for _, f := range r.subscribers {
		f(tables)
	}
}

// serversFailed notes that the servers cannot be read, and records the start of
// an outage.
func (r *Registrar) serversFailed(ctx context.Context, triedAt time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reading.readAt = triedAt
	r.reading.failures++
	if ctx.Err() != nil || !r.state.lose() {
		return
	}
	r.record(egretflow.EventStoreUnavailable, "Reading", "Servers", "LastReadAt", r.reading.confirmedAt.UTC().Format(time.RFC3339Nano), "Error", err.Error())
}

// configurationFailed records the first failed reading in a row. A watch that broke alone does
// not tell an outage.
func (r *Registrar) configurationFailed(ctx context.Context, failures int, err error) {
	if failures > 1 || ctx.Err() != nil || errors.Is(err, egretflow.ErrNotFound) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record(egretflow.EventConfigurationUnread, "Error", err.Error())
}

// record writes an event with pairs of keys and values.
func (r *Registrar) record(name egretflow.EventName, pairs ...string) {
	r.cfg.Recorder.Record(egretflow.NewEvent(name, r.cfg.Clock(), r.cfg.Instance, pairs...))
}
