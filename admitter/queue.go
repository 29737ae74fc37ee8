package admitter

import (
	"time"

	"github.com/egretflow/egretflow"
)

// MaxItems bounds the memory of one queue. At 68 requests/s and a first-token
// target of 1.1 s, about 75 requests can wait and still meet the target.
const MaxItems = 1024

// Verdict is the result of an offer.
type Verdict struct {
	Admitted bool
	// FirstTokenAt is the expected time of the first token.
	FirstTokenAt time.Time
	// Wait is the expected time in the queue.
	Wait time.Duration
	// Displaced is the item that was removed from a full queue to admit the
	// offered one, or nil.
	Displaced *Item
}

// Queue holds the waiting requests of one pool. It is not safe for concurrent
// use.
type Queue struct {
	classes [4]class
	length  int
	// shares orders the items of a class if it has organisations; it may be nil.
	shares *Shares
	// cursors and batch keep their memory between walks.
	cursors []cursor
	batch   []*Item
}

// NewQueue returns an empty queue in which callers have equal weights.
func NewQueue() *Queue { return NewSharedQueue(nil) }

// NewSharedQueue returns an empty queue that serves organisations by their shares
// (rules 6 to 9).
func NewSharedQueue(s *Shares) *Queue {
	q := &Queue{shares: s}
	for n := range q.classes {
		q.classes[n].flows = map[egretflow.CallerName]*flow{}
	}
	return q
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.length }

// Waiting returns the decode slots and the items that wait, by rank of
// importance.
func (q *Queue) Waiting() (slots, items [4]int) {
	for n := range q.classes {
		slots[n], items[n] = int(q.classes[n].slots), q.classes[n].length
	}
	return slots, items
}

// WaitingBefore reports whether an item waits that may be served before w: one that is
// as important or more, or any if the caller of w exceeds its quota.
func (q *Queue) WaitingBefore(w *egretflow.Work) bool {
	if q.shares.ExceedsQuota(w.Caller) {
		return q.length > 0
	}
	for n := range w.Importance.Rank() + 1 {
		if q.classes[n].length > 0 {
			return true
		}
	}
	return false
}

// ServiceRank returns the rank of importance with which w is served: the last one if its
// caller exceeds its quota.
func (q *Queue) ServiceRank(w *egretflow.Work) int {
	if q.shares.ExceedsQuota(w.Caller) {
		return len(q.classes) - 1
	}
	return w.Importance.Rank()
}

// WaitingTokens returns the prompt tokens that wait, by rank of importance.
func (q *Queue) WaitingTokens() (tokens [4]int) {
	for n := range q.classes {
		tokens[n] = int(q.classes[n].tokens)
	}
	return tokens
}

// Offer queues item if it is expected to meet its target and the queue has space
// or drops a less important item (rules 3 to 5).
func (q *Queue) Offer(item *Item, capacity Capacity, now time.Time) Verdict {
	rank := item.Work.Importance.Rank()
	c := &q.classes[rank]
	f := c.flow(item.Work.Caller)
	at := f.insert(item)
	q.length++
	tokens, slots := q.loadAhead(item, at)
	wait := capacity.wait(tokens+capacity.ExternalTokensAhead[rank], slots+float64(item.Slots))
	wait = q.extendWait(wait, item, capacity)
	v := Verdict{Admitted: true, Wait: wait, FirstTokenAt: now.Add(wait + item.ServiceTime)}
	switch {
	case item.late(v.FirstTokenAt):
		v.Admitted = false
	case q.length > MaxItems:
		v.Displaced = q.last(rank)
		v.Admitted = v.Displaced != nil && v.Displaced != item
	}
	if !v.Admitted {
		q.Remove(item)
		v.Displaced = nil
	} else if v.Displaced != nil {
		q.Remove(v.Displaced)
	}
	return v
}

// extendWait returns the expected wait of item with the requests that arrive later and
// are served before it. The items of a class below its floor are not overtaken.
func (q *Queue) extendWait(wait time.Duration, item *Item, capacity Capacity) time.Duration {
	rank := item.Work.Importance.Rank()
	switch {
	case !q.shares.Enabled():
		return wait
	case q.shares.ExceedsQuota(item.Work.Caller):
		return capacity.behindArrivals(wait)
	case q.lacking()[rank] >= q.classes[rank].length:
		return wait
	}
	return capacity.behindImportant(wait, rank)
}

// loadAhead returns the prompt tokens and the decode slots that are served before
// item, which is at position at of its flow.
func (q *Queue) loadAhead(item *Item, at int) (tokens, slots float64) {
	if q.shares.Enabled() {
		q.walk(func(other *Item) bool {
			if other == item {
				return false
			}
			tokens += float64(other.Tokens)
			slots += float64(other.Slots)
			return true
		})
		return tokens, slots
	}
	tokens, slots = item.flow.class.loadAhead(item.flow, at)
	for n := range item.Work.Importance.Rank() {
		tokens += q.classes[n].tokens
		slots += q.classes[n].slots
	}
	return tokens, slots
}

// last returns the item that is served last in the least important class with
// items, among the classes less important than rank, or nil if they are empty. With
// organisations it is the item that is served last of all.
func (q *Queue) last(rank int) (last *Item) {
	visit := func(item *Item) bool { last = item; return true }
	if q.shares.Enabled() {
		q.walk(visit)
		return last
	}
	for n := len(q.classes) - 1; n > rank; n-- {
		if q.classes[n].length > 0 {
			q.walkClass(&q.classes[n], classPart{}, visit)
			return last
		}
	}
	return nil
}

// Remove removes item without charging its caller. It does nothing if item is not
// in a queue.
func (q *Queue) Remove(item *Item) {
	if item.flow == nil {
		return
	}
	c := item.flow.class
	item.flow.delete(item)
	q.length--
	if c.length == 0 {
		c.dropIdleFlows()
	}
}

// Take removes item, which was placed on a server, and charges its cost to its
// caller. It does nothing if item is not in a queue.
func (q *Queue) Take(item *Item) {
	f := item.flow
	if f == nil {
		return
	}
	c := f.class
	c.virtualTime = max(c.virtualTime, f.start)
	f.start += item.cost()
	q.Remove(item)
}

// Shed removes and returns the items that are expected to miss their target.
// The result is valid until the next call of a method of q.
func (q *Queue) Shed(capacity Capacity, now time.Time) []*Item {
	var tokens, slots float64
	q.batch = q.batch[:0]
	q.walk(func(item *Item) bool {
		wait := capacity.wait(tokens+capacity.ExternalTokensAhead[item.Work.Importance.Rank()], slots+float64(item.Slots))
		if item.late(now.Add(wait + item.ServiceTime)) {
			q.batch = append(q.batch, item)
			return true
		}
		tokens += float64(item.Tokens)
		slots += float64(item.Slots)
		return true
	})
	for _, item := range q.batch {
		q.Remove(item)
	}
	for n := range q.classes {
		q.classes[n].dropIdleFlows()
	}
	return q.batch
}

// Next returns the next items in service order, at most n. The result is valid
// until the next call of a method of q other than Take and Remove.
func (q *Queue) Next(n int) []*Item {
	q.batch = q.batch[:0]
	q.walk(func(item *Item) bool {
		q.batch = append(q.batch, item)
		return len(q.batch) < n
	})
	return q.batch
}
