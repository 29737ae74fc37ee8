// Package exchanger exchanges heartbeats, demands and grants with the peers of
// the slice (3.1, 5.3). One goroutine owns the owner side of the allocator, the
// plan of the slice and the schedule of messages.
//
// # Usage
//
//	e := exchanger.New(exchanger.Config{Self: self, Peers: client, State: scheduler, ...})
//	go e.Run(ctx)
//	response, err := e.HandleExchange(ctx, request) // from the peer listener
//	e.Observe(observation)                          // load reports
//	servers := e.Owned()                            // for the poller
//	err = e.Leave(ctx)                              // at shutdown
//
// # Rules
//
//  1. Each peer of the slice gets a heartbeat every [HeartbeatInterval]. It
//     gets one earlier, at least [EarlyInterval] after the last, when more
//     slots are wanted of a server that it owns, when slots were taken back and
//     can be given to others, or when a crash is to be reported; and only as
//     long as the byte budget allows it.
//  2. A message names the servers that its receiver owns and whose demand has
//     changed, and all others at every second heartbeat. When the byte budget
//     is used up, changes wait for the second heartbeat too. Grants live for
//     four heartbeats, so one lost message is harmless.
//  3. At most one exchange per peer is open. A response counts only for it, and
//     grants are applied only for servers that the request named and that the
//     peer still owns (allocator rule 2).
//  4. The own instance is a holder like the others: its demands go to the owner
//     side in the same goroutine. With a single member that is all there is.
//  5. Deadlines of grants are counted from the monotonic send time, so a step of
//     the wall clock cannot lengthen a grant.
//  6. Each instance also exchanges with one contact outside the slice, without
//     demands, so that revisions and crash reports spread through the fleet.
//  7. A leaving instance gives up its grants, tells every peer, and goes on
//     answering until it stops. Peers then choose other owners.
package exchanger
