package scheduler

import (
	"slices"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/admitter"
)

const (
	// rateWindow is the time over which service rates are measured (5.7).
	rateWindow  = time.Second
	rateBuckets = 10
	bucketTime  = rateWindow / rateBuckets
	// holdWeight is the weight of one request in the mean time that a slot is
	// held.
	holdWeight = 0.05
	// defaultHold stands in for requests that name no output length.
	defaultHold = 500 * time.Millisecond
	// fullSamples is the number of finished requests in the window from which
	// on the measured rate counts in full. With two slots and 3 s per request
	// most windows hold none at all.
	fullSamples = 8
	rateNoise   = 0.2
	// maxShortfall keeps admitting a little to a fleet that computed nothing,
	// or its recovery would not be seen.
	maxShortfall = 0.9
)

type bucket struct {
	number     int64
	prefills   float64
	tokens     float64
	ends       float64
	slots      float64
	turnedAway [4]int
	arrived    float64
}

// rates measures what a pool serves for this instance.
type rates struct {
	buckets [rateBuckets]bucket
	// hold is the mean time in seconds that a decode slot is held.
	hold     float64
	measured bool
	// places is the mean number of places of a request, finished counts them.
	places   float64
	finished int
	// saturatedSince is when requests began to wait; zero while none do.
	saturatedSince time.Time
}

func (r *rates) bucket(now time.Time) *bucket {
	number := now.UnixNano() / int64(bucketTime)
	b := &r.buckets[number%rateBuckets]
	if b.number != number {
		*b = bucket{number: number}
	}
	return b
}

// begin estimates the hold time before any was measured.
func (r *rates) begin(work *egretflow.Work, gap time.Duration) {
	if r.measured {
		return
	}
	hold := (time.Duration(work.MaxTokens) * gap).Seconds()
	if hold == 0 {
		hold = defaultHold.Seconds()
	}
	r.observeHold(hold)
}

func (r *rates) observeHold(hold float64) {
	if r.hold == 0 {
		r.hold = hold
	}
	r.hold += r.weight() * (hold - r.hold)
}

// weight is that of the newest finished request in a mean: equal weights at first,
// then holdWeight.
func (r *rates) weight() float64 { return max(holdWeight, 1/float64(max(1, r.finished))) }

// end counts the slots of an attempt that ended. One that produced nothing does
// not tell how long requests hold their slots.
func (r *rates) end(now time.Time, slots int, held time.Duration, produced bool) {
	b := r.bucket(now)
	b.ends++
	b.slots += float64(slots)
	if !produced {
		return
	}
	if !r.measured {
		r.measured, r.hold = true, 0
	}
	r.finished++
	r.observeHold(max(held, time.Millisecond).Seconds())
	r.places += r.weight() * (float64(slots) - r.places)
}

// prefilled counts computed prompt tokens.
func (r *rates) prefilled(now time.Time, tokens int) {
	b := r.bucket(now)
	b.prefills++
	b.tokens += float64(tokens)
}

// turnAway counts the slots of a request that was refused.
func (r *rates) turnAway(now time.Time, rank, slots int) { r.bucket(now).turnedAway[rank] += slots }

// arrive counts the slots of a new request.
func (r *rates) arrive(now time.Time, slots int) { r.bucket(now).arrived += float64(slots) }

// saturate notes whether requests wait.
func (r *rates) saturate(waiting bool, now time.Time) {
	switch {
	case !waiting:
		r.saturatedSince = time.Time{}
	case r.saturatedSince.IsZero():
		r.saturatedSince = now
	}
}

// sum returns what was served and refused in the window.
func (r *rates) sum(now time.Time) bucket { return r.sumSince(time.Time{}, now) }

// sumSince returns what was served and refused in the part of the window that
// begins with the bucket of since; the zero time stands for the whole window.
func (r *rates) sumSince(since, now time.Time) bucket {
	number := now.UnixNano() / int64(bucketTime)
	first := number - rateBuckets + 1
	if !since.IsZero() {
		first = max(first, since.UnixNano()/int64(bucketTime))
	}
	var sum bucket
	for n := range r.buckets {
		b := &r.buckets[n]
		if b.number < first || b.number > number {
			continue
		}
		sum.prefills += b.prefills
		sum.tokens += b.tokens
		sum.ends += b.ends
		sum.slots += b.slots
		sum.arrived += b.arrived
		for rank := range b.turnedAway {
			sum.turnedAway[rank] += b.turnedAway[rank]
		}
	}
	return sum
}

