// Package distributor holds the active revision of the tables at one instance
// and propagates new revisions from the store to all instances.
//
// # Usage
//
//	d := distributor.New(distributor.Config{
//		Self: self, Store: store, Peers: peers,
//		Clock: egretflow.SystemClock, Rand: rng, Recorder: recorder, Checker: checker,
//	})
//	d.Subscribe(scheduler.Apply)
//	go d.Run(ctx)
//	d.SetMembers(members) // again after each change of the list
//
// The messenger calls HandlePull for each pull request from a peer, and Hint
// with the revision that a peer reports in an exchange.
//
// # Rules
//
//  1. In each failure domain, the two live members with the lowest rendezvous
//     rank watch the store (6.2). Every HeadInterval they also read the head of
//     the tables, a small value. The head confirms the active revision and
//     detects a watch that stopped delivering without an error.
//  2. An instance that activates a revision sends a pull request to PushFanout
//     random peers. A pull request carries the sender's revision, so the same
//     message requests tables and announces them: the side with the lower
//     revision pulls. The store and the peers send the audit entries of the
//     missing revisions. The instance applies them to its tables and verifies
//     the result against a checksum. It reads the whole document at startup,
//     after a watch fails, and when entries are missing or do not apply.
//  3. Every AntiEntropyInterval an instance pulls from one peer, alternating
//     between a watcher of its failure domain and any member. This makes up for
//     lost hints.
//  4. A revision is accepted, from any source, only if it is higher than the
//     active one.
//  5. The active revision is confirmed for ConfirmTTL after a read of the store
//     showed the same revision and edit id, or after a peer that had read the
//     store itself reported them. An older revision at such a peer confirms it
//     too. A peer reports a read of the store as a confirmation for half of
//     ConfirmTTL. An instance does not forward a confirmation it got from a
//     peer, so two instances cannot confirm each other during an outage.
//  6. An instance starts without tables. It reads the store once, asks
//     StartupPeers peers for their revision and pulls the highest one. It is
//     ready once it holds tables and either all of these calls have ended or
//     StartupTimeout has passed.
//  7. One goroutine owns the state. Calls to the store and to peers run in
//     separate goroutines that send it their results.
package distributor
