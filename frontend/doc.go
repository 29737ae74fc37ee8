// Package frontend is the HTTP interface towards callers: the OpenAI-compatible
// API, service routes, rejections (4), and the separate interface for operators
// (11).
//
// # Usage
//
//	f := frontend.New(frontend.Config{Relayer: r, Tables: tables, Callers: keys, ...})
//	err := f.Serve(ctx, listener) // returns after the shutdown of (10.1)
//
// # Rules
//
//  1. A request is identified before its body is read, and its caller's number
//     of open requests is bounded, so a caller without a key costs no memory and
//     one with a key a bounded amount (4.4).
//  2. Every rejection has a run state, as header and in the error object (4.3).
//  3. Nothing is written to the caller before the first event of the answer is
//     known, so a request that fails until then gets a proper status.
//  4. An answer that cannot be completed ends with an error event and without
//     [DONE]; one that is handed over ends after a complete event (10.1).
package frontend
