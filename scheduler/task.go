package scheduler

import (
	"context"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/admitter"
	"github.com/egretflow/egretflow/crashdetector"
	"github.com/egretflow/egretflow/estimator"
	"github.com/egretflow/egretflow/limiter"
	"github.com/egretflow/egretflow/picker"
)

const (
	// TickInterval is the interval between two runs of the periodic work, which
	// includes checks of the waiting requests and the running prefills.
	TickInterval = 20 * time.Millisecond
	// idleTickInterval is the interval between two ticks while nothing waits. The
	// shared budgets follow the number of instances that often.
	idleTickInterval = time.Second
	// totalsInterval is how long the sums of a pool's capacity are reused.
	totalsInterval = 100 * time.Millisecond
)

// pool is the state of one pool.
type pool struct {
	picker *picker.Pool
	// queue holds the requests that are expected to meet their first-token
	// target.
	queue *admitter.Queue
	// lateQueue holds the requests that miss their first-token target but whose
	// callers still wait for an answer.
	lateQueue *admitter.Queue
	// shares holds what organisations use of the pool, and orders both queues by it.
	shares *admitter.Shares
	// returns holds when refused callers were told to come back.
	returns admitter.Returns
	// replacing holds attempts that wait for another prefill server, oldest
	// first.
	replacing []*waiter
	// fifo holds all waiting requests under a baseline policy, oldest first.
	fifo []*waiter
	// crashSuspects holds the waiting crash suspects, oldest first.
	crashSuspects []*waiter
	// running counts the attempts that have started and are not released yet.
	running int
	// window limits the concurrent calls of a service pool that instances share.
	window callWindow
	// callStarts holds when the running calls of a service pool started, in order.
	callStarts []time.Time
	// expectedEnds is the buffer for admitter.Capacity.SlotEnds.
	expectedEnds []float64
	rates        rates
	// totals is the sum of the usable capacity, taken at totalsAt. The zero time
	// makes the next use take it again.
	totals   picker.Totals
	totalsAt time.Time
	// prefill is the buffer for admitter.Capacity.Prefill.
	prefill admitter.Prefill
	// retries is this instance's part of the retry budget that all instances share
	// for the pool. It is nil without Config.SharedRetryBudget.
	retries *limiter.SharedBudget
	// peerQueues holds the queued prefill work that each peer has reported.
	peerQueues map[egretflow.InstanceName]peerQueue
	// blocked is the first waiting request for which the last dispatch found no
	// servers; nil if there was none.
	blocked *waiter
	// lastRank is the rank of importance of the newest request.
	lastRank int
}

// route is the state of one route.
type route struct {
	retries *limiter.Budget
	hedges  *limiter.Budget
	// maxStreams is the number of open streams that one caller may have.
	maxStreams int
}

// task holds the state of a Scheduler. Only the goroutine of Run touches it.
type task struct {
	cfg Config
	// now is the time of the message or tick that is being processed.
	now       time.Time
	startedAt time.Time
	pools     map[egretflow.PoolName]*pool
	// orderedPools lists the pools in the order of the tables.
	orderedPools []*pool
	poolOf       map[egretflow.ServerName]*pool
	routes       map[egretflow.RouteName]*route
	// attempts holds the attempts that are not released yet.
	attempts map[egretflow.AttemptID]*attempt
	// prefills lists the attempts with a running prefill in the order of their
	// start. Those whose prefill has ended are removed at the next tick.
	prefills []*attempt
	streams  *limiter.StreamCounts
	crashes  *crashdetector.Detector
	// reporters tells instances that are slow themselves from slow servers.
	reporters estimator.Reporters
	// isolated holds the isolationKeys of the running crash suspects.
	isolated map[uint64]bool
	// crashSites holds the crashes of the last crashSitePeriod.
	crashSites map[egretflow.ServerName]crashSite
	// unavailable holds the servers of the last SetUnavailable.
	unavailable map[egretflow.ServerName]bool
	// roleChanges holds the servers that are changing their role.
	roleChanges map[egretflow.ServerName]roleChange
	// lost holds the servers that take no work because they cannot be reached.
	lost map[egretflow.ServerName]lostServer
	// budgetsUpdatedAt is when the shared budgets last followed the number of
	// instances.
	budgetsUpdatedAt time.Time
	// rotation counts the calls of demands. It decides which servers get the
	// remainder when demand is divided.
	rotation int
}

func newTask(cfg Config) *task {
	return &task{
		cfg:         cfg,
		now:         cfg.Clock(),
		startedAt:   cfg.Clock(),
		pools:       map[egretflow.PoolName]*pool{},
		poolOf:      map[egretflow.ServerName]*pool{},
		routes:      map[egretflow.RouteName]*route{},
		attempts:    map[egretflow.AttemptID]*attempt{},
		streams:     limiter.NewStreamCounts(),
		crashes:     crashdetector.New(),
		isolated:    map[uint64]bool{},
		crashSites:  map[egretflow.ServerName]crashSite{},
		unavailable: map[egretflow.ServerName]bool{},
		roleChanges: map[egretflow.ServerName]roleChange{},
		lost:        map[egretflow.ServerName]lostServer{},
	}
}

func (t *task) run(ctx context.Context, messages <-chan message) {
	timer := time.NewTimer(TickInterval)
	defer timer.Stop()
	idle := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			t.now = t.cfg.Clock()
			t.tick()
			idle = t.isIdle()
			timer.Reset(t.tickInterval(idle))
		case m := <-messages:
			t.now = t.cfg.Clock()
			t.handle(m)
			if idle && !t.isIdle() {
				idle = false
				timer.Reset(TickInterval)
			}
		}
	}
}

