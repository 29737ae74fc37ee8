package frontend

import "sync"

// openRequests counts requests in progress and rejects new ones once a drain
// has begun.
type openRequests struct {
	mu     sync.Mutex
	count  int
	closed bool
	// lame says that a drain will begin soon.
	lame bool
	// idle is closed when a drain has begun and no request is left; ended says
	// that it is.
	idle  chan struct{}
	ended bool
}

func newOpenRequests() *openRequests { return &openRequests{idle: make(chan struct{})} }

// enter reports whether a request may start; if so, leave must follow.
func (o *openRequests) enter() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return false
	}
	o.count++
	return true
}

// enterLate reports whether a request may start that ends before the drain does;
// if so, leave must follow.
func (o *openRequests) enterLate() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended {
		return false
	}
	o.count++
	return true
}

func (o *openRequests) leave() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.count--
	o.endIdle()
}

// endIdle ends a drain that has nothing left to wait for. The caller holds mu.
func (o *openRequests) endIdle() {
	if o.closed && o.count == 0 && !o.ended {
		o.ended = true
		close(o.idle)
	}
}

// drain rejects new requests from now on. It must be called once.
func (o *openRequests) drain() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	o.endIdle()
	return o.idle
}

// announce says that a drain will begin soon.
func (o *openRequests) announce() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lame = true
}

// closing reports whether a drain has begun.
func (o *openRequests) closing() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.closed
}

// draining reports whether a drain has begun or was announced.
func (o *openRequests) draining() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.closed || o.lame
}
