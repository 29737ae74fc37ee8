// Package faultrun runs a whole fleet of entry instances under random faults in
// virtual time and checks the invariants of section 1.1 from outside.
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
// A soak over many seeds prints the seed of each failure:
//
//	go test ./internal/faultrun -run TestSoak -args -seeds=200 -first=1000
//
// # Rules
//
//  1. The seed determines the fleet, the requests, the faults and their times.
//     The order in which goroutines run at one instant is not determined, so a
//     failure that depends on it may need several runs of its seed.
//  2. All instances, stand-ins and callers are on one pipenet network. A killed
//     instance loses its connections and can open no new ones.
//  3. All faults end at the horizon. Then killed instances are restarted, every
//     request has settleTime to end, and the checks follow.
//  4. What ran is counted in front of the engines and by the service, never
//     taken from an instance.
//  5. After the checks one instance is killed under load, and the time until the
//     engines hold nothing of it is measured (10.2).
package faultrun
