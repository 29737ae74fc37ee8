// Package frontend serves HTTP requests of callers: the OpenAI-compatible API,
// calls to services, and refusals (4). It also serves the separate interface for
// operators (11).
//
// # Usage
//
//	f := frontend.New(frontend.Config{Relayer: r, Tables: tables, Callers: keys, ...})
//	err := f.Serve(ctx, listener) // returns after the shutdown of (10.1)
//
// # Rules
//
//  1. The API key of a request is checked before its body is read, and the open
//     requests of each caller are limited. So a caller without a valid key uses
//     no memory for bodies, and one with a key a bounded amount (4.4).
//  2. If a request is refused, the run state is in a header and in the error
//     object (4.3).
//  3. Nothing is written to the caller before the first event of the answer is
//     known. So a request that fails before then gets an error status.
//  4. If a streamed answer cannot be completed, it ends with an error event and
//     without [DONE]. If it is handed over, it ends after a complete event (10.1).
package frontend
