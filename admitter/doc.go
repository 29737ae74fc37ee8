// Package admitter queues the requests of one pool and refuses early those that
// cannot meet their first-token target (5.1, 5.7).
//
// # Usage
//
//	q := admitter.NewQueue() // or NewSharedQueue(shares) to serve organisations by quota
//	if v := q.Offer(item, capacity, now); !v.Admitted {
//		// refuse with NotRun; the first token is expected at v.FirstTokenAt
//	}
//	for _, item := range q.Shed(capacity, now) {
//		// refuse with NotRun
//	}
//	for _, item := range q.Next(4) {
//		if placed(item) {
//			q.Take(item)
//		}
//	}
//
// # Rules
//
//  1. Items are served by importance, then by start-time fair queueing between
//     callers, then by first-token deadline within a caller. The cost of a
//     request is its prompt tokens to compute plus OutputCost per output token.
//  2. The first token is expected at now + wait + Item.ServiceTime. The wait is
//     the longer of two times: until a prefill server has computed the prompt
//     tokens ahead, and until enough decode slots are free. The latter is the
//     number of slots ahead divided by the rate at which slots become free or,
//     where the expected ends of the running requests are known, follows from
//     these. The tokens ahead include those that wait at other instances in
//     more important classes and half of those in the same class.
//  3. An item whose expected first token is later than its FirstTokenBy is
//     refused when it is offered. Shed applies the same test again in service
//     order, so a more important arrival displaces the less important items
//     that it makes late, and no others.
//  4. An item without FirstTokenBy (a continued stream) is refused only when
//     the queue is full.
//  5. At most MaxItems wait. A full queue drops its last item to admit a more
//     important one.
//  6. If the tables have organisations, Shares replaces the fair queueing of rule 1:
//     the caller that uses the least for its weight is served first. What it uses are
//     the tokens of its running requests, and its weight follows from its quota. A full
//     queue drops the item that is served last of all.
//  7. With organisations, the items that would exceed the quota of their caller are
//     served after all others, by importance, then by the share of its allowance that
//     the caller has spent. The allowance is what the quota lets it start in the time
//     that a request takes. What it has spent is replaced at the rate of the quota.
//  8. With organisations, the next items of a class go before all others if less
//     than minServedRatio of the share of all requests was served in the class.
//  9. With organisations, the wait of rule 2 is longer by what is expected to arrive
//     and to be served before the item.
package admitter
