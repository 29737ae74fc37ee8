package scheduler

import (
	"slices"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/admitter"
)

const (
	// rateWindow is the time over which service rates are measured (5.7).
	rateWindow = time.Second
	// rateBuckets is the number of buckets that the window is divided into.
	rateBuckets = 10
	// bucketTime is the time that one bucket covers.
	bucketTime = rateWindow / rateBuckets
	// minSampleWeight is the least weight of the newest request in a running mean.
	minSampleWeight = 0.05
	// defaultHold is the expected time that a request without an output length
	// holds its slots.
	defaultHold = 500 * time.Millisecond
	// fullWeightSamples is the number of finished requests in the window at which
	// the measured rate has its full weight. With two slots and 3 s per request,
	// most windows hold no finished request at all.
	fullWeightSamples = 8
	// shortfallTolerance is the share of the expected prefill rate that may be
	// missing without counting as a shortfall.
	shortfallTolerance = 0.2
	// maxShortfall keeps a small expected rate for servers that computed nothing.
	// Without admitted requests their recovery would not be seen.
	maxShortfall = 0.9
)

// bucket counts what happened during one bucketTime, or in several of them.
type bucket struct {
	// number is the Unix time in units of bucketTime.
	number int64
	// prefills counts prefills, tokens the prompt tokens that they computed.
	prefills float64
	tokens   float64
	// ends counts attempts that ended, slots the decode slots that they freed.
	ends  float64
	slots float64
	// missed counts the decode slots of requests that could not meet their target
	// on arrival, by rank of importance.
	missed [4]int
	// arrived counts the decode slots of new requests, by rank of importance.
	arrived [4]float64
}

// rates measures what a pool serves for this instance.
type rates struct {
	// buckets is a ring over the window. A bucket whose number is out of the window
	// is stale.
	buckets [rateBuckets]bucket
	// meanHold is the mean time in seconds that a request holds its decode slots.
	// Until holdMeasured it is an estimate.
	meanHold float64
	// holdMeasured reports whether a request with output has finished.
	holdMeasured bool
	// meanSlots is the mean number of decode slots of a finished request, or of
	// blocks of engine memory where the pool counts in them.
	meanSlots float64
	// finished counts the finished requests with output.
	finished int
	// saturatedSince is when requests began to wait; zero while none do.
	saturatedSince time.Time
}

// bucket returns the bucket of now and clears it if it is stale.
func (r *rates) bucket(now time.Time) *bucket {
	number := now.UnixNano() / int64(bucketTime)
	b := &r.buckets[number%rateBuckets]
	if b.number != number {
		*b = bucket{number: number}
	}
	return b
}

// estimateHold sets meanHold to the expected output of work times the time between
// tokens, as long as no hold time was measured.
func (r *rates) estimateHold(work *egretflow.Work, gap time.Duration) {
	if r.holdMeasured {
		return
	}
	hold := (time.Duration(work.MaxTokens) * gap).Seconds()
	if hold == 0 {
		hold = defaultHold.Seconds()
	}
	r.observeHold(hold)
}

// observeHold adds a hold time in seconds to the mean.
func (r *rates) observeHold(hold float64) {
	if r.meanHold == 0 {
		r.meanHold = hold
	}
	r.meanHold += r.sampleWeight() * (hold - r.meanHold)
}

// hold returns the mean time that a request holds its slots, or 0 until it was measured.
func (r *rates) hold() time.Duration {
	if !r.holdMeasured {
		return 0
	}
	return time.Duration(r.meanHold * float64(time.Second))
}

// sampleWeight returns the weight of the newest finished request in the means. All
// requests weigh the same until that would be less than minSampleWeight.
func (r *rates) sampleWeight() float64 { return max(minSampleWeight, 1/float64(max(1, r.finished))) }

// countEnd counts the slots of an attempt that ended after it held them for the
// given time. An attempt that produced no output says nothing about how long
// requests hold their slots, so it does not change the means.
func (r *rates) countEnd(now time.Time, slots int, held time.Duration, produced bool) {
	b := r.bucket(now)
	b.ends++
	b.slots += float64(slots)
	if !produced {
		return
	}
	if !r.holdMeasured {
		r.holdMeasured, r.meanHold = true, 0
	}
	r.finished++
	r.observeHold(max(held, time.Millisecond).Seconds())
	r.meanSlots += r.sampleWeight() * (float64(slots) - r.meanSlots)
}

// countPrefill counts a prefill and the prompt tokens that it computed.
func (r *rates) countPrefill(now time.Time, tokens int) {
	b := r.bucket(now)
	b.prefills++
	b.tokens += float64(tokens)
}

// countMissed counts the slots of a request that could not meet its target on
// arrival.
func (r *rates) countMissed(now time.Time, rank, slots int) { r.bucket(now).missed[rank] += slots }

// countArrival counts the slots of a new request.
func (r *rates) countArrival(now time.Time, rank, slots int) {
	r.bucket(now).arrived[rank] += float64(slots)
}

// arrivedBefore returns the decode slots of the new requests that are more important
// than rank.
func (b *bucket) arrivedBefore(rank int) (slots float64) {
	for _, n := range b.arrived[:rank] {
		slots += n
	}
	return slots
}

