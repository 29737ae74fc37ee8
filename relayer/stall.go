package relayer

import (
	"sync"
	"time"

	"github.com/egretflow/egretflow"
)

// stallWatch calls onStall when one wait takes longer than patience. Its timer
// is not set anew for each wait, because a timer per token costs more than the
// rest of the relay: when it fires early, it is set to what is left.
type stallWatch struct {
	clock   egretflow.Clock
	onStall func(w *stallWatch)

	mu       sync.Mutex
	patience time.Duration
	timer    *time.Timer
	// since is the start of the current wait; zero while nothing is awaited.
	since time.Time
	armed bool
}

// newStallWatch returns a watch whose first wait begins now.
func newStallWatch(clock egretflow.Clock, patience time.Duration, onStall func(w *stallWatch)) *stallWatch {
	w := &stallWatch{clock: clock, onStall: onStall, patience: patience, since: clock(), armed: true}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(patience, w.check)
	return w
}

// begin starts a wait.
func (w *stallWatch) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.since = w.clock()
	if !w.armed {
		w.armed = true
		w.timer.Reset(w.patience)
	}
}

// end ends a wait.
func (w *stallWatch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.since = time.Time{}
}

// setPatience changes the patience from the next check on.
func (w *stallWatch) setPatience(patience time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if patience < w.patience {
		w.timer.Reset(patience)
	}
	w.patience = patience
}

// restart begins the current wait anew after onStall found the server at work.
func (w *stallWatch) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed = true
	if !w.since.IsZero() {
		w.since = w.clock()
	}
	w.timer.Reset(w.patience)
}

func (w *stallWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	w.since = time.Time{}
}

func (w *stallWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.since.IsZero() {
		w.armed = false
		return
	}
	left := w.patience - w.clock().Sub(w.since)
	if left <= 0 {
		w.onStall(w)
		return
	}
	w.timer.Reset(left)
}
