// Package scheduler owns admission, placement and grants of one instance (5).
//
// One goroutine owns all state. The methods of Scheduler send it typed messages
// and may be called from any goroutine.
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
//  1. Each Assignment is released exactly once. Release with PrefillOnly may
//     come before it.
//  2. With picker.SharingGrants, work starts only on slots of an unexpired grant
//     (5.3). The caller checks Assignment.GrantExpiresAt again immediately
//     before it writes the first byte. Without peers all slots of the tables
//     may be used and GrantExpiresAt is zero.
//  3. A refusal of Acquire has RunStateNotRun, except for a retry or a hedge:
//     an earlier attempt of the request may have run, so it has
//     RunStateMayHaveRun.
package scheduler
