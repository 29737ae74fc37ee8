// Package allocator shares the slots of backend servers between the instances
// of a slice (5.3).
//
// Each server has one owner instance at a time. An [Owner] grants its slots to
// the holders, which are all instances of the slice, itself included. A
// [Holder] keeps the grants of one instance and starts work only under an
// unexpired one. Both are pure: they read no clock, start no goroutine and are
// not safe for concurrent use.
//
// # Usage
//
//	owner := allocator.NewOwner()
//	owner.SetView(view, now)               // slice members, servers, ownership
//	grants := owner.Answer(request, now)   // for each exchange of a holder
//	owner.ObserveLoad(report, now)         // for each load report
//
//	holder := allocator.NewHolder()
//	holder.Apply(grants)
//	if holder.Start("decode-1", 1, now) {  // immediately before dispatch
//		defer holder.Finish("decode-1", 1)
//	}
//
// # Rules
//
//  1. A grant ends at the SentAt of the request that it answers plus [TTL], in
//     the clock of the holder. The owner's record of it ends at the time of
//     receipt plus TTL, in the clock of the owner. Receipt is never before
//     sending, so the owner never gives slots away before the holder stops
//     using them. Only the rate of the clocks has to agree.
//  2. The owner counts for each holder the slots that the holder may believe
//     it has: the maximum of the reported Held, the reported InUse and the
//     grant in the last answer. A smaller grant frees slots only once the
//     holder has reported it. This needs reports in order, so a request that
//     was sent before the newest one is not answered, and a holder keeps one
//     exchange open per owner and drops the response to a cancelled one.
//  3. Slots of an expired record are withheld until a second TTL has passed. A
//     load report measured after the expiry frees them earlier as far as the
//     server runs fewer requests than that, whoever sent them.
//  4. Slots that are not withheld are divided in this order: one slot per
//     holder in each pool and role; wanted slots, more important classes first,
//     where slots in use count as wanted in the holder's most important class;
//     an equal baseline share; slots that a holder has anyway and nobody wants.
//     In each step the holder with the fewest slots comes first. A grant below InUse interrupts
//     nothing: it stops new starts until enough requests have ended.
//  5. The baseline share of a listed member that does not report to this owner
//     is withheld. Two owners with the same list that each serve a part of the
//     holders therefore never grant the same slot.
//  6. A new owner renews what holders report and grants nothing more for one
//     TTL. Until a load report shows no more running requests than the holders
//     report, it withholds the difference too; it does the same as long as a
//     listed member does not report.
//  7. An instance that is asked for a server it does not own renews the
//     reported slots for at most one TTL. It covers the time in which members
//     disagree about who is reachable.
//
// # Bound on over-commit
//
// Count for each holder the larger of its unexpired grant and its running
// requests. A grant never makes the sum exceed the slots of the server by more
// than the slots that the granting owner does not know of:
//
//   - Slots granted by another owner that still runs, and not yet reported to
//     this one. They are known once the holder has reported, or have expired, at
//     most one TTL after the last instance has learned of the change of owner.
//     The grants of a dead owner expire while the new one waits (rule 6).
//   - Requests that run longer than two TTL after their instance has last
//     reported to this owner, or since before this owner took over. Load reports
//     show them up to their lag; a plain service has no load reports.
//
// While all members have the same list and the same owner there are none, and
// the sum does not exceed the slots.
package allocator
