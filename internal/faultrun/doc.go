// Package faultrun runs a fleet of entry instances under random faults in
// virtual time and checks the invariants of section 1.1 from outside the
// instances.
//
// # Usage
//
// Inside a synctest bubble:
//
//	report := faultrun.Run(ctx, faultrun.Options{Seed: 7})
//	for _, v := range report.Violations {
//		t.Errorf("seed %d: %s", 7, v)
//	}
//
// TestSoak runs many seeds and prints the seed of each failure:
//
//	go test ./internal/faultrun -run TestSoak -args -seeds=200 -first=1000
//
// # Rules
//
//  1. The seed determines the fleet, the requests, the faults and their times.
//     The scheduling order of goroutines at the same virtual instant is not
//     determined, so a failure that depends on it may need several runs of its
//     seed to reproduce.
//  2. All instances, stand-ins and callers are on one pipenet network. Killing an
//     instance resets its connections and lets it open no new ones.
//  3. All faults end at the horizon. Then killed instances are restarted, every
//     request has settleTimeout to end, and the checks follow.
//  4. The number of executions is counted by a handler in front of the engines
//     and by the stand-in service, never taken from an instance.
//  5. After the checks one instance is killed under load. The time until the
//     backend servers hold no resources of its requests is measured (10.2).
package faultrun
