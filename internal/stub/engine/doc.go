// Package engine is a stand-in for a model engine. It speaks the engine part of
// docs/engine-protocol.md and models time and memory, but computes no model.
//
// # Usage
//
//	eng := engine.New(engine.Config{Name: "decode-1", Role: egretflow.RoleDecode, Client: client})
//	srv := &http.Server{Handler: eng, ConnContext: eng.Faults.ConnContext}
//
// # Rules
//
//  1. A request waits by priority and arrival for a slot and for the memory of
//     its prompt and of all its tokens, so a running request never runs out of
//     memory. More than MaxWaiting waiting requests are rejected.
//  2. Prompts are computed one at a time, by priority and arrival, at
//     PrefillTokensPerSecond, without the chunks found in the prompt cache. At
//     least one token is computed.
//  3. Running streams get one token each per step of TokenGap. The first token
//     of a combined request comes with the end of its prefill, that of an
//     imported request with the next step.
//  4. The result of a prefill request keeps its blocks until it was exported,
//     or for PrefillKept. Exports share the link in order of arrival. A
//     transfer moves no bytes: the exporting engine answers when the link would
//     have finished.
//  5. A disconnected plain request is cancelled at once. A disconnected stream
//     continues and can be resumed for StreamKept, and so can a finished one.
//     A second reader replaces the first, whose connection is aborted.
//  6. The load report is renewed every ReportLag and not in between.
//  7. A crash loses all state and aborts all connections. The engine aborts
//     every connection until RestartAfter, or until the end of the Crash fault.
//     It continues under another remote_engine_id. /faults works throughout.
//
// All work is driven by one timer per engine, armed for the next event only
// while there is work, so an idle engine has no goroutine and no timer.
package engine
