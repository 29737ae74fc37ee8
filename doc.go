// Package egretflow holds the domain types and the interfaces of egretflow, a
// router for large-language-model serving with separate prefill and decode
// pools.
//
// Types that cross a process boundary carry their tags here and check
// themselves when they are decoded. Behaviour that varies is described by the
// interfaces of this package and implemented by the packages below it. The
// numbers in parentheses, such as (5.1), are the rules of docs/design.md.
//
// # Usage
//
// Decode the tables and look up a route:
//
//	var tables egretflow.Tables
//	if err := json.Unmarshal(data, &tables); err != nil {
//		return fmt.Errorf("decode tables: %w", err)
//	}
//	route, err := tables.RouteForModel(caller, "assistant-llm")
//
// # Rules
//
//  1. Every time in state or in a message is an absolute deadline or instant,
//     never a remaining duration.
//  2. Every enum is a string in Pascal case, so that logs, tables and messages
//     show the same word.
//  3. A refusal carries a RunState, and RunStateNotRun is used only where it is
//     certain (4.3).
package egretflow
