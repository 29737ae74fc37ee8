// Package relayer carries out assignments: prefill, KV transfer, decode,
// resume, cancel. It passes the tokens of an answer on to the caller (4).
//
// # Usage
//
//	r := relayer.New(relayer.Config{Scheduler: s, Recorder: rec, Checker: chk, Clock: egretflow.SystemClock, Rand: rnd, Dial: dialer.DialContext})
//	result, err := r.Complete(ctx, &relayer.Job{Work: work, Request: req, Pool: pool, Sink: sink})
//
// The error is a *egretflow.Refusal, ErrHandedOver or the cause of ctx. Complete
// passes each token on at most once and in order, and returns nil only after the
// whole answer was passed on.
//
// # Rules
//
//  1. Every assignment is released exactly once. When its work may still run on
//     an engine, the release waits until the engine has acknowledged the abort
//     or drops the stream by itself (4.10).
//  2. A chunk is passed on only when it has the attempt id and the next offset
//     (4.7).
//  3. A broken or stalled stream is resumed over a new connection to the same
//     server; if that fails, another server continues after the text that was
//     passed on (4.8, 4.9).
//  4. Work counts as not run only if no connection to a server was used, or if
//     the server stated it (4.3).
package relayer
