package accountant

import (
	"time"

	"github.com/egretflow/egretflow"
)

const (
	// unknownFleet is the size of the fleet that an instance assumes that has heard of no
	// other one since its start.
	unknownFleet = 128
	// youngFleet is the smallest size that is assumed for settleTime after the start,
	// while not all instances have heard of each other.
	youngFleet = 16
	settleTime = 3 * time.Second
	// sustainedTime is how long a size must last to be remembered. An instance that turns
	// to another relay is counted twice for a few seconds.
	sustainedTime = 6 * time.Second
	// sizeMemory is half of the time for which a larger size is remembered. Instances that
	// were cut off still use their share of the quota.
	sizeMemory = 5 * time.Minute
)

// sizeRecord holds the largest size of the last one to two periods of sizeMemory.
type sizeRecord struct {
	// present and previous are the largest sizes in the present period, which began at
	// periodAt, and in the one before.
	present, previous int
	periodAt          time.Time
}

// add records a size, and begins a new period if the present one is over.
func (r *sizeRecord) add(n int, now time.Time) {
	if elapsed := now.Sub(r.periodAt); elapsed > sizeMemory {
		r.previous, r.present, r.periodAt = r.present, 0, now
		if elapsed > 2*sizeMemory {
			r.previous = 0
		}
	}
	r.present = max(r.present, n)
}

func (r *sizeRecord) largest() int { return max(r.present, r.previous) }

const (
	// youngTime is the time after its start in which an instance accepts a size larger than
	// it has observed from one other instance alone: it does not know all sizes of the last
	// 2 * sizeMemory yet.
	youngTime = 2 * sizeMemory
	// statedFactor bounds such a size, relative to the largest one that was observed.
	statedFactor = 2
)

// statedSize is the size of the fleet that another instance has stated in a message.
type statedSize struct {
	from egretflow.InstanceName
	size int
	at   time.Time
}

// fleetSize estimates the number of instances, so that the shares of all owners sum to 1
// at most.
type fleetSize struct {
	startedAt time.Time
	// latest is the newest size that was observed, least the smallest one since leastAt.
	latest, least int
	leastAt       time.Time
	// observed holds the sizes that this instance has observed and that lasted, accepted
	// those that others have stated, within the bounds of observeStated.
	observed, accepted sizeRecord
	// unconfirmed is the largest size beyond these bounds that only one other instance has
	// stated.
	unconfirmed statedSize
	// contact reports whether the instance has heard of another one, or knows that it is
	// the only one.
	contact bool
}

func newFleetSize(now time.Time) fleetSize {
	return fleetSize{
		startedAt: now, leastAt: now, least: maxFleet,
		observed: sizeRecord{periodAt: now}, accepted: sizeRecord{periodAt: now},
	}
}

// observe notes the present size as this instance knows it.
func (f *fleetSize) observe(n int, now time.Time) {
	f.latest, f.least = n, min(f.least, n)
	if now.Sub(f.leastAt) >= sustainedTime {
		f.observed.add(f.least, now)
		f.least, f.leastAt = n, now
	}
}

// observeStated notes the size that another instance states. What one instance alone can
// state is bounded, because a wrong size cuts all quotas for as long as it is remembered.
// Beyond the bound, the lower size of two instances is accepted.
func (f *fleetSize) observeStated(from egretflow.InstanceName, n int, now time.Time) {
	most := max(f.latest, f.observed.largest())
	if now.Sub(f.startedAt) < youngTime {
		most = max(unknownFleet, statedFactor*most)
	}
	f.accepted.add(min(n, most), now)
	if n <= most {
		return
	}
	d := &f.unconfirmed
	if now.Sub(d.at) > sizeMemory {
		*d = statedSize{}
	}
	if d.from != from {
		f.accepted.add(min(n, d.size), now)
	}
	if d.from == from || n > d.size {
		*d = statedSize{from: from, size: n, at: now}
	}
}

// remembered returns the largest size that was observed or accepted.
func (f *fleetSize) remembered() int { return max(f.observed.largest(), f.accepted.largest(), 1) }

// sizeToState returns the size to state to others. It leaves out what others have stated,
// which would never be forgotten if instances repeated it to each other.
func (f *fleetSize) sizeToState() int { return min(max(f.observed.largest(), 1), maxFleet) }

// known returns the largest size that is known or believed.
func (f *fleetSize) known() int { return max(f.latest, f.remembered()) }

// size returns the size to count with.
func (f *fleetSize) size(now time.Time) int {
	switch {
	case !f.contact:
		return max(unknownFleet, f.known())
	case now.Sub(f.startedAt) < settleTime:
		return max(youngFleet, f.known())
	}
	return f.known()
}
