// Package checker counts violations of the invariants of section 1.1 at run
// time.
//
// # Usage
//
//	c := checker.New(instance, clock, recorder, metrics.InvariantViolated)
//	c.Check(egretflow.InvariantAnsweredOnce, answers == 1, request, "second answer")
//
// A violation never changes what the instance does: it is recorded as an event
// and counted.
package checker

import (
	"sync"

	"github.com/egretflow/egretflow"
)

// Checker implements egretflow.Checker.
type Checker struct {
	instance egretflow.InstanceName
	clock    egretflow.Clock
	recorder egretflow.Recorder
	onCount  func(egretflow.Invariant)

	mu     sync.Mutex
	counts map[egretflow.Invariant]uint64
}

var _ egretflow.Checker = (*Checker)(nil)

// New returns a Checker that reports violations to recorder and calls onCount,
// which may be nil, for each of them.
func New(instance egretflow.InstanceName, clock egretflow.Clock, recorder egretflow.Recorder, onCount func(egretflow.Invariant)) *Checker {
	return &Checker{
		instance: instance, clock: clock, recorder: recorder, onCount: onCount,
		counts: map[egretflow.Invariant]uint64{},
	}
}

// Check implements egretflow.Checker.
func (c *Checker) Check(i egretflow.Invariant, holds bool, request egretflow.RequestID, detail string) {
	if holds {
		return
	}
	c.mu.Lock()
	c.counts[i]++
	c.mu.Unlock()
	if c.onCount != nil {
		c.onCount(i)
	}
	c.recorder.Record(egretflow.Event{
		Name: egretflow.EventInvariantViolated, At: c.clock(), Instance: c.instance, Request: request,
		Fields: []egretflow.EventField{{Key: "invariant", Value: string(i)}, {Key: "detail", Value: detail}},
	})
}

// Count returns the violations of one invariant.
func (c *Checker) Count(i egretflow.Invariant) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[i]
}
