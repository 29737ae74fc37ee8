// Package fault injects faults into the stubs of outside systems, for tests and
// experiments.
//
// # Usage
//
// A stub wraps its handler, sets ConnContext on its server, and checks the set
// before each step that a fault can change:
//
//	faults := fault.NewSet(clock)
//	srv := &http.Server{Handler: faults.Handler(mux), ConnContext: faults.ConnContext}
//	if faults.Take(fault.LostAnswer) {
//		panic(http.ErrAbortHandler)
//	}
//
// # Rules
//
//  1. Outage aborts the connection of every request before it is handled.
//  2. Silent permanently blocks all connections that are open when it is set:
//     no more data is delivered in either direction and the connection is not
//     closed. Connections opened later work. If the server does not use
//     ConnContext, only the requests in progress are blocked.
//  3. Stall stops all work while it is active, and Slow multiplies the duration
//     of work by Factor.
//  4. Crash and LostAnswer are applied by the stub itself.
//  5. A fault ends at Until, after Count uses, or with DELETE /faults. A zero
//     Until or Count sets no such limit.
package fault

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/egretflow/egretflow"
)

// Kind names a fault.
type Kind string

// The kinds of faults.
const (
	Stall      Kind = "Stall"
	Slow       Kind = "Slow"
	Crash      Kind = "Crash"
	Silent     Kind = "Silent"
	LostAnswer Kind = "LostAnswer"
	Outage     Kind = "Outage"
)

var kinds = []Kind{Stall, Slow, Crash, Silent, LostAnswer, Outage}

// Fault is one fault, in the format of POST /faults.
type Fault struct {
	Kind Kind
	// Until is when the fault ends; zero for no end.
	Until time.Time `json:",omitzero"`
	// Factor multiplies durations while a Slow fault is active.
	Factor float64 `json:",omitempty"`
	// Count is the number of calls that the fault still affects; zero for no
	// limit.
	Count int `json:",omitempty"`
}

// UnmarshalJSON decodes the fault and returns an error if a field is invalid.
func (f *Fault) UnmarshalJSON(data []byte) error {
	type plain Fault
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return fmt.Errorf("decode fault: %w", err)
	}
	switch {
	case !slices.Contains(kinds, p.Kind):
		return &egretflow.FieldError{Field: "Kind", Reason: fmt.Sprintf("unknown fault %q", p.Kind)}
	case p.Kind == Slow && p.Factor < 1:
		return &egretflow.FieldError{Field: "Factor", Reason: "must be at least 1"}
	case p.Count < 0:
		return &egretflow.FieldError{Field: "Count", Reason: "must not be negative"}
	}
	*f = Fault(p)
	return nil
}

// Set holds the active faults of one stub. It is safe for concurrent use.
type Set struct {
	clock egretflow.Clock

	mu     sync.Mutex
	faults []Fault
	// changed is closed and replaced by a new channel on each Add and Clear.
	changed chan struct{}
	// silence is closed and replaced by a new channel when a Silent fault is
	// added.
	silence  chan struct{}
	onChange []func(f Fault)
}

// NewSet returns a set without faults.
func NewSet(clock egretflow.Clock) *Set {
	return &Set{clock: clock, changed: make(chan struct{}), silence: make(chan struct{})}
}

// OnChange registers f to be called after each change, with the added fault, or
// with the zero Fault after Clear. It must be called before the set is in use.
func (s *Set) OnChange(f func(f Fault)) { s.onChange = append(s.onChange, f) }

// Add activates a fault in addition to those that are already active.
func (s *Set) Add(f Fault) {
	s.mu.Lock()
	if f.Kind == Silent {
		close(s.silence)
		s.silence = make(chan struct{})
	} else {
		s.faults = append(s.faults, f)
	}
	s.notifyLocked()
	s.mu.Unlock()
	for _, call := range s.onChange {
		call(f)
	}
}

// Clear ends all faults. Connections that a Silent fault blocked stay blocked.
func (s *Set) Clear() {
	s.mu.Lock()
	s.faults = nil
	s.notifyLocked()
	s.mu.Unlock()
	for _, call := range s.onChange {
		call(Fault{})
	}
}

func (s *Set) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Active reports whether a fault of the kind is active.
func (s *Set) Active(kind Kind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.findLocked(kind) >= 0
}

// Take reports whether a fault of the kind is active, and decrements its Count
// if that is set. The fault ends when Count reaches zero.
func (s *Set) Take(kind Kind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.findLocked(kind)
	if n < 0 {
		return false
	}
	if s.faults[n].Count > 0 {
		s.faults[n].Count--
		if s.faults[n].Count == 0 {
			s.faults = slices.Delete(s.faults, n, n+1)
		}
	}
	return true
}

// findLocked removes the faults whose Until has passed and returns the index of
// the first fault of the kind, or -1.
func (s *Set) findLocked(kind Kind) int {
	now := s.clock()
	s.faults = slices.DeleteFunc(s.faults, func(f Fault) bool {
		return !f.Until.IsZero() && !now.Before(f.Until)
	})
	return slices.IndexFunc(s.faults, func(f Fault) bool { return f.Kind == kind })
}

// Speed returns the current rate of work: 1 without faults, 0 during a Stall
// fault, and otherwise 1 divided by the factors of all Slow faults. The until
// result is when the next of these faults ends, or zero if none has an end.
func (s *Set) Speed() (rate float64, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.findLocked(Stall)
	rate = 1
	for _, f := range s.faults {
		switch f.Kind {
		case Stall:
			rate = 0
		case Slow:
			rate /= f.Factor
		default:
			continue
		}
		if !f.Until.IsZero() && (until.IsZero() || f.Until.Before(until)) {
			until = f.Until
		}
	}
	return rate, until
}