// tickInterval returns the time until the next tick. An idle scheduler ticks
// rarely, because each wake-up costs processor time on small instances.
func (t *task) tickInterval(idle bool) time.Duration {
	if idle {
		return idleTickInterval
	}
	return TickInterval
}

// isIdle reports whether the next tick has nothing to do that cannot wait: no
// request waits, no prefill runs, and no server is lost or changes its role.
func (t *task) isIdle() bool {
	if len(t.prefills) > 0 || len(t.lost) > 0 || len(t.roleChanges) > 0 {
		return false
	}
	for _, p := range t.orderedPools {
		if p.queue.Len()+p.lateQueue.Len()+len(p.replacing)+len(p.fifo)+len(p.crashSuspects) > 0 {
			return false
		}
	}
	return true
}

func (t *task) handle(m message) {
	switch m := m.(type) {
	case acquireMessage:
		t.acquire(m.waiter)
	case cancelMessage:
		t.cancel(m.waiter)
	case releaseMessage:
		t.release(m.release)
	case observeMessage:
		t.observe(&m.observation)
	case tablesMessage:
		t.applyTables(m.tables)
	case grantsMessage:
		t.applyGrants(m.grants)
	case unavailableMessage:
		t.setUnavailable(m.servers)
	case demandsMessage:
		m.reply <- t.demands(m.now)
	case prefillLoadMessage:
		m.reply <- t.prefillLoad(m.now)
	case peerLoadMessage:
		t.applyPrefillLoad(m.from, &m.load)
	case roleUtilizationMessage:
		m.reply <- t.roleUtilization(m.pool)
	case crashesMessage:
		m.reply <- t.crashes.Reports(m.now)
	case statusMessage:
		m.reply <- t.status()
	case poolRatesMessage:
		m.reply <- t.poolRates(m.pool)
	case roleChangeMessage:
		t.markRoleChanging(m.server, roleChange{until: m.until, ordered: true})
	case crashRecordMessage:
		m.reply <- t.crashes.Record(m.now)
	case restoreCrashesMessage:
		t.crashes.Restore(m.record, t.now)
	case mergeCrashesMessage:
		t.mergeCrashes(m.reports)
	case hintsMessage:
		m.reply <- t.serverHints(m.now)
	case applyHintsMessage:
		t.applyServerHints(&m.hints)
	case adoptMessage:
		m.reply <- t.adopt(&m.adoption)
	}
}

// tick does the work that no message triggers. It checks running prefills, ends
// role changes and losses of servers that are over, updates shared budgets,
// postpones or refuses requests that became late, and starts waiting requests,
// because grants and pauses of servers may have ended.
func (t *task) tick() {
	t.checkOverdue()
	t.expireRoleChanges()
	t.expireLosses()
	t.updateSharedBudgets()
	for _, p := range t.orderedPools {
		t.shed(p)
		t.dispatch(p)
	}
}

func (t *task) applyTables(tables *egretflow.Tables) {
	previous := t.pools
	t.pools = make(map[egretflow.PoolName]*pool, len(tables.Pools))
	t.orderedPools = t.orderedPools[:0]
	clear(t.poolOf)
	for n := range tables.Pools {
		table := &tables.Pools[n]
		p, ok := previous[table.Name]
		// A pool that changes its kind is a new one: its requests have servers of the
		// former kind, or wait for them.
		if ok && p.picker.Kind() == table.Kind {
			delete(previous, table.Name)
		} else {
			p = t.newPool(table)
		}
		for k := range table.Servers {
			t.endRoleChange(p, &table.Servers[k])
		}
		p.picker.Apply(table, t.now)
		p.shares.SetOrganisations(tables.Organisations)
		p.totalsAt = time.Time{}
		t.pools[table.Name] = p
		t.orderedPools = append(t.orderedPools, p)
		for k := range table.Servers {
			t.poolOf[table.Servers[k].Name] = p
		}
	}
	for _, p := range previous {
		t.refuseAll(p)
	}
	t.applyRoutes(tables.Routes)
	t.markUnavailable()
	for _, p := range t.orderedPools {
		t.dispatch(p)
	}
}

func (t *task) newPool(table *egretflow.Pool) *pool {
	shares := admitter.NewShares(func() time.Time { return t.now })
	return &pool{
		picker: picker.NewPool(t.cfg.Rand, t.sharing()), queue: admitter.NewSharedQueue(shares), lateQueue: admitter.NewSharedQueue(shares), shares: shares,
		peerQueues: map[egretflow.InstanceName]peerQueue{}, retries: t.newSharedBudget(table),
	}
}

func (t *task) applyRoutes(tables []egretflow.Route) {
	previous := t.routes
	t.routes = make(map[egretflow.RouteName]*route, len(tables))
	for n := range tables {
		table := &tables[n]
		r, ok := previous[table.Name]
		if !ok {
			r = &route{
				retries: limiter.NewBudget(limiter.BudgetConfig{FloorPerSecond: limiter.RetryFloorPerSecond}, t.now),
				hedges:  limiter.NewBudget(limiter.BudgetConfig{}, t.now),
			}
		}
		r.retries.SetPercent(orDefault(table.RetryPercent, limiter.DefaultRetryPercent))
		r.hedges.SetPercent(orDefault(table.HedgePercent, limiter.DefaultHedgePercent))
		r.maxStreams = orDefault(table.MaxStreams, t.cfg.maxStreams())
		t.routes[table.Name] = r
	}
}

func orDefault(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}

// sharing returns how servers are shared with other instances. The baseline
// policies ignore Config.Sharing.
func (t *task) sharing() picker.Sharing {
	if t.usesJointPolicy() {
		return t.cfg.Sharing
	}
	return picker.SharingNone
}

func (t *task) usesJointPolicy() bool {
	return t.cfg.Policy == "" || t.cfg.Policy == picker.PolicyJoint
}
