// Package pause provides waits for a duration, a notification or the end of a context,
// whichever comes first.
package pause

import (
	"context"
	"time"
)

// For waits for the duration d. It returns false if ctx ends first.
func For(ctx context.Context, d time.Duration) bool { return Until(ctx, nil, d) }

// Until waits until changed is closed or delivers a value, for timeout at most. It
// returns false if ctx ends first. With a nil channel it waits for the whole timeout.
func Until(ctx context.Context, changed <-chan struct{}, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}
