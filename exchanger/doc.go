// Package exchanger exchanges heartbeats, demands and grants with the peers of
// the slice (3.1, 5.3). The goroutine of [Exchanger.Run] owns the allocator.Owner of
// this instance, the plan of the slice and the schedule of messages.
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
//  1. Each peer of the slice is sent a heartbeat every [HeartbeatInterval]. It is
//     sent one earlier, but not within [EarlyInterval] of the last, if more slots
//     are wanted of a server that it owns, if slots were released and can be
//     granted to others, if prefill work was placed on a server that the last
//     message did not name, or if there is a crash to report. An early heartbeat
//     is sent only if the byte budget allows it.
//  2. A message names the servers that its receiver owns and whose demand has
//     changed, and at every second heartbeat also those without a change. If the
//     byte budget is used up, changes wait for the second heartbeat too. A grant
//     is valid for four heartbeats, so the loss of one message does no harm.
//     Requests and responses also carry the sender's whole prefill work, on
//     servers and in queues, so a peer's view of it is at most one heartbeat old,
//     and half a heartbeat on average.
//  3. At most one request per peer is pending. Only the response to that request
//     is accepted. Grants are applied only for servers that the request named and
//     that the peer still owns (allocator rule 2). A withdrawal of all slots is
//     also applied for servers that the request did not name.
//  4. This instance is a holder like the others: it passes its demands to its
//     allocator.Owner in the same goroutine. A slice with a single member has no
//     other exchange.
//  5. Deadlines of grants are counted from the send time of the request, which
//     follows the monotonic clock, so a step of the wall clock cannot lengthen a
//     grant.
//  6. Each instance also exchanges messages without demands with one contact
//     outside its slice, so that revisions and crash reports spread through the
//     fleet.
//  7. Before the first list of members nobody owns a server and this instance holds
//     no slots: it knows neither its peers nor the servers that are leaving.
//  8. A leaving instance gives up its grants, informs every peer, and keeps
//     answering until it stops. The peers then choose other owners.
package exchanger
