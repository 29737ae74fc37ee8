// Package cachefollower reads the streams of prefix cache events of the prefill
// servers in this instance's slice and passes the events on as observations, so
// that the picker also knows the prefixes that requests of other instances stored
// (5.2).
//
// # Usage
//
//	f := cachefollower.New(cachefollower.Config{Client: client, Observe: scheduler.Observe, ...})
//	go f.Run(ctx)
//	f.SetServers(plan.Servers) // with each new plan of the slice
//
// # Rules
//
//  1. At most one stream is open per server and [MaxOpenStreams] in all, and at
//     most one is started per [TickInterval]. Events are not required: without
//     them the picker relies on this instance's placements and on the
//     cached_tokens that engines report.
//  2. Events are passed on in batches, one observation per server and
//     TickInterval.
//  3. A stream that ends is resumed with Last-Event-ID after a backoff with
//     jitter. One without an event for [IdleTimeout] is resumed as well, because
//     a connection can stop delivering without an error.
//  4. Sequence numbers are passed on unchanged. The picker detects a gap in them
//     and then trusts its knowledge of the server's cache less. Repeated events
//     are dropped.
//  5. When a resumed stream starts at or below the last sequence number, or a
//     connection is refused, the engine has restarted: [CacheEventCleared] with
//     sequence number 0 is passed on before any other event.
//  6. The bytes read are limited by a token bucket. When it is overdrawn, the
//     server that sent the most bytes is not followed for [PausePeriod].
//
// [CacheEventCleared]: https://pkg.go.dev/github.com/egretflow/egretflow#CacheEventCleared
package cachefollower
