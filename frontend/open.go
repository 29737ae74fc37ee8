package frontend

import "sync"

// openRequests counts the open requests of all callers and refuses new ones once
// a drain has begun.
type openRequests struct {
	mu    sync.Mutex
	count int
	// draining is true once a drain has begun.
	draining bool
	// announced is true once announceDrain was called.
	announced bool
	// idle is closed when a drain has begun and no request is open. idleClosed
	// is true once it is closed.
	idle       chan struct{}
	idleClosed bool
}

func newOpenRequests() *openRequests { return &openRequests{idle: make(chan struct{})} }

// enter counts a request and returns true, unless a drain has begun. If it
// returns true, the caller must call leave when the request ends.
func (o *openRequests) enter() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.draining {
		return false
	}
	o.count++
	return true
}

// enterDuringDrain is like enter, but also admits requests during a drain until
// no request is open.
func (o *openRequests) enterDuringDrain() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.idleClosed {
		return false
	}
	o.count++
	return true
}

func (o *openRequests) leave() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.count--
	o.signalIdle()
}

// signalIdle closes idle if a drain has begun and no request is open. The caller
// holds mu.
func (o *openRequests) signalIdle() {
	if o.draining && o.count == 0 && !o.idleClosed {
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
