package admitter

import (
	"slices"
	"time"

	"github.com/egretflow/egretflow"
)

// OutputCost is the cost of one output token in prompt tokens. It is used only
// for fair queueing between callers (rule 1).
const OutputCost = 8

// Item is one waiting request.
type Item struct {
	Work *egretflow.Work
	// Tokens is the number of prompt tokens to compute.
	Tokens int
	// Slots is the number of decode slots that the request occupies.
	Slots int
	// ServiceTime is the expected time from the start of prefill to the first
	// token.
	ServiceTime time.Duration
	// UserData is a value of the code that offers the item; this package does
	// not use it.
	UserData any

	flow *flow
}

// cost returns the cost of the item for fair queueing, in prompt tokens (rule 1).
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
	// start is the start tag of the first item in virtual time; for a flow without
	// items, the finish tag of the last item taken from it.
	start  float64
	items  []*Item
	cost   float64
	tokens float64
	slots  float64
}

// insert adds item behind the items with the same or an earlier deadline and
// returns its position.
func (f *flow) insert(item *Item) int {
	at, _ := slices.BinarySearchFunc(f.items, item, func(a, b *Item) int {
		if c := compareDeadlines(a.Work, b.Work); c != 0 {
			return c
		}
		return -1
	})
	f.items = slices.Insert(f.items, at, item)
	item.flow = f
	f.updateSums(item, 1)
	return at
}

// compareDeadlines orders requests by FirstTokenBy; those without it come first.
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
	f.updateSums(item, -1)
}

// updateSums adds item to the sums of the flow and its class if sign is 1, and
// subtracts it if sign is -1.
func (f *flow) updateSums(item *Item, sign float64) {
	f.cost += sign * item.cost()
	f.tokens += sign * float64(item.Tokens)
	f.slots += sign * float64(item.Slots)
	f.class.tokens += sign * float64(item.Tokens)
	f.class.slots += sign * float64(item.Slots)
	f.class.length += int(sign)
}

// maxSpareFlows bounds the empty flows that a class keeps for reuse.
const maxSpareFlows = 64

// class holds the flows of one importance.
type class struct {
	flows map[egretflow.CallerName]*flow
	// order lists the flows in order of creation, so that sums and walks do not
	// depend on the iteration order of the map.
	order []*flow
	spare []*flow
	// virtualTime is the highest start tag that a flow had when an item was taken
	// from it.
	virtualTime float64
	tokens      float64
	slots       float64
	length      int
}

// flow returns the flow of caller and creates it if necessary. A flow without
// items starts at the virtual time of the class or later, so that a caller gets
// no credit for the time in which it sent nothing.
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
		f.start = max(f.start, c.virtualTime)
	}
	return f
}

// dropIdleFlows removes the flows without items whose start tag is not ahead of
// the virtual time. When the class is empty it removes all flows and sets the
// virtual time back to 0, because no caller competes with another one.
func (c *class) dropIdleFlows() {
	c.order = slices.DeleteFunc(c.order, func(f *flow) bool {
		if len(f.items) > 0 || (c.length > 0 && f.start > c.virtualTime) {
			return false
		}
		delete(c.flows, f.caller)
		if len(c.spare) < maxSpareFlows {
			c.spare = append(c.spare, f)
		}
		return true
	})
	if c.length == 0 {
		c.virtualTime, c.tokens, c.slots = 0, 0, 0
	}
}

// loadAhead estimates the load of the class that is served before the item of f
// at position at. The start tag of the item follows from its predecessors in f;
// other flows count with the share of their cost that lies before that tag.
func (c *class) loadAhead(f *flow, at int) (tokens, slots float64) {
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
