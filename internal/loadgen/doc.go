// Package loadgen sends an open-loop load through the request path of egretflow
// and reports the four measures of docs/design.md section 1.2.
//
// A run starts the entry instances and stand-in backend servers of one policy.
// Runs of different policies with the same seed send the same arrivals. Arrivals
// do not wait for answers, so slow answers do not reduce the load.
//
// # Usage
//
//	scenario, err := loadgen.FindScenario("Vonwiller", "Crest")
//	result, err := loadgen.Run(ctx, loadgen.Config{
//		Scenario: scenario, Policy: picker.PolicyJoint, Instances: 8, Seed: 1,
//	})
//
// # Rules
//
//  1. The arrivals of a scenario depend only on the seed, never on a policy.
//  2. An answer counts only if it is whole: the client compares it with the text
//     that the stand-in must produce for the prompt.
//  3. Goodput counts whole answers that meet the first-token and the mean
//     per-token target of the route.
package loadgen
