// Package rebalancer divides the engines of a model pool between prefill and
// decode so that the pool serves the most requests (8.4).
//
// # Usage
//
//	r := rebalancer.New(rebalancer.Config{Tables: registrar, Rates: scheduler.PoolRates, Engines: engines, ...})
//	err := r.Run(ctx)
//
// # Rules
//
//  1. A pool serves as many requests per second as the role with the lower
//     capacity does. The capacity of a role is its number of servers times the
//     rate of one server, as measured with this instance's requests. That of
//     prefill servers is divided by a headroom factor, because a request has
//     little time to wait for one.
//  2. Roles change only when the pool would then serve noticeably more, and only
//     after enough requests of this instance. An engine that is changing its role
//     counts in the new one.
//  3. Only the holder of a pool's lease sends orders to change roles. An instance
//     acquires the lease when a change is needed and renews it before each order.
//     The lease expires LeaseTTL after the last order, so that holders do not
//     alternate quickly. When the store comes back from an older copy, which has lost the
//     lease, nobody acquires one before the holder of then can't send orders any more.
//  4. An order names the number of orders that the engine has accepted so far, so
//     that an order that arrives late changes nothing. The role of an engine is
//     the one that it reports.
//  5. An engine that is changing its role gets no work; peers are informed.
package rebalancer
