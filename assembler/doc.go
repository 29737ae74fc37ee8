// Package assembler builds a whole entry instance from its parts.
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
//  2. Without a store the tables of Config are in force for good, and
//     non-idempotent requests are rejected, because nothing can record them.
//  3. Tasks stop in the reverse of their start order: callers are drained while
//     scheduler, grants and claims still work (10.1).
package assembler
