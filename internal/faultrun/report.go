package faultrun

import (
	"fmt"
	"sync"
	"time"

	"github.com/egretflow/egretflow"
)

// allInvariants lists the invariants whose violations the Checker of an
// instance counts.
var allInvariants = []egretflow.Invariant{
	egretflow.InvariantMemoryFreed, egretflow.InvariantAnsweredOnce, egretflow.InvariantWholeAnswer,
	egretflow.InvariantNotRunTrue, egretflow.InvariantAtMostOnce, egretflow.InvariantLeavingServer,
	egretflow.InvariantNoCutOnShutdown, egretflow.InvariantNoRevert, egretflow.InvariantReservedFirst,
	egretflow.InvariantWithinGrant, egretflow.InvariantReleasedOnce,
}

// Violation is one violation of an invariant that a run found.
type Violation struct {
	Invariant egretflow.Invariant
	Detail    string
}

// String returns the invariant and what was observed.
func (v Violation) String() string { return fmt.Sprintf("%s: %s", v.Invariant, v.Detail) }

// Outcome says how a request ended for its caller.
type Outcome string

// Outcomes of requests.
const (
	// OutcomeWhole means that the answer was complete.
	OutcomeWhole Outcome = "Whole"
	// OutcomeRefused means that no try got an answer.
	OutcomeRefused Outcome = "Refused"
	// OutcomeCut means that an answer began but did not complete.
	OutcomeCut Outcome = "Cut"
	// OutcomeCancelled means that the caller cancelled the request.
	OutcomeCancelled Outcome = "Cancelled"
)

// Report is the result of a run. It is safe for concurrent use during the run.
type Report struct {
	mu         sync.Mutex
	Violations []Violation
	// Outcomes counts the requests by their outcome; Resumed counts the tries
	// that continued a stream at another instance.
	Outcomes map[Outcome]int
	Resumed  int
	// Edits counts the accepted edits of the tables.
	Edits int
	// Faults describes the injected faults, with their times since the start.
	Faults []string
	// FreedAfter is the time from the kill of an instance until the backend
	// servers held no resources of its requests.
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

// Found reports whether the run found a violation of the invariant.
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
