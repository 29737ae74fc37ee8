package scheduler

import (
	"time"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/picker"
)

const (
	// windowShrink is the factor by which a refused or failed call reduces the
	// window.
	windowShrink = 0.8
	// windowGrowth is the number of calls by which the window has grown after as
	// many served calls as it allows at a time.
	windowGrowth = 1.0
	// shrinkInterval is the least time between two reductions. The calls that were
	// running at the first one are refused for the same reason.
	shrinkInterval = 100 * time.Millisecond
	// minWindow is the smallest window. One call at a time shows when the pool
	// serves again.
	minWindow = 1.0
)

// callWindow limits the concurrent calls of this instance to a service pool, by
// additive increase and multiplicative decrease. Other instances fill the queues
// of the same servers; their use changes within milliseconds and is not reported.
// A server with a long queue refuses calls and resets new connections, and a call
// that must not be repeated is lost by a reset. The window therefore shrinks when a
// server refuses or resets a call and grows while calls are served. Calls beyond it
// wait in this instance, where they can be refused in time.
type callWindow struct {
	// size is the number of calls; 0 means no limit.
	size     float64
	shrunkAt time.Time
}

// shrink sets the window to windowShrink times the smaller of the running calls and
// its size, but not below minWindow. A window without a limit has no size, so only
// the running calls count.
func (w *callWindow) shrink(running int, now time.Time) {
	if now.Sub(w.shrunkAt) < shrinkInterval {
		return
	}
	size := float64(running)
	if w.size > 0 {
		size = min(size, w.size)
	}
	w.size, w.shrunkAt = max(minWindow, windowShrink*size), now
}

// grow enlarges the window after a served call if the running calls used it up. A
// window as large as the slots of the pool no longer limits calls.
func (w *callWindow) grow(running, slots int) {
	if w.size == 0 || float64(running)+1 < w.size {
		return
	}
	if w.size += windowGrowth / w.size; w.size >= float64(slots) {
		w.size = 0
	}
}

// free returns how many calls may start when the given number of slots is free.
func (w *callWindow) free(running, slots int) int {
	if w.size == 0 {
		return slots
	}
	return min(slots, max(0, int(w.size)-running))
}

// hasCallWindow reports whether a callWindow limits the calls of the pool.
func (t *task) hasCallWindow(p *pool) bool {
	return t.sharing() == picker.SharingCoordinated && p.picker.Kind() == egretflow.PoolKindService
}

// full reports whether no request can start in the pool.
func (t *task) full(p *pool) bool { return t.fullFor(p, nil) }

// fullFor reports whether work, if any, cannot start in the pool. A retry that
// overlaps the attempt before it takes over its place in the call window.
func (t *task) fullFor(p *pool, work *egretflow.Work) bool {
	running := p.running
	if work != nil && work.Overlaps {
		running--
	}
	return p.picker.Full() || t.hasCallWindow(p) && p.window.free(running, 1) == 0
}

// adjustCallWindow grows or shrinks the window after a call was served, refused or
// failed.
func (t *task) adjustCallWindow(p *pool, o *egretflow.Observation) {
	if !t.hasCallWindow(p) {
		return
	}
	switch o.Kind {
	case egretflow.ObservationServed, egretflow.ObservationErrored:
		p.window.grow(p.running, p.picker.DecodeCapacity())
	case egretflow.ObservationRefused, egretflow.ObservationFailed:
		p.window.shrink(p.running, t.now)
	}
}
