// Package egretflow holds the domain types and the interfaces of egretflow, a
// router for large-language-model serving with separate prefill and decode
// pools.
//
// Types that are sent to other processes or stored have their encoding tags
// here and are checked when they are decoded. The interfaces of this package are
// implemented by the packages below it. Numbers in parentheses, such as (5.1),
// refer to the rules in docs/design.md.
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
//  1. Times in state and in messages are absolute deadlines or instants, not
//     remaining durations. An exception is LostServer.RemainingMS, because the
//     clocks of instances differ.
//  2. Every enum is a string in Pascal case, so that logs, tables and messages
//     show the same word.
//  3. A refusal carries a RunState. RunStateNotRun is used only if it is certain
//     that the work did not run (4.3).
package egretflow
