// Package cachefollower follows the prefix cache events of the prefill servers
// in the instance's slice and passes them on as observations, so that the picker
// also knows what the requests of other instances stored (5.2).
//
// # Usage
//
//	f := cachefollower.New(cachefollower.Config{Client: client, Sink: scheduler.Observe, ...})
//	go f.Run(ctx)
//	f.SetServers(plan.Servers) // with each new plan of the slice
//
// # Rules
//
//  1. One stream is open per followed server, at most [MaxOpen] in all, and one
//     is started per [TickInterval]. Following is best effort: without events the
//     picker relies on its own placements and the engines' cached_tokens.
//  2. Events are passed on in batches, one observation per server and
//     TickInterval.
//  3. A stream that ends is resumed with Last-Event-ID after a backoff with
//     jitter. One without an event for [IdleTimeout] is resumed as well, because
//     a connection can stop delivering without an error.
//  4. Sequence numbers are passed on unchanged; a gap is seen by the picker,
//     which then trusts its own placements on the server less. Repeated events
//     are dropped.
//  5. A resumed stream that starts at or below the last number, or a refused
//     connection, means that the engine restarted: [CacheEventCleared] with
//     sequence number 0 is passed on before anything else.
//  6. The bytes read are bounded by a token bucket. When it is empty, the server
//     that sent the most is not followed for [RestPeriod].
//
// [CacheEventCleared]: https://pkg.go.dev/github.com/egretflow/egretflow#CacheEventCleared
package cachefollower