// totalArrived returns the decode slots of all new requests.
func (b *bucket) totalArrived() float64 { return b.arrivedBefore(len(b.arrived)) }

// setSaturated updates saturatedSince by whether requests wait.
func (r *rates) setSaturated(waiting bool, now time.Time) {
	switch {
	case !waiting:
		r.saturatedSince = time.Time{}
	case r.saturatedSince.IsZero():
		r.saturatedSince = now
	}
}

// sum returns the sum of the buckets in the window.
func (r *rates) sum(now time.Time) bucket { return r.sumSince(time.Time{}, now) }

// sumSince returns the sum of the buckets in the part of the window that begins
// with the bucket of since; the zero time stands for the whole window.
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
		for rank := range b.missed {
			sum.missed[rank] += b.missed[rank]
			sum.arrived[rank] += b.arrived[rank]
		}
	}
	return sum
}

// measuredFor returns the length of the part of the window in which requests
// waited. Before that, the servers were not fully used.
func (r *rates) measuredFor(now time.Time) time.Duration {
	first := now.Add(bucketTime - rateWindow).Truncate(bucketTime)
	if since := r.saturatedSince.Truncate(bucketTime); since.After(first) {
		first = since
	}
	return max(now.Sub(first), bucketTime)
}

// measurementWeight returns the weight of a measured rate against the expected one,
// from 0 to 1. A measured rate shows the capacity only while requests wait, and
// only if it rests on enough samples in the window.
func (r *rates) measurementWeight(samples float64, now time.Time) float64 {
	if r.saturatedSince.IsZero() {
		return 0
	}
	return min(1, now.Sub(r.saturatedSince).Seconds()/rateWindow.Seconds()) * min(1, samples/fullWeightSamples)
}

// capacity returns what p can serve, from the sums over its servers, which are at
// most totalsInterval old, and from the rates that were measured over the window
// (5.7).
func (t *task) capacity(p *pool) admitter.Capacity {
	if t.now.Sub(p.totalsAt) >= totalsInterval {
		p.totals, p.totalsAt = p.picker.Totals(t.now), t.now
	}
	if p.totals.DecodeSlots == 0 {
		// Without a grant the capacity is unknown, so requests wait for one.
		return admitter.Capacity{FreeSlots: admitter.MaxItems}
	}
	served := p.rates.sumSince(p.rates.saturatedSince, t.now)
	used := p.picker.UsedDecodeCapacity()
	c := admitter.Capacity{FreeSlots: max(0, p.totals.DecodeSlots-used)}
	if t.hasCallWindow(p) {
		c.FreeSlots = p.window.free(p.running, c.FreeSlots)
	}
	if p.rates.meanHold > 0 {
		c.SlotsPerSecond = float64(max(used, 1)) / p.rates.meanHold
		measured := served.slots / p.rates.measuredFor(t.now).Seconds()
		c.SlotsPerSecond += p.rates.measurementWeight(served.ends, t.now) * (measured - c.SlotsPerSecond)
		p.estimateEnds(&c, t.now)
	}
	if p.picker.Kind() == egretflow.PoolKindModel {
		p.prefill.Reset()
		p.picker.VisitPrefillServers(t.now, p.prefill.Add)
		p.prefill.Prepare(1 - p.rates.measurementWeight(served.prefills, t.now)*p.shortfall(served.tokens/p.rates.measuredFor(t.now).Seconds()))
		c.Prefill = &p.prefill
		c.ExternalTokensAhead = p.waitingAtPeers(t.now)
	}
	return c
}

// shortfall returns the share of the expected prefill rate that is missing from the
// measured one in tokens/s, at most maxShortfall. A window holds few long prompts,
// so up to shortfallTolerance is not counted.
func (p *pool) shortfall(measured float64) float64 {
	if p.totals.PrefillRate <= 0 {
		return 0
	}
	return min(maxShortfall, max(0, 1-measured/(p.totals.PrefillRate*(1-shortfallTolerance))))
}

// addCallStart adds a call that starts now to callStarts if p is a service pool.
func (p *pool) addCallStart(now time.Time) {
	if p.picker.Kind() == egretflow.PoolKindService {
		p.callStarts = append(p.callStarts, now)
	}
}

// removeCallStart removes a call that started at the given time from callStarts.
func (p *pool) removeCallStart(startedAt time.Time) {
	if n := slices.IndexFunc(p.callStarts, startedAt.Equal); n >= 0 {
		p.callStarts = slices.Delete(p.callStarts, n, n+1)
	}
}

// estimateEnds sets c.SlotSeconds and c.SlotEnds to the expected duration of a
// call and the expected ends of the running calls of a service pool. Its calls
// take about the same time; the streams of a model pool do not, so c is not
// changed for a model pool.
func (p *pool) estimateEnds(c *admitter.Capacity, now time.Time) {
	if len(p.callStarts) == 0 || c.SlotsPerSecond <= 0 {
		return
	}
	c.SlotSeconds = float64(len(p.callStarts)) / c.SlotsPerSecond
	p.expectedEnds = p.expectedEnds[:0]
	for _, at := range p.callStarts {
		p.expectedEnds = append(p.expectedEnds, max(0, c.SlotSeconds-now.Sub(at).Seconds()))
	}
	c.SlotEnds = p.expectedEnds
}
