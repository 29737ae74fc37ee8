// Package commander sends fenced commands to the engines of the model pools
// (8).
//
// # Usage
//
//	c, err := commander.New(commander.Config{
//		Instance: "entry-1", Store: store, Tables: distributor, Members: tracker.Reachable,
//		Client: &http.Client{Transport: transport}, RoleLoad: scheduler.RoleLoad,
//		Clock: egretflow.SystemClock, Recorder: recorder,
//	})
//	...
//	err = c.Run(ctx)
//
// # Rules
//
//  1. Only the holder of a pool's lease sends commands. The create revision of
//     the lease key is the fencing token; it increases with every holder (8.1).
//  2. The desired state is in the store before any command follows from it, and
//     is written only while the own lease key exists. A new holder continues
//     from it.
//  3. A command is sent only when the lease outlasts the command timeout. A new
//     holder waits LeaseTTL plus CommandTimeout before it commands engines that
//     do not check the token (8.3).
//  4. Every interval the holder reads back all engines. An engine that differs
//     from the desired state, or has a lower token, gets its order again. An
//     engine with a higher token ends the holder's term.
//  5. A role change drains the engine first, and starts only when one role has
//     been much busier than the other for HoldTime, at most once per
//     ChangeInterval and never for the last engine of a role (8.4).
//  6. Orders that load a model are bounded by Config.MaxLoads, counting engines
//     that report that they are loading.
//  7. The members that may hold a lease are the first two of the rendezvous rank
//     for the pool, so that the store is not polled by the whole fleet.
package commander
