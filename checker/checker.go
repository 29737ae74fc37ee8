// Package checker counts and records violations of the invariants of section 1.1 at
// run time.
//
// # Usage
//
//	c := checker.New(instance, clock, recorder, metrics.InvariantViolated)
//	c.Check(egretflow.InvariantAnsweredOnce, answers == 1, request, "second answer")
//
// A violation is recorded as an event and counted. It never changes what the
// instance does.
package checker

import (
	"sync"

	"github.com/egretflow/egretflow"
)

// Checker implements egretflow.Checker. Its methods are safe for concurrent use.
type Checker struct {
	instance    egretflow.InstanceName
	clock       egretflow.Clock
	recorder    egretflow.Recorder
	onViolation func(egretflow.Invariant)

	mu     sync.Mutex
	counts map[egretflow.Invariant]uint64
}

var _ egretflow.Checker = (*Checker)(nil)

// New returns a Checker that records violations with recorder and calls onViolation,
// which may be nil, for each of them.
func New(instance egretflow.InstanceName, clock egretflow.Clock, recorder egretflow.Recorder, onViolation func(egretflow.Invariant)) *Checker {
	return &Checker{
		instance: instance, clock: clock, recorder: recorder, onViolation: onViolation,
		counts: map[egretflow.Invariant]uint64{},
	}
}

// Check implements egretflow.Checker. If holds is false, it counts and records a
// violation of i with detail; request may be empty.
func (c *Checker) Check(i egretflow.Invariant, holds bool, request egretflow.RequestID, detail string) {
	if holds {
		return
	}
	c.mu.Lock()
	c.counts[i]++
	c.mu.Unlock()
	if c.onViolation != nil {
		c.onViolation(i)
	}
	c.recorder.Record(egretflow.Event{
		Name: egretflow.EventInvariantViolated, At: c.clock(), Instance: c.instance, Request: request,
		Fields: []egretflow.EventField{{Key: "invariant", Value: string(i)}, {Key: "detail", Value: detail}},
	})
}

// Count returns the number of violations of one invariant.
func (c *Checker) Count(i egretflow.Invariant) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[i]
}
