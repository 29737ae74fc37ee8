package faultrun

import (
	"fmt"
	"sync"
	"time"

	"github.com/egretflow/egretflow"
)

// allInvariants are those that the Checker of an instance counts.
var allInvariants = []egretflow.Invariant{
	egretflow.InvariantMemoryFreed, egretflow.InvariantAnsweredOnce, egretflow.InvariantWholeAnswer,
	egretflow.InvariantNotRunTrue, egretflow.InvariantAtMostOnce, egretflow.InvariantLeavingServer,
	egretflow.InvariantNoCutOnShutdown, egretflow.InvariantNoRevert, egretflow.InvariantReservedFirst,
	egretflow.InvariantWithinGrant, egretflow.InvariantReleasedOnce,
}

// Violation is one finding of a run.
type Violation struct {
	Invariant egretflow.Invariant
	Detail    string
}

// String names the invariant and what was seen.
func (v Violation) String() string { return fmt.Sprintf("%s: %s", v.Invariant, v.Detail) }

// Outcome says how a request ended for its caller.
type Outcome string

// The outcomes.
const (
	OutcomeWhole     Outcome = "Whole"
	OutcomeRefused   Outcome = "Refused"
	OutcomeCut       Outcome = "Cut"
	OutcomeCancelled Outcome = "Cancelled"
)

// Report is the result of a run. It is safe for concurrent use during the run.
type Report struct {
	mu         sync.Mutex
	Violations []Violation
	// Outcomes counts the requests by their outcome, Resumed those that were
	// continued at another instance.
	Outcomes map[Outcome]int
	Resumed  int
	// Edits counts the accepted edits of the tables.
	Edits int
	// Faults lists what happened to the fleet, with times since the start.
	Faults []string
	// FreedAfter is the time from the death of an instance until the engines
	// held nothing of it.
	FreedAfter time.Duration
}

func newReport() *Report { return &Report{Outcomes: map[Outcome]int{}} }

func (r *Report) violate(i egretflow.Invariant, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Violations = append(r.Violations, Violation{i, fmt.Sprintf(format, args...)})
}

func (r *Report) count(o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Outcomes[o]++
}

func (r *Report) countResumed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Resumed++
}

// Found reports whether a violation of the invariant was found.
func (r *Report) Found(i egretflow.Invariant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range r.Violations {
		if v.Invariant == i {
			return true
		}
	}
	return false
}
