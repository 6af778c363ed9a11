package watch

import (
	"math/rand/v2"
	"sync"
)

// notifier numbers the changes of all groups and wakes the goroutines that wait
// for one. Sequence numbers belong to an epoch, a random number that identifies
// this run of the process. The zero value is ready to use.
type notifier struct {
	mu       sync.Mutex
	signal   chan struct{}
	epoch    uint64
	sequence uint64
}

// changed returns a channel that is closed at the next change.
func (n *notifier) changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.signal == nil {
		n.signal = make(chan struct{})
	}
	return n.signal
}

// notify wakes all waiting goroutines and returns the sequence number of the
// change.
func (n *notifier) notify() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.signal != nil {
		close(n.signal)
		n.signal = nil
	}
	n.sequence++
	return n.sequence
}

// last returns the epoch and the sequence number of the last change.
func (n *notifier) last() (epoch, sequence uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.epoch == 0 {
		n.epoch = rand.Uint64()
	}
	return n.epoch, n.sequence
}
