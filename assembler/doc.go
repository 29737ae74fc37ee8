// Package assembler builds a complete instance from its components.
//
// # Usage
//
//	inst, err := assembler.New(assembler.Config{Self: self, Store: store, ...})
//	err = supervisor.Run(ctx, inst.Tasks())
//
// # Rules
//
//  1. Every connection is opened through Config.Dial and accepted from the
//     listeners of Config, so that tests run an instance on an in-memory
//     network.
//  2. Without a store, the tables of Config stay in force until the end, and
//     non-idempotent requests are rejected because they cannot be recorded.
//  3. Tasks stop in the reverse of their start order, so that callers are drained
//     while the scheduler, the grants and the claims still work (10.1).
package assembler
