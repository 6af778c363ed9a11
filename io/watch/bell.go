package watch

import "sync"

// bell wakes everyone who waits for a change of any group. The zero value is
// ready.
type bell struct {
	mu sync.Mutex
	c  chan struct{}
}

// heard returns a channel that is closed by the next ring.
func (b *bell) heard() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.c == nil {
		b.c = make(chan struct{})
	}
	return b.c
}

func (b *bell) ring() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.c != nil {
		close(b.c)
		b.c = nil
	}
}
