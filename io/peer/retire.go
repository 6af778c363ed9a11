package peer

import (
	"context"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// retireDuty is the duty of opening no more calls on the link on which it is called. Its answer
	// comes behind all calls of that side.
	retireDuty = "retire"
	// retireTimeout bounds the wait for that answer.
	retireTimeout = time.Second
)

// giveUp makes the other side of a link open no more calls on it. A refusal by yamux alone would also
// hit calls that were sent before the other side learned of it, and their callers could not tell whether
// they were handled. It ends a call of the link, which its caller has counted.
func (l *Links) giveUp(k *link) {
	defer l.group.Done()
	defer k.calls.Add(-1)
	ctx, cancel := context.WithTimeout(l.base, retireTimeout)
	defer cancel()
	if s, err := k.session.OpenStream(); err == nil {
		k.notify()
		_, _ = l.exchange(ctx, k, s, retireDuty, nil) // hosts of earlier versions don't know the duty
		_ = s.Close()
	}
	_ = k.session.GoAway()
}

// open opens the stream of a call. It fails with yamux.ErrRemoteGoAway if the other side takes no more.
func (k *link) open() (*yamux.Stream, error) {
	k.opening.RLock()
	defer k.opening.RUnlock()
	if k.isRetired {
		return nil, yamux.ErrRemoteGoAway
	}
	return k.session.OpenStream()
}

// serveRetire handles a call of retireDuty. After it no call is opened on the link.
func (l *Links) serveRetire(k *link) {
	k.opening.Lock()
	k.isRetired = true
	k.opening.Unlock()
	l.retire(k)
}
