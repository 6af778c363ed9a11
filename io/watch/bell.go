package watch

import (
	"math/rand/v2"
	"sync"
)

// bell numbers the changes of all groups, and wakes everyone who waits for one.
// Numbers count within an epoch, which is unique to this run. The zero value is
// ready.
type bell struct {
	mu       sync.Mutex
	c        chan struct{}
	epoch    uint64
	sequence uint64
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

// ring returns the number of the change.
func (b *bell) ring() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.c != nil {
		close(b.c)
		b.c = nil
	}
	b.sequence++
	return b.sequence
}

// last returns the epoch and the number of the last change.
func (b *bell) last() (epoch, sequence uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.epoch == 0 {
		b.epoch = rand.Uint64()
	}
	return b.epoch, b.sequence
}
