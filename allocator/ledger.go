package allocator

import (
	"slices"
	"time"

	"github.com/egretflow/egretflow"
)

// loadLifetime is how long a load report is used. Reports lag by up to 1 s and
// the poller asks at least every 2 s.
const loadLifetime = 3 * time.Second

// record is what the owner knows of one holder of one server.
type record struct {
	incarnation uint64
	// expiresAt is in the owner's clock.
	expiresAt time.Time
	leaving   bool
	inUse     int
	held      int
	wanted    [4]int
	// samples holds the recent reports of InUse, oldest first.
	samples []sample
	// committed is the number of slots that the holder may believe it has.
	committed int
}

// sample is one report of InUse.
type sample struct {
	at    time.Time
	inUse int
}

// expiredGrant withholds the slots of an expired record.
type expiredGrant struct {
	holder      egretflow.InstanceName
	incarnation uint64
	slots       int
	expiredAt   time.Time
}

// ledger holds the records of one server.
type ledger struct {
	capacity Capacity
	shares   shares
	owned    bool
	// waitsUntil ends the time in which only reported slots are renewed. It is
	// zero when the instance neither owns the server nor is asked for it.
	waitsUntil time.Time
	// accounted says that a load report since the start of the ownership showed
	// no more running requests than the holders report.
	accounted bool
	records   map[egretflow.InstanceName]*record
	expired   []expiredGrant
	load      egretflow.LoadReport
}

func newLedger() *ledger {
	return &ledger{records: map[egretflow.InstanceName]*record{}}
}

func (l *ledger) setOwned(owned bool, now time.Time) {
	if owned && !l.owned {
		l.restart(now)
	}
	if !owned && l.owned {
		l.waitsUntil = time.Time{}
	}
	l.owned = owned
}

// restart begins a new ownership.
func (l *ledger) restart(now time.Time) {
	l.waitsUntil = now.Add(TTL)
	l.accounted = false
}

// report enters a holder's demand.
func (l *ledger) report(r *egretflow.ExchangeRequest, d egretflow.Demand, now time.Time) {
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
	// A holder that is back counts these slots itself. The difference stays
	// withheld because the report may have been delayed since before the expiry.
	for n := range l.expired {
		if e := &l.expired[n]; e.holder == r.From && e.incarnation == r.Incarnation {
			e.slots = max(0, e.slots-rec.committed)
		}
	}
}

// grant returns the slots of a holder that has just reported, and false if the
// instance must not grant.
func (l *ledger) grant(holder egretflow.InstanceName, holders []egretflow.InstanceName, now time.Time) (int, bool) {
	if !l.owned && l.waitsUntil.IsZero() {
		l.waitsUntil = now.Add(TTL)
	}
	rec := l.records[holder]
	limit := l.capacity.Slots
	var slots int
	switch {
	case now.Before(l.waitsUntil):
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
		// Only the owner reads the load report, so the grants tell the holders
		// that nothing new may start (9.2).
		slots = 0
	}
	slots = max(0, min(slots, limit))
	rec.committed = max(rec.held, rec.inUse, slots)
	return slots, true
}

// expire moves the slots of expired records to the withheld ones and frees
// those that have been withheld for a second TTL.
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
		l.waitsUntil = time.Time{}
	}
}

func (l *ledger) withhold(holder egretflow.InstanceName, rec *record) {
	if rec.committed > 0 {
		l.expired = append(l.expired, expiredGrant{holder, rec.incarnation, rec.committed, rec.expiresAt})
	}
}

// observeLoad frees expired slots that the report shows free. It may count
// requests of other holders too, so more than these may stay withheld.
func (l *ledger) observeLoad(report egretflow.LoadReport, now time.Time) {
	if report.MeasuredAt.Before(l.load.MeasuredAt) {
		return
	}
	l.load = report
	if l.capacity.Shared {
		return
	}
	if l.unknownRunning(now) == 0 && report.MeasuredAt.After(l.waitsUntil.Add(-TTL)) {
		l.accounted = true
	}
	for n := range l.expired {
		if e := &l.expired[n]; report.MeasuredAt.After(e.expiredAt) {
			e.slots = min(e.slots, report.Running)
		}
	}
	l.expired = slices.DeleteFunc(l.expired, func(e expiredGrant) bool { return e.slots == 0 })
}

// unknownRunning estimates the running requests that no holder reports. It
// counts for each holder the fewest that it reported around the measurement.
func (l *ledger) unknownRunning(now time.Time) int {
	if l.capacity.Shared || l.load.MeasuredAt.Add(loadLifetime).Before(now) {
		return 0
	}
	running := l.load.Running
	for _, rec := range l.records {
		running -= rec.fewestInUse(l.load.MeasuredAt)
	}
	return max(0, running)
}

// fewestInUse returns the lowest InUse of the last report before a time and of
// all later ones.
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

// absent reports whether a listed member does not report to this owner.
func (l *ledger) absent(holders []egretflow.InstanceName) bool {
	return slices.ContainsFunc(holders, func(h egretflow.InstanceName) bool { return l.records[h] == nil })
}

// withheld returns the slots that must not be granted to anyone.
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
	if !l.accounted || l.absent(holders) {
		total = max(total, l.unknownRunning(now))
	}
	return total
}
