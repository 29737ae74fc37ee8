// Package commander sends commands to the engines of the model pools: orders,
// which set the role and the model of an engine, and drains. Orders carry a
// fencing token, so that an engine can reject those of an earlier lease holder
// (8).
//
// # Usage
//
//	roleLoad := func(pool egretflow.PoolName) (commander.RoleLoad, bool) {
//		u, ok := scheduler.RoleUtilization(pool)
//		return commander.RoleLoad(u), ok
//	}
//	c, err := commander.New(commander.Config{
//		Instance: "entry-1", Store: store, Tables: distributor, Members: tracker.Reachable,
//		Client: &http.Client{Transport: transport}, RoleLoad: roleLoad,
//		Clock: egretflow.SystemClock, Recorder: recorder,
//	})
//	...
//	err = c.Run(ctx)
//
// # Rules
//
//  1. Only the holder of a pool's lease sends commands. The create revision of
//     the lease key is the fencing token; it increases with every holder (8.1).
//  2. The holder writes the desired state to the store before it sends any
//     command that follows from it. The write succeeds only while the holder's
//     lease key exists. A new holder continues from the stored state.
//  3. A command is sent only when the lease lasts longer than CommandTimeout
//     from now. A new holder waits LeaseTTL plus CommandTimeout before it
//     commands engines that do not check the token (8.3).
//  4. Every PollInterval the holder reads the status of all engines. An engine
//     that differs from the desired state, or has a lower token, gets its order
//     again. When an engine has a higher token, the holder gives up the lease.
//  5. A role change starts only when one role has been much busier than the
//     other for MinImbalanceTime, at most once per RoleChangeInterval and never
//     for the last engine of a role. The engine is drained before it gets the
//     new role (8.4).
//  6. An order that loads a model is sent only while fewer than
//     Config.MaxConcurrentLoads engines of the pool load one. Engines that report
//     that they are loading count.
//  7. Only the first two members of the rendezvous ranking for the pool may hold
//     its lease, so that not all instances poll the store.
package commander
