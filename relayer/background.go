package relayer

import "sync"

// background runs functions on goroutines of their own. Unlike a
// sync.WaitGroup, it allows that Go is called during Wait: at shutdown a request
// whose caller does not read can outlast the server.
type background struct {
	mu      sync.Mutex
	running int
	ended   *sync.Cond
}

func newBackground() *background {
	b := &background{}
	b.ended = sync.NewCond(&b.mu)
	return b
}

// Go runs f.
func (b *background) Go(f func()) {
	b.mu.Lock()
	b.running++
	b.mu.Unlock()
	go func() {
		defer b.done()
		f()
	}()
}

func (b *background) done() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	b.ended.Broadcast()
}

// Wait returns when nothing runs.
func (b *background) Wait() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.running > 0 {
		b.ended.Wait()
	}
}
