// Package picker chooses the servers of a request: prefill server, link and
// decode server together (5.2). It also accounts for what is reserved on them.
//
// # Usage
//
//	pool := picker.NewPool(r, picker.SharingNone)
//	pool.Apply(table, now)
//	p, ok := pool.Pick(work, picker.Options{}, now)
//	if ok {
//		pool.Reserve(p)
//	}
//	pool.FinishPrefill(p) // and FinishTransfer, ReleasePrefill
//	pool.ReleaseAll(p)
//
// # Rules
//
//  1. The expected first token of a pair is prefill backlog plus uncached
//     tokens over the prefill rate, then the KV bytes over the slower of the
//     two links, no earlier than the transfers that both links already have
//     pending, then one token of the decode server. Each part is scaled by the
//     straggler estimate of its server or link.
//  2. Candidates are the servers that hold the longest known prefix, plus
//     SampleSize random servers with free slots. The cost of a choice therefore
//     does not depend on the size of the fleet.
//  3. A suspect server is chosen only for a probe, or when no other has a free
//     slot.
//  4. Prefix reuse is learned from own placements and scaled by a trust value
//     per server, which follows the cached_tokens that the engine reports and
//     falls when cache events are missing.
//  5. A prompt whose tokens need more than one slot's share of the engine's
//     blocks occupies several slots.
//  6. With peers, the backlog of a prefill server includes the prompt tokens that
//     they named last, less what the server can have computed since. Prompts that
//     no peer has named yet count as slack: they are no evidence that a server is
//     slow, and they extend the time until a prefill counts as stalled.
//  7. With peers, an instance may exceed its unexpired grants of at least one
//     slot by one prefill per server, for a critical request or on a server
//     without a known backlog, and by one critical request on one decode server.
//     It starts nothing else there until it is within the grant again. So a
//     server has at most one prefill, or one critical request, per instance more
//     than its slots; the engine queues it by priority.
//  8. Normal and Low leave the last prefill slot free, and a few slots of one
//     decode server, so that an important request does not wait for them.
//  9. The baseline policies choose from lagging load reports, reserve nothing
//     and know no grants. They exist for comparison.
//  10. With SharingPeers, places on a decode server that names its blocks are
//     counted in blocks: those of the prompt and of the expected output of each
//     request, less those that peers have named. The engine itself decides in
//     the end, by a hold (docs/decisions/platform.md).
//  11. A nominal prefill rate or token gap that the tables do not name is learned
//     from prefills that found their server idle.
package picker
