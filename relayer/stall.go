package relayer

import (
	"sync"
	"time"

	"github.com/egretflow/egretflow"
)

// stallWatch calls onStall when a wait takes longer than timeout. It does not reset
// its timer for each wait, because one timer per token costs more CPU time than
// the rest of the relaying. Instead, a timer that fires early is reset to the
// remaining time. onStall runs with mu held and must not call methods of w.
type stallWatch struct {
	clock   egretflow.Clock
	onStall func(w *stallWatch)

	mu      sync.Mutex
	timeout time.Duration
	timer   *time.Timer
	// since is the start of the current wait, or of its last restart; zero between
	// waits.
	since time.Time
	// begunAt is the start of the newest wait.
	begunAt time.Time
	// armed is false if the timer fired between two waits, so that begin must reset
	// it.
	armed bool
}

// newStallWatch returns a watch whose first wait starts now.
func newStallWatch(clock egretflow.Clock, timeout time.Duration, onStall func(w *stallWatch)) *stallWatch {
	now := clock()
	w := &stallWatch{clock: clock, onStall: onStall, timeout: timeout, since: now, begunAt: now, armed: true}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(timeout, w.check)
	return w
}

// begin starts a wait.
func (w *stallWatch) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.since = w.clock()
	w.begunAt = w.since
	if !w.armed {
		w.armed = true
		w.timer.Reset(w.timeout)
	}
}

// end ends a wait.
func (w *stallWatch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.since = time.Time{}
}

// setTimeout changes the timeout. A shorter one takes effect for the current wait.
func (w *stallWatch) setTimeout(timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if timeout < w.timeout {
		w.timer.Reset(timeout)
	}
	w.timeout = timeout
}

// restart restarts the current wait after a stall of a server that turned out to be
// working.
func (w *stallWatch) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed = true
	if !w.since.IsZero() {
		w.since = w.clock()
	}
	w.timer.Reset(w.timeout)
}

// stop stops the watch. A check that is still running may call restart later, which
// has no effect then.
func (w *stallWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	w.since = time.Time{}
}

// check is called by the timer. It calls onStall if the current wait has timed out,
// and otherwise resets the timer to the remaining time.
func (w *stallWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.since.IsZero() {
		w.armed = false
		return
	}
	left := w.timeout - w.clock().Sub(w.since)
	if left <= 0 {
		w.onStall(w)
		return
	}
	w.timer.Reset(left)
}
