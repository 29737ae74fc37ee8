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
//     capacity does. The capacity of a role is that of one server, learned from
//     own requests, times its servers; prefill servers count for less, because a
//     request has little time to wait for one.
//  2. Roles change only when the pool would then serve noticeably more, and after
//     enough own requests. An engine that is being changed counts in its new
//     role.
//  3. Only the holder of the lease of a pool orders. It takes the lease when there
//     is something to order, renews it before each order, and keeps it for
//     LeaseTTL after the last one, so that two holders never take turns quickly.
//  4. An order names the count of orders that the engine has accepted, so that one
//     that is carried out late changes nothing. What the engine then reports as
//     its role is what counts.
//  5. An engine that is being changed takes no work; peers are told.
package rebalancer
