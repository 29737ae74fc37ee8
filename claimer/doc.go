// Package claimer lets a non-idempotent request run at most once (7).
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
//	case outcome != nil: // answer of the first run
//	case clock().After(ticket.RunBy):
//		err = c.NotRun(ctx, ticket)
//	default: // send the request, then
//		err = c.Finish(ctx, ticket, outcome)
//	}
//
// # Rules
//
//  1. A claim is one record in a claim document. The record with the own token
//     is the only proof that the own claim won; an answer that was lost is
//     resolved by looking for that token (7.6).
//  2. A record changes from Claimed to Done, NotRun or Unknown only by the
//     holder of its token. Only a NotRun record can be claimed again, with the
//     next epoch. There is no takeover of a holder that falls silent.
//  3. Every write of a document is conditional on the store revision that was
//     read. Any instance can write any document, so the choice of a committer
//     is only a matter of load (7.5).
//  4. A ticket ends at RunBy. A holder that was paused longer gives it back.
//     RunWindow is shorter than KeepMargin, so the document of a claim cannot
//     be deleted while a ticket on it is valid.
//  5. A version 7 key older than Retention is refused with MayHaveRun, because
//     its document may be deleted. One from the future beyond MaxClockSkew is
//     refused as a bad request.
//  6. A refusal of Begin with NotRun is true whatever happens to its claim
//     afterwards, because only the returned ticket allows a run. A claim that
//     may still take effect is given back in the background.
//  7. An outcome larger than MaxOutcomeBytes is recorded without its body. A
//     retry is then refused with the run state Ran.
package claimer
