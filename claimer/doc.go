// Package claimer ensures that a non-idempotent request runs at most once (7).
// An instance claims the idempotency key of a request in the key-value store
// before it sends the request to a backend server.
//
// # Usage
//
//	c, err := claimer.New(claimer.Config{
//		Instance: "entry-1", Store: store, Peers: peers, Members: tracker.Reachable,
//		Clock: egretflow.SystemClock, Rand: rng, Recorder: recorder, Checker: checker,
//	})
//	...
//	go c.Run(ctx)
//
//	ticket, outcome, err := c.Begin(ctx, key, deadline)
//	switch {
//	case err != nil: // a *egretflow.Refusal
//	case outcome != nil: // recorded outcome of an earlier run
//	case clock().After(ticket.RunBy):
//		err = c.MarkNotRun(ctx, ticket)
//	default: // send the request, then
//		err = c.Finish(ctx, ticket, outcome)
//	}
//
// # Rules
//
//  1. A claim is one record in a claim document. An instance holds a key only
//     if the record carries the token of its claim. When the store's response
//     to a write is lost, the instance looks for that token in the record (7.6).
//  2. Only the holder of a record's token changes it from Claimed to Done,
//     NotRun or Unknown. Only a NotRun record can be claimed again, with the
//     next epoch. A claim is never taken over from a holder that does not
//     respond.
//  3. Every write of a document is conditional on the store revision that was
//     read. Any instance can write any document, so the choice of a committer
//     only distributes load (7.5).
//  4. A ticket expires at RunBy. A holder that was paused past RunBy must call
//     MarkNotRun instead of sending the request. TicketLifetime is shorter than
//     RetentionMargin, so the document of a claim cannot be deleted while a
//     ticket for it is valid.
//  5. A version 7 key older than Retention is refused with MayHaveRun, because
//     its document may be deleted. One that is more than MaxClockSkew in the
//     future is refused as a bad request.
//  6. When Begin refuses with the run state NotRun, the request does not run
//     whatever happens to its claim afterwards, because only a returned ticket
//     allows a run. A claim that may still take effect is updated to NotRun in
//     the background.
//  7. An outcome with a body larger than MaxOutcomeBytes is recorded without its
//     body. A retry is then refused with the run state Ran.
package claimer
