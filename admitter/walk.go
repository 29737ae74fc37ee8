package admitter

import (
	"math"
	"slices"
)

// cursor is the position of a walk in one flow: the index of the next item and
// its tag, by which the flows of a class are merged.
type cursor struct {
	flow *flow
	next int
	tag  float64
	// The tokens of an item, divided by weight, advance the tag. ahead counts the tokens of
	// the items before the next one; from remaining on, the items exceed the quota of the
	// caller. All are unused without organisations.
	weight, ahead, remaining float64
}

func (c *cursor) item() *Item { return c.flow.items[c.next] }

// exceeding reports whether the next item exceeds the quota of its caller. It does not
// depend on the tag, which differs between the parts of a walk: an item must be in one
// of them, whatever the rounding.
func (c *cursor) exceeding() bool { return c.ahead >= c.remaining }

// before orders cursors by tag, then deadline, then caller.
func (c *cursor) before(other *cursor) bool {
	if c.tag != other.tag {
		return c.tag < other.tag
	}
	if d := compareDeadlines(c.item().Work, other.item().Work); d != 0 {
		return d < 0
	}
	return c.flow.caller < other.flow.caller
}

// advance moves c to the next item of its flow.
func (c *cursor) advance() {
	if item := c.item(); c.weight > 0 {
		tokens := float64(tokensInUse(item.Work))
		c.tag += tokens / c.weight
		c.ahead += tokens
	} else {
		c.tag += item.cost()
	}
	c.next++
}

// newCursor returns a cursor at the first item of f. Without organisations its tag is the
// start tag of the flow. With them it is Shares.inUse of the caller or, if exceeding is set,
// to order the items that exceed quotas, the share of its allowance that the caller has
// spent.
func (q *Queue) newCursor(f *flow, exceeding bool) cursor {
	if !q.shares.Enabled() {
		return cursor{flow: f, tag: f.start, remaining: math.Inf(1)}
	}
	remaining := q.shares.remaining(f.caller)
	if allowance, spent := q.shares.allowanceOf(f.caller); exceeding && allowance > 0 {
		return cursor{flow: f, tag: spent / allowance, weight: allowance, remaining: remaining}
	}
	return cursor{flow: f, tag: q.shares.inUse(f.caller), weight: q.shares.weight(f.caller), remaining: remaining}
}

// classPart selects items of a class in a walk.
type classPart struct {
	// exceeding selects the items that exceed the quotas of their callers, and
	// otherwise those that do not.
	exceeding bool
	// skip is the number of the first selected items that are left out, and count, if
	// positive, the number of those that are visited after them.
	skip, count int
}

// walk visits the items in service order until visit returns false. The queue
// must not change meanwhile.
func (q *Queue) walk(visit func(*Item) bool) {
	lacking := q.lacking()
	for n, count := range lacking {
		if count > 0 && !q.walkClass(&q.classes[n], classPart{count: count}, visit) {
			return
		}
	}
	for n := range q.classes {
		if !q.walkClass(&q.classes[n], classPart{skip: lacking[n]}, visit) {
			return
		}
	}
	if !q.shares.Enabled() {
		return
	}
	for n := range q.classes {
		if !q.walkClass(&q.classes[n], classPart{exceeding: true}, visit) {
			return
		}
	}
}

// lacking returns how many items of each class go before all others (rule 8).
func (q *Queue) lacking() [4]int {
	if !q.shares.Enabled() {
		return [4]int{}
	}
	return q.shares.classes.lacking()
}

// walkClass visits a part of the items of c in service order, using a heap of one
// cursor per flow. It returns false if visit did.
func (q *Queue) walkClass(c *class, part classPart, visit func(*Item) bool) bool {
	if c.length == 0 {
		return true
	}
	heap := q.cursors[:0]
	for _, f := range c.order {
		if len(f.items) > 0 {
			heap = append(heap, q.newCursor(f, part.exceeding))
		}
	}
	q.cursors = heap
	slices.SortFunc(heap, func(a, b cursor) int {
		if a.before(&b) {
			return -1
		}
		return 1
	})
	for selected := 0; len(heap) > 0; {
		top := &heap[0]
		if top.exceeding() == part.exceeding {
			selected++
			if selected > part.skip && !visit(top.item()) {
				return false
			}
			if part.count > 0 && selected == part.skip+part.count {
				return true
			}
		}
		if top.advance(); top.next == len(top.flow.items) {
			heap[0] = heap[len(heap)-1]
			heap = heap[:len(heap)-1]
		}
		siftDown(heap)
	}
	return true
}

// siftDown restores the order of a heap whose first element changed.
func siftDown(heap []cursor) {
	for n := 0; ; {
		child := 2*n + 1
		if child >= len(heap) {
			return
		}
		if child+1 < len(heap) && heap[child+1].before(&heap[child]) {
			child++
		}
		if !heap[child].before(&heap[n]) {
			return
		}
		heap[n], heap[child] = heap[child], heap[n]
		n = child
	}
}
