package scheduler

import (
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/admitter"
)

// queue returns the queue in which w waits.
func (w *waiter) queue() *admitter.Queue {
	if w.late {
		return w.pool.late
	}
	return w.pool.queue
}

// postpone queues a request that misses its target behind those that can still
// meet theirs, if its caller waits long enough, and refuses it otherwise. A
// request that is served ahead of its turn would only make another one late. A
// model pool that is full stays so for seconds, so a caller that may return after
// them is refused at once instead of when it has waited in vain.
func (t *task) postpone(w *waiter, v admitter.Verdict) {
	if w.late || !w.work.GiveUpBy.After(t.now) || w.pool.returns(w.work) {
		t.refuseLate(w, v)
		return
	}
	work := *w.work
	work.FirstTokenBy = work.GiveUpBy
	w.work, w.item.Work, w.late = &work, &work, true
	if v = w.pool.late.Offer(&w.item, t.lateCapacity(w.pool), t.now); !v.Admitted {
		t.refuseLate(w, v)
		return
	}
	t.recordPostponed(w, v)
	if v.Displaced != nil {
		t.refuseLate(v.Displaced.Owner.(*waiter), v)
	}
}

// returns reports whether the caller of w, if the pool is full, should return
// later instead of waiting.
func (p *pool) returns(w *egretflow.Work) bool {
	return p.picker.Kind() == egretflow.PoolKindModel && admitter.MayReturn(w)
}

// lateCapacity is the capacity that the requests in pool.late see: those that
// can still meet their target go before them.
func (t *task) lateCapacity(p *pool) admitter.Capacity {
	c := t.capacity(p)
	slots, _ := p.queue.Waiting()
	tokens := p.queue.Tokens()
	for rank := range c.Ahead {
		for n := range tokens {
			c.Ahead[rank] += float64(tokens[n])
		}
	}
	for _, n := range slots {
		c.FreeSlots -= n
	}
	c.Overtaken = p.overtaken(c, t.now)
	return c
}

// crestTime is how much longer a crest is expected to last. During it new
// requests that can still meet their target go before those in pool.late.
const crestTime = time.Second

// overtaken is the part of crestTime in which new requests take the slots that
// become free, if requests arrive as they did in the last second.
func (p *pool) overtaken(c admitter.Capacity, now time.Time) time.Duration {
	if c.SlotsPerSecond <= 0 {
		return 0
	}
	arriving := p.rates.sum(now).arrived / rateWindow.Seconds()
	return time.Duration(min(1, arriving/c.SlotsPerSecond) * float64(crestTime))
}

// shed postpones or refuses the waiting requests that cannot meet their
// deadline any more.
func (t *task) shed(p *pool) {
	if p.queue.Len() > 0 {
		var shed []*admitter.Item
		shed = append(shed, p.queue.Shed(t.capacity(p), t.now)...)
		for _, item := range shed {
			t.postpone(item.Owner.(*waiter), admitter.Verdict{FirstTokenAt: item.Work.FirstTokenBy})
		}
	}
	if p.late.Len() > 0 {
		for _, item := range p.late.Shed(t.lateCapacity(p), t.now) {
			t.refuseLate(item.Owner.(*waiter), admitter.Verdict{FirstTokenAt: item.Work.FirstTokenBy})
		}
	}
}
