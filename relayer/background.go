package relayer

import "sync"

// background counts goroutines that outlive the requests that started them.
// Unlike with a WaitGroup, a request that is cut at shutdown may start one while
// Wait runs; Wait returns at the first moment without any.
type background struct {
	mu    sync.Mutex
	count int
	// idle is closed when count becomes 0; nil while nobody waits.
	idle chan struct{}
}

// Go runs f on its own goroutine.
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

// Wait waits for all goroutines.
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
