package scheduler

import (
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/admitter"
)

// queue returns the queue in which w waits.
func (w *waiter) queue() *admitter.Queue {
	if w.late {
		return w.pool.lateQueue
	}
	return w.pool.queue
}

// postpone moves a request that misses its first-token target to the late queue if
// its caller waits long enough, and refuses it otherwise. Requests that can still
// meet their target are served first; serving this one earlier would make one of
// them late. A model pool that is full stays full for seconds, so a caller that has
// time to return after that is refused at once instead of after a useless wait.
func (t *task) postpone(w *waiter, v admitter.Verdict) {
	if w.late || !w.work.GiveUpBy.After(t.now) || w.pool.shouldReturnLater(w.work) {
		t.refuseLate(w, v)
		return
	}
	work := *w.work
	work.FirstTokenBy = work.GiveUpBy
	w.work, w.item.Work, w.late = &work, &work, true
	if v = w.pool.lateQueue.Offer(&w.item, t.lateCapacity(w.pool), t.now); !v.Admitted {
		t.refuseLate(w, v)
		return
	}
	t.recordPostponed(w, v)
	if v.Displaced != nil {
		t.refuseLate(v.Displaced.UserData.(*waiter), v)
	}
}

// shouldReturnLater reports whether the caller of w should return later instead of
// waiting if the pool is full.
func (p *pool) shouldReturnLater(w *egretflow.Work) bool {
	return p.picker.Kind() == egretflow.PoolKindModel && admitter.CanRetryLater(w)
}

// lateCapacity returns the capacity that is left for the requests in
// pool.lateQueue after those in pool.queue, which are served before them.
func (t *task) lateCapacity(p *pool) admitter.Capacity {
	c := t.capacity(p)
	slots, _ := p.queue.Waiting()
	tokens := p.queue.WaitingTokens()
	for rank := range c.ExternalTokensAhead {
		for n := range tokens {
			c.ExternalTokensAhead[rank] += float64(tokens[n])
		}
	}
	for _, n := range slots {
		c.FreeSlots -= n
	}
	c.ExtraWait = p.arrivalDelay(c, t.now)
	return c
}

// remainingPeakTime is how much longer a load peak is expected to last. During
// this time new requests that can still meet their target are served before those
// in pool.lateQueue.
const remainingPeakTime = time.Second

// arrivalDelay returns the part of remainingPeakTime in which new requests take
// the slots that become free, if requests arrive at the rate of the last
// rateWindow.
func (p *pool) arrivalDelay(c admitter.Capacity, now time.Time) time.Duration {
	all := p.arrivingShares(c.SlotsPerSecond, now)[len(egretflow.Importances)]
	return time.Duration(all * float64(remainingPeakTime))
}

// arrivingShares returns, by rank, the share, at most 1, of the slots that become free at
// the given rate which new requests that are more important need, if they arrive at the
// rate of the last rateWindow. The last entry is that of all new requests.
func (p *pool) arrivingShares(slotsPerSecond float64, now time.Time) (shares [5]float64) {
	if slotsPerSecond <= 0 {
		return shares
	}
	recent := p.rates.sum(now)
	for rank := range shares {
		shares[rank] = min(1, recent.arrivedBefore(rank)/rateWindow.Seconds()/slotsPerSecond)
	}
	return shares
}

// shed removes the waiting requests that can no longer be served in time from
// their queues. It postpones or refuses those that miss their first-token target,
// and refuses those in pool.lateQueue whose callers will have given up.
func (t *task) shed(p *pool) {
	if p.queue.Len() > 0 {
		var shed []*admitter.Item
		shed = append(shed, p.queue.Shed(t.capacity(p), t.now)...)
		for _, item := range shed {
			t.postpone(item.UserData.(*waiter), admitter.Verdict{FirstTokenAt: item.Work.FirstTokenBy})
		}
	}
	if p.lateQueue.Len() > 0 {
		for _, item := range p.lateQueue.Shed(t.lateCapacity(p), t.now) {
			t.refuseLate(item.UserData.(*waiter), admitter.Verdict{FirstTokenAt: item.Work.FirstTokenBy})
		}
	}
}