// measuredFor is the part of the window in which requests waited. Before it the
// servers had less to do than they can.
func (r *rates) measuredFor(now time.Time) time.Duration {
	first := now.Add(bucketTime - rateWindow).Truncate(bucketTime)
	if since := r.saturatedSince.Truncate(bucketTime); since.After(first) {
		first = since
	}
	return max(now.Sub(first), bucketTime)
}

// trust is the weight of the measured rates. They show the capacity only while
// requests wait, and only when enough of them finished in the window.
func (r *rates) trust(samples float64, now time.Time) float64 {
	if r.saturatedSince.IsZero() {
		return 0
	}
	return min(1, now.Sub(r.saturatedSince).Seconds()/rateWindow.Seconds()) * min(1, samples/fullSamples)
}

// capacity returns what p can serve, from sums that are refreshed now and then
// and from what was measured over the window (5.7).
func (t *task) capacity(p *pool) admitter.Capacity {
	if t.now.Sub(p.totalsAt) >= totalsInterval {
		p.totals, p.totalsAt = p.picker.Totals(t.now), t.now
	}
	if p.totals.Slots == 0 {
		// Without a grant the capacity is unknown; requests wait for one.
		return admitter.Capacity{FreeSlots: admitter.MaxItems}
	}
	served := p.rates.sumSince(p.rates.saturatedSince, t.now)
	used := p.picker.Used()
	c := admitter.Capacity{FreeSlots: max(0, p.totals.Slots-used)}
	if t.windowed(p) {
		c.FreeSlots = p.window.free(p.running, c.FreeSlots)
	}
	if p.rates.hold > 0 {
		c.SlotsPerSecond = float64(max(used, 1)) / p.rates.hold
		measured := served.slots / p.rates.measuredFor(t.now).Seconds()
		c.SlotsPerSecond += p.rates.trust(served.ends, t.now) * (measured - c.SlotsPerSecond)
		p.expectEnds(&c, t.now)
	}
	if p.picker.Kind() == egretflow.PoolKindModel {
		p.prefill.Reset()
		p.picker.Lanes(t.now, p.prefill.Add)
		p.prefill.Prepare(1 - p.rates.trust(served.prefills, t.now)*p.shortfall(served.tokens/p.rates.measuredFor(t.now).Seconds()))
		c.Prefill = &p.prefill
		c.Ahead = p.waitingAtPeers(t.now)
	}
	return c
}

// shortfall is the share of the expected prefill rate that was missing. A
// window holds few long prompts, so less than rateNoise is not counted.
func (p *pool) shortfall(measured float64) float64 {
	if p.totals.PrefillRate <= 0 {
		return 0
	}
	return min(maxShortfall, max(0, 1-measured/(p.totals.PrefillRate*(1-rateNoise))))
}

// noteStart notes a new call of a service pool.
func (p *pool) noteStart(now time.Time) {
	if p.picker.Kind() == egretflow.PoolKindService {
		p.starts = append(p.starts, now)
	}
}

// noteEnd forgets a call of a service pool that started at the given time.
func (p *pool) noteEnd(startedAt time.Time) {
	if n := slices.IndexFunc(p.starts, startedAt.Equal); n >= 0 {
		p.starts = slices.Delete(p.starts, n, n+1)
	}
}

// expectEnds tells c when the running calls of a service pool are expected to
// end. Calls take about the same time there; the streams of a model do not.
func (p *pool) expectEnds(c *admitter.Capacity, now time.Time) {
	if len(p.starts) == 0 || c.SlotsPerSecond <= 0 {
		return
	}
	c.Hold = float64(len(p.starts)) / c.SlotsPerSecond
	p.ends = p.ends[:0]
	for _, at := range p.starts {
		p.ends = append(p.ends, max(0, c.Hold-now.Sub(at).Seconds()))
	}
	c.Ends = p.ends
}
