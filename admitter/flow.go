package admitter

import (
	"slices"
	"time"

	"github.com/egretflow/egretflow"
)

// OutputCost is the cost of one output token in prompt tokens. It only weighs
// callers against each other (rule 1).
const OutputCost = 8

// Item is one waiting request.
type Item struct {
	Work *egretflow.Work
	// Tokens is the number of prompt tokens to compute.
	Tokens int
	// Slots is the number of decode slots that the request occupies.
	Slots int
	// Service is the expected time from the start of prefill to the first
	// token.
	Service time.Duration
	// Owner is the caller's own record of the request.
	Owner any

	flow *flow
}

func (i *Item) cost() float64 {
	return float64(max(1, i.Tokens+OutputCost*i.Work.MaxTokens))
}

// late reports whether a first token at t misses the target.
func (i *Item) late(t time.Time) bool {
	return !i.Work.FirstTokenBy.IsZero() && t.After(i.Work.FirstTokenBy)
}

// flow holds the waiting items of one caller in one class, earliest deadline
// first.
type flow struct {
	caller egretflow.CallerName
	class  *class
	// start is the start tag of the first item; for a flow without items, the
	// finish tag of its last one.
	start  float64
	items  []*Item
	cost   float64
	tokens float64
	slots  float64
}

func (f *flow) insert(item *Item) int {
	at, _ := slices.BinarySearchFunc(f.items, item, func(a, b *Item) int {
		if c := compareDeadlines(a.Work, b.Work); c != 0 {
			return c
		}
		return -1
	})
	f.items = slices.Insert(f.items, at, item)
	item.flow = f
	f.count(item, 1)
	return at
}

func compareDeadlines(a, b *egretflow.Work) int {
	switch {
	case a.FirstTokenBy.IsZero() && b.FirstTokenBy.IsZero():
		return 0
	case a.FirstTokenBy.IsZero():
		return -1
	case b.FirstTokenBy.IsZero():
		return 1
	}
	return a.FirstTokenBy.Compare(b.FirstTokenBy)
}

func (f *flow) delete(item *Item) {
	at := slices.Index(f.items, item)
	f.items = slices.Delete(f.items, at, at+1)
	item.flow = nil
	f.count(item, -1)
}

func (f *flow) count(item *Item, sign float64) {
	f.cost += sign * item.cost()
	f.tokens += sign * float64(item.Tokens)
	f.slots += sign * float64(item.Slots)
	f.class.tokens += sign * float64(item.Tokens)
	f.class.slots += sign * float64(item.Slots)
	f.class.length += int(sign)
}

// maxSpare bounds the empty flows kept for reuse.
const maxSpare = 64

// class holds the flows of one importance.
type class struct {
	flows map[egretflow.CallerName]*flow
	// order lists the flows in order of creation, so that sums and walks do not
	// depend on the order of the map.
	order []*flow
	spare []*flow
	// virtual is the start tag of the item that was taken last.
	virtual float64
	tokens  float64
	slots   float64
	length  int
}

// flow returns the flow of caller, which starts no earlier than the class.
func (c *class) flow(caller egretflow.CallerName) *flow {
	f, ok := c.flows[caller]
	if !ok {
		if n := len(c.spare); n > 0 {
			f, c.spare = c.spare[n-1], c.spare[:n-1]
		} else {
			f = &flow{class: c}
		}
		*f = flow{caller: caller, class: c, items: f.items}
		c.flows[caller] = f
		c.order = append(c.order, f)
	}
	if len(f.items) == 0 {
		f.start = max(f.start, c.virtual)
	}
	return f
}

// forget drops the flows that have no items and no debt. When the class is
// empty nobody is owed anything.
func (c *class) forget() {
	c.order = slices.DeleteFunc(c.order, func(f *flow) bool {
		if len(f.items) > 0 || (c.length > 0 && f.start > c.virtual) {
			return false
		}
		delete(c.flows, f.caller)
		if len(c.spare) < maxSpare {
			c.spare = append(c.spare, f)
		}
		return true
	})
	if c.length == 0 {
		c.virtual, c.tokens, c.slots = 0, 0, 0
	}
}

// ahead returns the load that is served before an item of f at position at
// with the start tag that its predecessors in f leave it.
func (c *class) ahead(f *flow, at int) (tokens, slots float64) {
	tag := f.start
	for _, item := range f.items[:at] {
		tag += item.cost()
		tokens += float64(item.Tokens)
		slots += float64(item.Slots)
	}
	for _, other := range c.order {
		if other == f || other.cost == 0 || other.start >= tag {
			continue
		}
		share := min(1, (tag-other.start)/other.cost)
		tokens += share * other.tokens
		slots += share * other.slots
	}
	return tokens, slots
}
