// Package coordinator lets one instance schedule the requests of all instances for
// the same backend servers, so that one queue and one account of engine memory
// decide for each of them.
//
// # Usage
//
//	c := coordinator.New(coordinator.Config{Self: self, Conn: conn, Scheduler: scheduler, Members: members, ...})
//	go c.Run(ctx)
//	c.Apply(tables)
//	scheduler.Apply(coordinator.SplitPools(tables))
//	assignment, err := c.Acquire(ctx, work) // implements egretflow.Scheduler
//
// # Rules
//
//  1. SplitPools divides a model pool with many servers into shards by rendezvous
//     hashing. A shard has one coordinator: the first live registered instance,
//     ranked by processor share and then by rendezvous hashing. All instances with
//     the same list of members choose the same one.
//  2. An instance sends its whole state for a shard in each message: the requests
//     that wait for servers, the attempts that run, and the observations that were
//     not acknowledged. A message replaces the one before, so a lost, repeated or
//     reordered datagram does no harm.
//  3. A message is sent at once when a request arrives or ends, again after
//     minResend while the coordinator owes an answer, and every heartbeatInterval
//     while there is any state.
//  4. The coordinator drops the state of an instance that sends nothing for
//     stateLifetime, and releases its attempts. It adopts running attempts that it
//     does not know, so a new coordinator learns within one heartbeat what its
//     servers are used for.
//  5. An assignment is valid for stateLifetime after the request for it was sent,
//     by the clock of the sender. A process that was paused for longer does not
//     use it.
//  6. An instance that gets no answer for failoverTimeout turns to the next
//     coordinator in the ranking, and after maxFailovers to its own scheduler for
//     selfPeriod. Engines refuse what does not fit, so two coordinators of a shard
//     can waste a hold but not overfill an engine.
//  7. The calls of service pools stay with the scheduler of the instance itself.
package coordinator
