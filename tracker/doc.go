// Package tracker keeps the members of the fleet and the backend servers that
// must get no new work (9). It combines the platform's list, which lags, with the
// responses that this instance receives from peers.
//
// # Usage
//
//	t := tracker.New(tracker.Config{Self: self, URL: url, Client: client, State: scheduler, ...})
//	go t.Run(ctx)
//	view := t.View()                     // immutable, cheap
//	t.ObserveAnswer(tracker.Answer{...}) // for each response of a peer
//	t.ObserveLoad(report)                // for each load report
//
// # Rules
//
//  1. A member is listed from its first appearance in the list until it is
//     neither in the list nor reachable. A list that cannot be read, or an entry
//     that cannot be decoded, changes nothing. Before the first list the view has
//     only this instance, and View.ListRead is false.
//  2. A member is reachable while its last answer is less than [AnswerLifetime]
//     old. This instance is always listed and reachable.
//  3. An answer with a higher incarnation means that the member restarted:
//     MemberLost and MemberJoined are recorded. Answers of an older incarnation
//     are ignored.
//  4. A member is leaving when the list or its newest answer says so. What the
//     answer says holds until another answer arrives, also if the list differs.
//  5. A backend server gets no new work while the list marks it Leaving, while
//     its newest load report states that it is draining, or once it has been missing
//     in two lists since it was last listed or sent a load report. A list counts
//     only if it was read at least Config.Interval after that report. A server
//     that was never in the list does not become unavailable by missing in it.
//  6. The list is read with conditional requests, and less often when it is
//     large, so that it takes at most [ListBytesPerSecond].
package tracker
