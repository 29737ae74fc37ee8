// Package gossiper keeps the membership of the fleet on the platform and passes on
// what single instances have read there, in UDP datagrams.
//
// # Usage
//
//	g := gossiper.New(gossiper.Config{Self: self, Conn: conn, Listener: listener, Store: store, Source: directory, ...})
//	g.Follow(registrar)
//	go g.Run(ctx)
//	directory := g.Directory() // for the registrar
//	members := g.Members()     // live registered instances
//
// # Rules
//
//  1. SlotsPerDomain instances of each failure domain register in the store, under a
//     key of their domain that is written only if it does not exist. Instances with
//     a larger processor share try first. What the fleet stores and reads there
//     grows with its failure domains, not with its instances.
//  2. Registered instances are members. They send each other a message every
//     MemberInterval and after each read of the platform by the one with rank 0,
//     which reads for all.
//  3. Every other instance subscribes to a member, its relay, of its own failure
//     domain where there is one. The relay sends it an update when something has
//     changed and every MemberInterval. An instance whose relay is silent for
//     relayTimeout asks the relay and askedMembers others for an update, and then
//     subscribes to all. What any of them sends counts at once; the first one that
//     answers replaces a relay that does not. Therefore a silent relay delays a change
//     by relayTimeout and a round trip, and costs a few datagrams and no store call. A
//     subscriber that nobody answers reads the store itself until somebody does.
//  4. Subscribers read the configuration and the servers from their relay, from another
//     member if that fails or takes readHedgeDelay, and from the store only if both
//     fail. An instance that the store refuses reads from another member. A
//     configuration is read from instances that have a newer one, if there are any, so
//     that no instance waits for a silent store. A subscriber whose configuration nobody
//     has confirmed for configwatcher.StaleAfter reads the store and reports to its relay,
//     because the store may refuse all members. If that succeeds, it does the same for
//     the servers.
//  5. Each message carries the whole state of its sender and replaces the one
//     before; older ones are ignored. Crash reports are sent at once, crashSends
//     times, and those with several losses every crashRepeatInterval after that. An
//     instance that receives a new one passes it on at once.
//  6. A member that stops says so in its last messages. It stays in the store until
//     its lease is revoked or lapses.
//  7. A member that the store refuses says so in its messages, until a call succeeds.
//     Those that the store answers rank before it: the first one reads for all, and the
//     first one and another of a different failure domain watch the configuration.
//  8. Each message says which version of the configuration its sender has, and how long
//     ago that was known to be the newest one. Members and subscribers state the age of
//     their own reading, relays the age of any, and whose reading it was.
package gossiper
