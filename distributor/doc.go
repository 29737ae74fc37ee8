// Package distributor holds the active revision of the tables at one instance
// and brings new revisions to all instances.
//
// # Usage
//
//	d := distributor.New(distributor.Config{
//		Self: self, Store: store, Peers: peers,
//		Clock: egretflow.SystemClock, Rand: rng, Recorder: recorder, Checker: checker,
//	})
//	d.Subscribe(scheduler.SetTables)
//	go d.Run(ctx)
//	d.SetMembers(members) // again after each change of the list
//
// The messenger calls HandlePull for each pull of a peer and Hint for the
// revision in each exchange.
//
// # Rules
//
//  1. Per failure domain the two live members with the lowest rendezvous rank
//     watch the store (6.2). They also read the small head of the tables every
//     HeadInterval. The head confirms the active revision and reveals a watch
//     that silently stopped.
//  2. An instance that activates a revision tells PushFanout random peers. A
//     pull carries the revision of its sender, so the same message asks for
//     tables and announces them: the side with the lower revision pulls.
//     Store and peers send the audit entries of the missing revisions, from
//     which the tables are made and checked by a checksum. The whole document
//     is read at the start, after a break of the watch, and when entries are
//     missing or do not fit.
//  3. Every AntiEntropyInterval an instance pulls from one peer, in turn a
//     watcher of its failure domain and any member. This repairs lost hints.
//  4. Only a revision higher than the active one is accepted, from any source.
//  5. A revision is confirmed for ConfirmTTL after a read of the store, or the
//     answer of a peer that read the store itself, showed the same revision and
//     edit id. An older revision at such a peer confirms too. Peers count a read
//     for half of ConfirmTTL and do not pass it on further, so two instances
//     cannot confirm each other in an outage.
//  6. An instance starts empty. It reads the store once, asks StartupPeers
//     peers for their revision, pulls the highest, and is ready when these
//     questions are answered or StartupTimeout has passed and it holds tables.
//  7. One goroutine owns the state. Calls to store and peers run in goroutines
//     of their own that send it their results.
package distributor
