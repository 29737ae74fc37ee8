package recorder

import (
	"context"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/egretflow/egretflow"
)

// State is a snapshot of an instance, taken for each scrape.
type State struct {
	Pools []egretflow.PoolStatus
	// Revision is the revision of the tables in force.
	Revision egretflow.Revision
	// ConfirmedAt is the time at which the tables were last known to be current;
	// zero if they never were.
	ConfirmedAt time.Time
	// Configuration is what the instance knows of the configuration on a platform; zero
	// without one.
	Configuration egretflow.ConfigurationState
	// Quotas are the quotas that the instance counts for the fleet.
	Quotas []egretflow.QuotaStatus
	// DroppedLines counts the log lines that were dropped, by level.
	DroppedLines map[string]uint64
}

// observables holds the instruments whose values are observed for each scrape.
type observables struct {
	servers, speeds, places, queued, retriesLeft metric.Float64ObservableGauge
	tablesRevision, tablesAge                    metric.Float64ObservableGauge
	configVersion, configKnownVersion, configAge metric.Float64ObservableGauge
	quotaLeft, quotaShare, quotaReached          metric.Float64ObservableGauge
	droppedLines                                 metric.Float64ObservableCounter
}

// ObserveState adds the metrics of a State to each scrape. Every scrape calls state
// and clock. ObserveState must be called at most once.
func (m *Metrics) ObserveState(clock egretflow.Clock, state func() State) error {
	var o observables
	var err error
	var all []metric.Observable
	for _, g := range []struct {
		dst              *metric.Float64ObservableGauge
		name, help, unit string
	}{
		{&o.servers, "egretflow_servers", "Backend servers by pool, role and state.", ""},
		{&o.speeds, "egretflow_server_speeds", "Backend servers by pool, role and lasting speed against the typical server.", ""},
		{&o.places, "egretflow_places", "Slots, or blocks of engine memory: usable, used by own requests and used by other instances.", ""},
		{&o.queued, "egretflow_queued_requests", "Requests that wait, in time for their target or late.", ""},
		{&o.retriesLeft, "egretflow_retries_left", "Extra attempts that this instance may make now.", ""},
		{&o.tablesRevision, "egretflow_tables_revision", "Revision of the tables in force.", ""},
		{&o.tablesAge, "egretflow_tables_age", "Time since the tables, with the backend servers, were last known to be current.", "s"},
		{&o.configVersion, "egretflow_configuration_version", "Version of the configuration in force.", ""},
		{&o.configKnownVersion, "egretflow_configuration_known_version", "Newest version of the configuration that the instance knows of.", ""},
		{&o.configAge, "egretflow_configuration_age", "Time since the configuration in force was last known to be the newest one.", "s"},
		{&o.quotaLeft, "egretflow_quota_left", "What is left of the quota of an organisation, at the instance that counts it.", ""},
		{&o.quotaShare, "egretflow_quota_share", "Share of the fleet for which the instance counts the quota.", ""},
		{&o.quotaReached, "egretflow_quota_reached", "1 if requests beyond the quota were refused lately.", ""},
	} {
		if *g.dst, err = m.meter.Float64ObservableGauge(g.name, metric.WithDescription(g.help), metric.WithUnit(g.unit)); err != nil {
			return fmt.Errorf("create gauge %s: %w", g.name, err)
		}
		all = append(all, *g.dst)
	}
	o.droppedLines, err = m.meter.Float64ObservableCounter("egretflow_log_lines_dropped", metric.WithDescription("Log lines that were not written, by level."))
	if err != nil {
		return fmt.Errorf("create counter of dropped lines: %w", err)
	}
	read := func(_ context.Context, to metric.Observer) error {
		s := state()
		o.observe(to, s, clock())
		m.observeQuotas(to, &o, s.Quotas)
		return nil
	}
	if _, err := m.meter.RegisterCallback(read, append(all, o.droppedLines)...); err != nil {
		return fmt.Errorf("register state: %w", err)
	}
	return nil
}

func (o *observables) observe(to metric.Observer, s State, now time.Time) {
	to.ObserveFloat64(o.tablesRevision, float64(s.Revision))
	if !s.ConfirmedAt.IsZero() {
		to.ObserveFloat64(o.tablesAge, now.Sub(s.ConfirmedAt).Seconds())
	}
	if c := &s.Configuration; c.Version > 0 {
		to.ObserveFloat64(o.configVersion, float64(c.Version))
		to.ObserveFloat64(o.configKnownVersion, float64(c.KnownVersion))
		if !c.ConfirmedAt.IsZero() {
			to.ObserveFloat64(o.configAge, now.Sub(c.ConfirmedAt).Seconds())
		}
	}
	for level, n := range s.DroppedLines {
		to.ObserveFloat64(o.droppedLines, float64(n), metric.WithAttributes(attribute.String("level", level)))
	}
	for n := range s.Pools {
		o.observePool(to, &s.Pools[n])
	}
}

func (o *observables) observePool(to metric.Observer, p *egretflow.PoolStatus) {
	gauge := func(g metric.Float64ObservableGauge, value float64, labels ...attribute.KeyValue) {
		to.ObserveFloat64(g, value, metric.WithAttributes(append(labels, attribute.String("pool", string(p.Name)))...))
	}
	for group, count := range p.Servers {
		gauge(o.servers, float64(count), attribute.String("role", string(group.Role)), attribute.String("state", string(group.State)))
	}
	for group, count := range p.Speeds {
		gauge(o.speeds, float64(count), attribute.String("role", string(group.Role)), attribute.String("speed", string(group.Speed)))
	}
	gauge(o.places, float64(p.UsableCapacity), attribute.String("use", "Usable"))
	gauge(o.places, float64(p.UsedCapacity), attribute.String("use", "Own"))
	gauge(o.queued, float64(p.Queued), attribute.String("lane", "InTime"))
	gauge(o.queued, float64(p.QueuedLate), attribute.String("lane", "Late"))
	gauge(o.retriesLeft, p.RetriesLeft)
}
