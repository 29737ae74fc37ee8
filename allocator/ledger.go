package allocator

import (
	"slices"
	"time"

	"github.com/egretflow/egretflow"
)

// loadLifetime is how long a load report is used after its measurement. Reports are up
// to 1 s old on arrival and the poller requests one at least every 2 s.
const loadLifetime = 3 * time.Second

// record is what the owner knows of one holder of one server, from the last request of
// the holder that named the server.
type record struct {
	incarnation uint64
	// expiresAt is when the record expires, in the owner's clock (rule 1).
	expiresAt time.Time
	leaving   bool
	inUse     int
	held      int
	wanted    [4]int
	// samples holds the InUse of recent requests, oldest first.
	samples []sample
	// committed is the number of slots that the holder may still use (rule 2).
	committed int
}

// sample is one reported InUse with the time of its receipt.
type sample struct {
	at    time.Time
	inUse int
}

// expiredGrant holds the slots of an expired record that are still withheld (rule 3).
type expiredGrant struct {
	holder      egretflow.InstanceName
	incarnation uint64
	slots       int
	expiredAt   time.Time
}

// ledger holds the records of all holders of one server.
type ledger struct {
	capacity Capacity
	shares   shares
	owned    bool
	// renewOnlyUntil is the time until which reported slots are renewed and no others
	// granted (rules 6 and 7). It is zero while this instance neither owns the server
	// nor receives demands for it.
	renewOnlyUntil time.Time
	// accounted reports whether a load report since the start of the ownership
	// showed no more running requests than the holders report.
	accounted bool
	records   map[egretflow.InstanceName]*record
	expired   []expiredGrant
	// load is the newest load report.
	load egretflow.LoadReport
}

func newLedger() *ledger {
	return &ledger{records: map[egretflow.InstanceName]*record{}}
}

// setOwned sets whether this instance owns the server, and starts an ownership if it did
// not before.
func (l *ledger) setOwned(owned bool, now time.Time) {
	if owned && !l.owned {
		l.startOwnership(now)
	}
	if !owned && l.owned {
		l.renewOnlyUntil = time.Time{}
	}
	l.owned = owned
}

// startOwnership starts the time in which reported slots are only renewed (rule 6).
func (l *ledger) startOwnership(now time.Time) {
	l.renewOnlyUntil = now.Add(TTL)
	l.accounted = false
}

// recordDemand replaces the record of a holder by one from its demand. If the holder has
// restarted, the slots of its earlier process are withheld.
func (l *ledger) recordDemand(r *egretflow.ExchangeRequest, d egretflow.Demand, now time.Time) {
	old := l.records[r.From]
	if old != nil && old.incarnation != r.Incarnation {
		l.withhold(r.From, old)
		old = nil
	}
	rec := &record{
		incarnation: r.Incarnation,
		expiresAt:   now.Add(TTL),
		leaving:     r.Leaving,
		inUse:       d.InUse,
		held:        d.Held,
		wanted:      d.Wanted,
		committed:   max(d.InUse, d.Held),
	}
	if old != nil {
		rec.samples = slices.DeleteFunc(old.samples, func(s sample) bool { return now.Sub(s.at) > 2*loadLifetime })
	}
	rec.samples = append(rec.samples, sample{now, d.InUse})
	l.records[r.From] = rec
	// A holder that reports again after its record expired counts these slots itself.
	// The difference stays withheld because the request may have been sent before the
	// expiry and delayed.
	for n := range l.expired {
		if e := &l.expired[n]; e.holder == r.From && e.incarnation == r.Incarnation {
			e.slots = max(0, e.slots-rec.committed)
		}
	}
}

// grant returns the slots to grant to a holder that has just reported. It returns false
// if this instance must not grant slots of the server.
func (l *ledger) grant(holder egretflow.InstanceName, holders []egretflow.InstanceName, now time.Time) (int, bool) {
	if !l.owned && l.renewOnlyUntil.IsZero() {
		l.renewOnlyUntil = now.Add(TTL)
	}
	rec := l.records[holder]
	limit := l.capacity.Slots
	var slots int
	switch {
	case now.Before(l.renewOnlyUntil):
		slots = rec.held
	case !l.owned:
		return 0, false
	default:
		withheld := l.withheld(holders, now)
		limit -= withheld
		slots = l.targets(holders, limit)[holder]
	}
	for name, other := range l.records {
		if name != holder {
			limit -= other.committed
		}
	}
	if l.load.Draining {
		// Only the owner reads the load report. Holders learn from an empty grant that
		// they must not start requests (9.2).
		slots = 0
	}
	slots = max(0, min(slots, limit))
	rec.committed = max(rec.held, rec.inUse, slots)
	return slots, true
}

