// Package gossiper tells the other instances, by datagrams, what this one uses
// of the backend servers that all of them share.
//
// # Usage
//
//	g := gossiper.New(gossiper.Config{Self: self, Conn: conn, Store: store, State: scheduler, Clock: clock, ...})
//	err := g.Run(ctx)
//
// # Rules
//
//  1. Each instance registers its address in the store under a lease, and reads
//     the registrations of the others every ListInterval. An instance that it
//     hears from is a peer as well.
//  2. A message carries the whole use of its sender and replaces the one before.
//     It is sent when the use has changed, and every RepeatInterval while there
//     is any, so a lost datagram is made up for.
//  3. At most MaxDatagrams are sent per second, whatever the number of peers: the
//     interval between two messages grows with it.
//  4. What is told is a hint. Receivers drop it after a second, and the engines
//     decide about their memory themselves.
package gossiper
