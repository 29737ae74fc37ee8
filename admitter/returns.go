package admitter

import (
	"math/rand/v2"
	"time"

	"github.com/egretflow/egretflow"
)

const (
	// returnPeriod is the time that one entry of Returns covers.
	returnPeriod = 250 * time.Millisecond
	// returnPeriods is the number of periods that Returns covers, 32 s.
	returnPeriods = 128
	// returnHolds is the least time that a caller who returns must have left, as a
	// multiple of the mean time that a request runs: the response and a short wait.
	returnHolds = 1.5
	// lastReturnShare is the share of its remaining time after which a caller that
	// returns has too little left, as long as the time that a request runs is unknown.
	lastReturnShare = 0.6
	// minRoomShare is the least share of the slots that become free that is given to
	// callers who return. A load peak leaves none free, but it ends.
	minRoomShare = 0.25
	// returnClasses counts the classes of importance, each divided into callers that
	// came back before and others.
	returnClasses = 8
)

// Returns spreads the times at which refused callers come back, so that they do not
// make a second load peak. It is not safe for concurrent use.
type Returns struct {
	// booked is a ring of the slots that are expected to be needed in each period, by
	// returnClass. Period n is at n % returnPeriods; the ring begins with period current.
	booked  [returnPeriods][returnClasses]float64
	current int64
}

// Rates says how a pool serves requests.
type Rates struct {
	// Freed and Taken say how fast decode slots become free, and how fast new requests
	// take them, in slots/s.
	Freed, Taken float64
	// Hold is the mean time that a request runs; 0 until it is known.
	Hold time.Duration
}

// room returns the slots that callers who return may take in one period.
func (r Rates) room() float64 {
	return max(minRoomShare*r.Freed, r.Freed-r.Taken) * returnPeriod.Seconds()
}

// lastReturn returns the latest time, not before first, at which the caller of w can
// return and still be served.
func (r Rates) lastReturn(w *egretflow.Work, first, now time.Time) time.Time {
	last := now.Add(scale(w.Deadline.Sub(now), lastReturnShare))
	if r.Hold > 0 {
		last = w.Deadline.Add(-scale(r.Hold, returnHolds))
	}
	if last.Before(first) {
		return first
	}
	return last
}

// returnClass returns the class of w, the first served first.
func returnClass(w *egretflow.Work) int {
	class := 2 * w.Importance.Rank()
	if !w.AfterRefusal {
		class++
	}
	return class
}

// Book returns when the caller of w should come back, which has a deadline and needs
// the given slots: in the first period with room after earliest and minRetryShare of
// its remaining time. Bookings of later classes do not count.
func (r *Returns) Book(w *egretflow.Work, slots int, rates Rates, earliest, now time.Time, random *rand.Rand) time.Time {
	r.advance(periodOf(now))
	left := w.Deadline.Sub(now)
	first := now.Add(scale(left, minRetryShare))
	last := rates.lastReturn(w, first, now)
	if earliest.After(first) {
		first = earliest
	}
	if first.After(last) {
		first = last
	}
	n := r.choose(returnClass(w), float64(slots), rates.room(), periodOf(first)+1, periodOf(last)+1)
	r.booked[n%returnPeriods][returnClass(w)] += float64(slots)
	return time.Unix(0, n*int64(returnPeriod)+random.Int64N(int64(returnPeriod)))
}

// choose returns the first period from first to last in which slots more fit into
// room, or the one with the fewest bookings.
func (r *Returns) choose(class int, slots, room float64, first, last int64) int64 {
	last = min(last, r.current+returnPeriods-1)
	first = min(first, last)
	best, least := first, -1.0
	for n := first; n <= last; n++ {
		booked := 0.0
		for _, b := range r.booked[n%returnPeriods][:class+1] {
			booked += b
		}
		if booked+slots <= room {
			return n
		}
		if least < 0 || booked < least {
			best, least = n, booked
		}
	}
	return best
}

// advance clears the periods before current.
func (r *Returns) advance(current int64) {
	for n := max(r.current, current-returnPeriods); n < current; n++ {
		r.booked[n%returnPeriods] = [returnClasses]float64{}
	}
	r.current = max(r.current, current)
}

func periodOf(t time.Time) int64 { return t.UnixNano() / int64(returnPeriod) }

func scale(d time.Duration, by float64) time.Duration { return time.Duration(by * float64(d)) }
