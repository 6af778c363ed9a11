// Package pause waits: for a time, for a change, or for the end of a context,
// whichever comes first.
package pause

import (
	"context"
	"time"
)

// For waits for a time; false if ctx ended before.
func For(ctx context.Context, limit time.Duration) bool { return Until(ctx, nil, limit) }

// Until waits for a change or for a time; false if ctx ended before. A nil channel
// never changes.
func Until(ctx context.Context, changed <-chan struct{}, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}
