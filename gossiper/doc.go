// Package gossiper sends the prefill load that this instance has placed on the
// backend servers to the other instances that share them, in UDP datagrams. The
// messages also carry crash reports and what is known of the platform.
//
// # Usage
//
//	g := gossiper.New(gossiper.Config{Self: self, Conn: conn, Store: store, State: scheduler, Clock: clock, ...})
//	err := g.Run(ctx)
//
// # Rules
//
//  1. Each instance registers its address in the store under a lease, and reads
//     the registrations of the others every ListInterval. The sender of a received
//     message becomes a peer as well.
//  2. A message carries the whole load of its sender and replaces the previous one.
//     It is sent when the load has changed, and every RepeatInterval while there is
//     any, so that a lost datagram does no harm.
//  3. At most MaxDatagramsPerSecond are sent, whatever the number of peers: the
//     interval between two messages grows with that number.
//  4. The contents are hints. Receivers drop a load after one second, and an engine
//     decides itself whether its memory has room for a request.
package gossiper