// expire withholds the slots of records that have expired and frees those that have been
// withheld for one TTL since (rule 3).
func (l *ledger) expire(now time.Time) {
	for name, rec := range l.records {
		if !now.Before(rec.expiresAt) {
			l.withhold(name, rec)
			delete(l.records, name)
		}
	}
	l.expired = slices.DeleteFunc(l.expired, func(e expiredGrant) bool {
		return !now.Before(e.expiredAt.Add(TTL))
	})
	if !l.owned && len(l.records) == 0 {
		l.renewOnlyUntil = time.Time{}
	}
}

// withhold adds the committed slots of a record to the expired ones.
func (l *ledger) withhold(holder egretflow.InstanceName, rec *record) {
	if rec.committed > 0 {
		l.expired = append(l.expired, expiredGrant{holder, rec.incarnation, rec.committed, rec.expiresAt})
	}
}

// observeLoad stores a load report unless it is older than the last one. Of each expired
// grant it frees the slots beyond the number of running requests. That number includes
// requests of other holders, so more slots than necessary may stay withheld. Reports of a
// server that is shared with other slices free none.
func (l *ledger) observeLoad(report egretflow.LoadReport, now time.Time) {
	if report.MeasuredAt.Before(l.load.MeasuredAt) {
		return
	}
	l.load = report
	if l.capacity.Shared {
		return
	}
	if l.unreportedRunning(now) == 0 && report.MeasuredAt.After(l.renewOnlyUntil.Add(-TTL)) {
		l.accounted = true
	}
	for n := range l.expired {
		if e := &l.expired[n]; report.MeasuredAt.After(e.expiredAt) {
			e.slots = min(e.slots, report.Running)
		}
	}
	l.expired = slices.DeleteFunc(l.expired, func(e expiredGrant) bool { return e.slots == 0 })
}

// unreportedRunning returns an upper estimate of the running requests that no holder
// reports: it subtracts for each holder the fewest that it reported around the time of the
// measurement. It returns 0 for a shared server or if the load report is too old.
func (l *ledger) unreportedRunning(now time.Time) int {
	if l.capacity.Shared || l.load.MeasuredAt.Add(loadLifetime).Before(now) {
		return 0
	}
	running := l.load.Running
	for _, rec := range l.records {
		running -= rec.fewestInUse(l.load.MeasuredAt)
	}
	return max(0, running)
}

// fewestInUse returns the lowest InUse in the last report up to the given time and in all
// later ones.
func (r *record) fewestInUse(since time.Time) int {
	fewest := r.inUse
	for n := len(r.samples) - 1; n >= 0; n-- {
		fewest = min(fewest, r.samples[n].inUse)
		if !r.samples[n].at.After(since) {
			break
		}
	}
	return fewest
}

// hasSilentMember reports whether a listed member does not report to this owner.
func (l *ledger) hasSilentMember(holders []egretflow.InstanceName) bool {
	return slices.ContainsFunc(holders, func(h egretflow.InstanceName) bool { return l.records[h] == nil })
}

// withheld returns the number of slots that must not be granted to any holder (rules 3,
// 5 and 6).
func (l *ledger) withheld(holders []egretflow.InstanceName, now time.Time) int {
	total := 0
	byHolder := map[egretflow.InstanceName]int{}
	for _, e := range l.expired {
		total += e.slots
		byHolder[e.holder] += e.slots
	}
	for n, h := range holders {
		if l.records[h] == nil {
			total += max(0, l.shares.baseline(n)-byHolder[h])
		}
	}
	if !l.accounted || l.hasSilentMember(holders) {
		total = max(total, l.unreportedRunning(now))
	}
	return total
}
