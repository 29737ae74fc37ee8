package relayer

import "sync"

// background runs goroutines that outlive the requests that started them. Unlike
// sync.WaitGroup, it allows Go while Wait runs with a count of 0, which happens
// when shutdown ends a request. Wait returns as soon as no goroutine runs.
type background struct {
	mu    sync.Mutex
	count int
	// idle is closed when count becomes 0. It is nil while no Wait runs.
	idle chan struct{}
}

// Go runs f in its own goroutine.
func (b *background) Go(f func()) {
	b.mu.Lock()
	b.count++
	b.mu.Unlock()
	go func() {
		defer b.done()
		f()
	}()
}

func (b *background) done() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.count--
	if b.count == 0 && b.idle != nil {
		close(b.idle)
		b.idle = nil
	}
}

// Wait waits until no goroutine runs.
func (b *background) Wait() {
	b.mu.Lock()
	if b.count == 0 {
		b.mu.Unlock()
		return
	}
	if b.idle == nil {
		b.idle = make(chan struct{})
	}
	idle := b.idle
	b.mu.Unlock()
	<-idle
}
