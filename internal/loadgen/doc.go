// Package loadgen drives the request path of egretflow with an open-loop load
// and reports the four measures of docs/design.md section 1.2.
//
// A run starts one fleet per policy, stand-in backend servers and entry
// instances included, and sends the same seeded arrivals to each. Arrivals do
// not wait for answers, so an overloaded fleet is not relieved by slow clients.
//
// # Usage
//
//	scenario, err := loadgen.FindScenario("Vonwiller", "Crest")
//	result, err := loadgen.Run(ctx, loadgen.Config{
//		Scenario: scenario, Policy: "Egretflow", Instances: 8, Seed: 1,
//	})
//
// # Rules
//
//  1. The arrivals of a scenario depend only on the seed, never on a policy.
//  2. An answer counts only when it is whole, which the client checks against
//     the text that the stand-in must produce for the prompt.
//  3. Goodput counts whole answers that meet the first-token and the mean
//     per-token target of the route.
package loadgen
