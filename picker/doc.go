// Package picker chooses the servers of a request: prefill server, link and
// decode server together (5.2). It also accounts for what is reserved on them.
//
// # Usage
//
//	pool := picker.NewPool(r, picker.SharingNone)
//	pool.Apply(table, now)
//	pl, ok := pool.Pick(work, picker.Options{}, now)
//	if !ok {
//		return // wait in the queue
//	}
//	pool.Reserve(&pl, work, now)
//	pool.FinishPrefill(&pl, now) // and FinishTransfer, ReleasePrefill
//	pool.ReleaseAll(&pl, now)
//
// # Rules
//
//  1. The expected first token of a pair is the sum of three times. The first is
//     the backlog of the prefill server plus the uncached tokens divided by its
//     prefill rate, but at least the time until the pending transfers of both
//     links are done. The second is the KV bytes divided by the rate of the
//     slower link. The third is one token of the decode server. Each part is
//     scaled by the straggler estimate of its server or link.
//  2. Candidates are the servers that hold the longest known prefix, plus
//     SampleSize random servers with free slots. The cost of a choice therefore
//     does not depend on the size of the fleet.
//  3. A suspect server is chosen only for a probe, if no other server has a free
//     slot, or, for the prefill, if the others have a backlog and it is expected
//     to be in time.
//  4. What servers keep of prompts is learned from the placements of this instance
//     and from cache events. A server evicts the least recently used beginnings
//     first, also for running prompts, and all when it starts again. The expected
//     time that a kept beginning saves is scaled by the age of the knowledge and by
//     a trust value per server, which follows the cached_tokens that the engine
//     reports or the time that the prefill took, and falls when cache events are
//     missing. It is compared with the wait, and with the cost of what the prompt
//     evicts. A pair that misses the first-token target ranks behind one that meets
//     it, and one that meets it only if an unsure beginning is kept behind one that
//     meets it anyway. A request waits in the queue for a server without a free
//     slot if it is surely served sooner there (docs/design/cached-prefix.md).
//  5. A prompt whose tokens need more than one slot's share of the engine's
//     blocks occupies several slots.
//  6. If servers are shared, the backlog of a prefill server includes the prompt
//     tokens that peers reported last, less what the server can have computed
//     since. Prompts that no peer has reported yet count as slack: a delay
//     within the slack does not make a server suspect, and the slack extends the
//     time until a prefill counts as stalled.
//  7. With SharingGrants, an instance may exceed its unexpired grants of at least
//     one slot by one prefill per server, for a critical request or on a server
//     without a known backlog, and by one critical request on one decode server.
//     It starts nothing else there until its use is within the grant again. So
//     each instance adds at most one prefill, or one critical request, beyond
//     the slots of a server; the engine queues it by priority.
//  8. Requests of importance Normal and Low leave the last prefill slot free, and
//     a few slots of one decode server, so that a more important request does
//     not wait for them. Instances with few slots keep none free.
//  9. The baseline policies choose by load reports, which lag behind, and ignore
//     slots and grants. They exist for comparison.
//  10. With SharingCoordinated, the capacity of a decode server whose table entry
//     gives its blocks is counted in blocks: those of the prompt and of the
//     expected output of each request. Attempts that another instance has placed
//     are adopted and count like its own. The engine decides in the end, by
//     granting or refusing a hold (docs/decisions/coordination.md).
//  11. A nominal prefill rate that the tables do not give is learned from
//     prefills that found their server idle, and a token gap that they do not
//     give from the time to the first output of decode.
//  12. Where the tables give no rates, the lasting speed of each server is learned
//     as well, and expected times follow it. If the decode servers differ, a
//     pair is compared by the end of the output instead of the first token, so
//     that faster servers get requests until their memory is full
//     (docs/design/speeds.md).
package picker
