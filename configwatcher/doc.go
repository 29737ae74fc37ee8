// Package configwatcher keeps the configuration of an instance up to date. It alone
// decides when the configuration is read or watched, keeps how recently the version in
// force was confirmed to be the newest one, and learns of newer versions from peers.
//
// # Usage
//
//	w := configwatcher.New(configwatcher.Config{Source: directory, Apply: apply, Clock: clock, Recorder: recorder, ...})
//	go w.Run(ctx)
//	w.Observe(peer, state) // the state in a message of a peer
//	state := w.State()     // for messages to peers and for decisions
//
// # Rules
//
//  1. A configuration is applied only if its version is higher than that of the one
//     before, whatever its source, so the configuration never reverts (I8).
//  2. The instances that Config.Watches names watch the platform, and confirm the
//     version in force whenever a watch ends without a change. There are several of
//     them, so that one whose watch is silent delays no change.
//  3. The others wait. One that nobody has confirmed its version for some time reads the
//     configuration itself, those with a lower rank earlier. The age of the list of
//     servers plays no part.
//  4. A peer that reports a newer version ends every wait: a pause, a watch or a read is
//     abandoned newsGrace later if it has not delivered that version by then.
//  5. A read that returns an older version than the newest known one is applied if it is
//     an advance, but it counts as failed and is repeated.
//  6. A failed watch confirms nothing, so the configuration is read at once. A watch that
//     fails repeatedly is started less often.
package configwatcher
