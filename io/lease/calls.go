package lease

import "time"

// answerLimit is how long a call may take before it counts as unanswered. The store usually
// answers within 20 ms.
const answerLimit = 300 * time.Millisecond

// calls are the calls to the store since it last answered; 0 stands for none.
type calls struct {
	first   time.Duration // when the first one was sent
	latest  time.Duration // when the latest one was sent
	refused time.Duration // when the latest one that has failed was sent
}

// noteSent records a call to the store, and returns the time.
func (l *Lease) noteSent() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Elapsed()
	if l.calls.first == 0 {
		l.calls.first = now
	}
	l.calls.latest = now
	return now
}

// noteAnswer records the end of a call to the store.
func (l *Lease) noteAnswer(answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answered {
		l.calls = calls{}
		return
	}
	l.calls.refused = l.calls.latest
}

// Unanswered returns when the first and the latest of the calls that the store has not answered
// since its last answer were sent; ok is false if there are none.
func (l *Lease) Unanswered() (first, last time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last = l.calls.refused
	if l.Clock.Elapsed()-l.calls.latest >= answerLimit {
		last = l.calls.latest
	}
	return l.calls.first, last, l.calls.first > 0 && last > 0
}

// RenewNow has the lease renewed at once, in place of the next attempt.
func (l *Lease) RenewNow() {
	select {
	case l.wake() <- struct{}{}:
	default:
	}
}

func (l *Lease) wake() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.again == nil {
		l.again = make(chan struct{}, 1)
	}
	return l.again
}
