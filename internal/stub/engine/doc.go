// Package engine is a stub of a model engine. It implements the engine part of
// docs/engine-protocol.md and simulates computing time and memory, but runs no
// model.
//
// # Usage
//
//	eng := engine.New(engine.Config{Name: "decode-1", Role: egretflow.RoleDecode, Client: client})
//	srv := &http.Server{Handler: eng, ConnContext: eng.Faults.ConnContext}
//
// # Rules
//
//  1. Requests wait in order of priority and then arrival for a slot and for the
//     memory of their prompt and of max_tokens output tokens, so a running request
//     never runs out of memory. A request that arrives while MaxWaiting requests
//     wait is rejected.
//  2. Prompts are computed one at a time, in order of priority and then arrival,
//     at PrefillTokensPerSecond. Chunks found in the prompt cache are not
//     computed, but at least one token always is.
//  3. Every TokenGap, each running request generates one token. A combined request
//     generates its first token when its prefill ends, an imported request in
//     the next step.
//  4. The result of a prefill request holds its blocks until it has been exported
//     or PrefillRetention has passed. Exports use the link one at a time, in order
//     of arrival. A transfer moves no data: the exporting engine responds when the
//     transfer would have finished.
//  5. A non-streaming request is canceled as soon as its client disconnects. A
//     stream continues when its client disconnects, and can be resumed for
//     StreamRetention after that or after its end. A second reader replaces the
//     first one, whose connection is aborted.
//  6. The load report is updated once per ReportLag and is constant in between.
//  7. A crash loses all state and aborts all connections. The engine then aborts
//     every new connection until RestartAfter has passed (CrashMarker) or the
//     Crash fault ends, and restarts with another remote_engine_id. /faults works
//     throughout.
//
// One timer per engine drives all work. It is set for the next event only while
// there is one, so an idle engine has no goroutine and no timer.
package engine
