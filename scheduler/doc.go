// Package scheduler decides for one instance which requests are admitted and on
// which backend servers they run, within the slots that are granted to the
// instance (5).
//
// All state belongs to the goroutine of Scheduler.Run. The other methods of
// Scheduler send it typed messages and may be called from any goroutine.
//
// # Usage
//
//	s := scheduler.New(scheduler.Config{Instance: "entry-1", Clock: egretflow.SystemClock, Rand: r, Recorder: rec, Checker: chk})
//	go s.Run(ctx)
//	s.Apply(tables)
//	a, err := s.Acquire(ctx, work)
//	if err != nil {
//		return err // a *egretflow.Refusal, or the error of ctx
//	}
//	defer s.Release(egretflow.Release{Attempt: a.Attempt})
//
// # Rules
//
//  1. Each Assignment must be released exactly once. A Release with PrefillOnly
//     may come before: it frees the prefill slot and keeps the decode slots.
//  2. With picker.SharingGrants, work starts only on servers with an unexpired
//     grant (5.3), on the granted slots and the few beyond them that rule 7 of
//     package picker allows. The caller checks Assignment.GrantExpiresAt again
//     immediately before it writes the first byte. Without grants all slots of
//     the tables may be used and GrantExpiresAt is zero.
//  3. If Acquire refuses a retry or a hedge, the refusal has
//     RunStateMayHaveRun, because an earlier attempt of the request may have
//     run. All its other refusals have RunStateNotRun.
package scheduler
