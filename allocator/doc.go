// Package allocator divides the slots of backend servers among the instances of a
// slice (5.3).
//
// Each server has one owner instance at a time. The [Owner] of that instance grants
// the slots of the server to the holders, which are all instances of the slice
// including the owner. A [Holder] keeps the grants of one instance and lets it start
// requests only under an unexpired grant. Neither type reads a clock or starts a
// goroutine, and neither is safe for concurrent use.
//
// # Usage
//
//	owner := allocator.NewOwner()
//	owner.SetView(view, now)               // slice members, servers, ownership
//	grants := owner.Answer(request, now)   // for each exchange of a holder
//	owner.ObserveLoad(report, now)         // for each load report
//
//	holder := allocator.NewHolder()
//	holder.Apply(grants)                   // from each response
//	if holder.Start("decode-1", 1, now) {  // immediately before dispatch
//		defer holder.Finish("decode-1", 1)
//	}
//
// # Rules
//
//  1. A grant expires at the SentAt of the request that it answers plus [TTL], in
//     the clock of the holder. The owner's record of it expires at the time of
//     receipt plus TTL, in the clock of the owner. A request is never received
//     before it is sent, so the owner never grants slots to others before the holder
//     stops using them. The clocks may differ but must run at the same rate.
//  2. For each holder the owner counts the committed slots, which the holder may
//     still use: the maximum of the reported Held, the reported InUse and the grant
//     in the last answer. A smaller grant therefore frees slots only after the
//     holder has reported it. This requires that reports arrive in order, so a
//     request that was sent before the newest received one is not answered, and a
//     holder has one pending request per owner and drops the response to a cancelled
//     one.
//  3. The slots of an expired record are withheld until a second TTL has passed. A
//     load report that was measured after the expiry frees some of them earlier: no
//     more of them stay withheld than requests run on the server, whoever sent these.
//  4. Slots that are not withheld are divided in this order: one slot per holder in
//     each pool and role; wanted slots, more important classes first, where slots in
//     use count as wanted in the holder's most important class; an equal baseline
//     share; slots that a holder already has and nobody wants. In each step the
//     holder with the fewest slots is served first. A grant below InUse interrupts no
//     request: the holder starts none until enough have ended.
//  5. The baseline share of a listed member that does not report to this owner is
//     withheld. Two owners with the same list that each serve some of the holders
//     therefore never grant the same slot.
//  6. For one TTL, a new owner renews the slots that holders report and grants no
//     others. Until a load report shows no more running requests than the holders
//     report, it also withholds the difference, and it does so as long as a listed
//     member does not report.
//  7. An instance that receives demands for a server it does not own renews the
//     reported slots for at most one TTL. This covers the time in which members
//     disagree about who is reachable.
//  8. No slots are granted on a server whose load report states that it is draining.
//     An answer withdraws such slots even if the request does not name the server,
//     because not every request names unchanged demands, and new requests must stop
//     within 3 s (9.2).
//
// # Bound on over-commit
//
// The use of a holder is the larger of its unexpired grant and its number of running
// requests. After a grant, the sum of the use of all holders exceeds the slots of the
// server at most by the slots that the granting owner cannot know of:
//
//   - Slots granted by another owner that is still up, and not yet reported to this
//     one. At most one TTL after the last instance has learned of the change of
//     owner, the holder has either reported them or they have expired. The grants of
//     a dead owner expire while the new one grants no others (rule 6).
//   - Requests that still run two TTL after their instance has last reported to this
//     owner, or that have run since before this owner took over. Load reports show
//     them with a delay; a plain service has no load reports.
//
// While all members have the same list and choose the same owner there are no such
// slots, and the sum does not exceed the slots of the server.
//
// Holders may start a bounded number of requests beyond their grants (picker rule 7):
// at most one per holder and server at a time. These are part of the reported InUse,
// so the owner does not grant their slots to others.
package allocator
