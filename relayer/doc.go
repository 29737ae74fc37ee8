// Package relayer executes assignments on backend servers (prefill, KV cache
// transfer, decode, resume and abort) and sends the tokens of the answer to the
// caller (4).
//
// # Usage
//
//	r := relayer.New(relayer.Config{Scheduler: s, Recorder: rec, Checker: chk, Clock: egretflow.SystemClock, Rand: rnd, Dial: dialer.DialContext})
//	result, err := r.Complete(ctx, &relayer.Job{Work: work, Request: req, Pool: pool, Sink: sink})
//
// The error is a *egretflow.Refusal, which wraps ErrHandedOver or the cause of ctx
// if the context ended, or an error of the Sink. Complete sends each token to the
// Sink at most once and in order, and returns nil only after the Sink has received
// the complete answer.
//
// # Rules
//
//  1. Every assignment is released exactly once. If its work may still run on an
//     engine, it is released only after the engine has acknowledged the abort or
//     has had time to drop the unread stream (4.10).
//  2. A chunk is sent to the caller only if it has the id of the attempt and the
//     next offset; otherwise the attempt fails or the repeated chunk is dropped
//     (4.7).
//  3. If a stream breaks or stalls, it is resumed over a new connection to the
//     same server. If that fails, another server continues the answer after the
//     text that the caller has received (4.8, 4.9).
//  4. Work is reported as not run only if no connection to a server was used, or
//     if every server that received it stated that it did not run it (4.3).
package relayer
