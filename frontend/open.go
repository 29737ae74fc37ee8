package frontend

import (
	"maps"
	"slices"
	"sync"
)

// openRequests holds the open requests of all callers and refuses new ones once a
// drain has begun.
type openRequests struct {
	mu       sync.Mutex
	requests map[*pendingRequest]struct{}
	// draining is true once a drain has begun.
	draining bool
	// announced is true once announceDrain was called.
	announced bool
	// cancelled is the cause with which the open requests were cancelled; nil before.
	cancelled error
	// idle is closed when a drain has begun and no request is open. idleClosed
	// is true once it is closed.
	idle       chan struct{}
	idleClosed bool
}

func newOpenRequests() *openRequests {
	return &openRequests{requests: map[*pendingRequest]struct{}{}, idle: make(chan struct{})}
}

// enter adds a request and returns true, unless a drain has begun. If it
// returns true, the caller must call leave when the request ends.
func (o *openRequests) enter(p *pendingRequest) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.draining {
		return false
	}
	o.requests[p] = struct{}{}
	return true
}

// enterDuringDrain is like enter, but also admits requests during a drain until
// no request is open or all were cancelled.
func (o *openRequests) enterDuringDrain(p *pendingRequest) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.idleClosed || o.cancelled != nil {
		return false
	}
	o.requests[p] = struct{}{}
	return true
}

// leave removes a request when its handler is about to return.
func (o *openRequests) leave(p *pendingRequest) {
	p.end()
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.requests, p)
	o.signalIdle()
}

// cancel ends the work of all open requests with cause.
func (o *openRequests) cancel(cause error) {
	o.mu.Lock()
	o.cancelled = cause
	o.mu.Unlock()
	for _, p := range o.pending() {
		p.cancel(cause)
	}
}

// pending returns the open requests.
func (o *openRequests) pending() []*pendingRequest {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Collect(maps.Keys(o.requests))
}

// signalIdle closes idle if a drain has begun and no request is open. The caller
// holds mu.
func (o *openRequests) signalIdle() {
	if o.draining && len(o.requests) == 0 && !o.idleClosed {
		o.idleClosed = true
		close(o.idle)
	}
}

// drain makes enter refuse new requests, and returns a channel that is closed
// when no request is open. It must be called at most once.
func (o *openRequests) drain() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.draining = true
	o.signalIdle()
	return o.idle
}

// announceDrain makes stopping report true before the drain begins.
func (o *openRequests) announceDrain() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.announced = true
}

// isDraining reports whether a drain has begun.
func (o *openRequests) isDraining() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.draining
}

// stopping reports whether a drain has begun or was announced.
func (o *openRequests) stopping() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.draining || o.announced
}
