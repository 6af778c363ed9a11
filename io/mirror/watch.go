package mirror

import (
	"context"

	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/io/pause"
)

// watch lists the store once and then applies changes, from the store or from a host that
// watches it.
func (m *Mirror) watch(ctx context.Context) {
	pause.Until(ctx, m.wake, firstListDelay)
	listed := false
	for ctx.Err() == nil {
		if !listed {
			listed = m.list(ctx)
			continue
		}
		src := m.chooseSource()
		if src.direct {
			listed = m.watchStore(ctx)
			continue
		}
		m.watching.Store(false)
		if src.host == "" {
			pause.For(ctx, sourceRetryDelay)
			continue
		}
		if err := m.follow(ctx, src.host); err != nil && ctx.Err() == nil {
			m.avoid(src.host, err)
		}
	}
}

func (m *Mirror) list(ctx context.Context) bool {
	if err := m.Refresh(ctx); err != nil {
		m.backOff(ctx, err)
		return false
	}
	m.Log.Info("store listed", "era", m.Store.Era(), "revision", m.View().Revision, "databases", len(m.View().Upstreams))
	return true
}

// watchStore makes one long poll of the store. It returns false if the store must be
// listed again because it no longer has the history.
func (m *Mirror) watchStore(ctx context.Context) bool {
	events, revision, err := m.Store.Events(ctx, m.View().Revision, watchTimeout)
	reached := err == nil || errors.Is(err, coltsfootloft.ErrCompacted)
	m.reached.Store(reached)
	m.watching.Store(reached)
	if err == nil {
		m.retryDelay = 0
	}
	switch {
	case errors.Is(err, coltsfootloft.ErrCompacted):
		m.Log.Info("store no longer has the history", "era", m.Store.Era(), "revision", m.View().Revision)
		m.pauseIfCompactedAgain(ctx, err)
		return false
	case err != nil:
		m.backOff(ctx, err)
	case len(events) > 0 || revision > m.View().Revision:
		m.applyAll(events, revision)
		m.awaitBatch(ctx)
	}
	return true
}

// pauseIfCompactedAgain waits if the listing after the latest such answer has not brought the
// view further: another one will hardly do so at once.
func (m *Mirror) pauseIfCompactedAgain(ctx context.Context, err error) {
	revision := m.View().Revision
	if m.compactedAt == revision {
		m.backOff(ctx, err)
	}
	m.compactedAt = revision
}

// awaitBatch lets changes accumulate, unless Await needs one.
func (m *Mirror) awaitBatch(ctx context.Context) {
	pause.Until(ctx, m.wake, batchDelay)
}

// wakeWatch ends a delay of the watch loop.
func (m *Mirror) wakeWatch() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// backOff waits after a failed call of the watch loop, with an exponential delay.
func (m *Mirror) backOff(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	m.retryDelay = min(max(2*m.retryDelay, minRetryDelay), m.MaxRetryDelay(maxRetryDelay))
	m.noSourceSince = 0
	m.Log.Info("store not answering", "call", "watch", "reason", err.Error(), "revision", m.View().Revision, "again_in", m.retryDelay.String())
	pause.Until(ctx, m.wake, m.retryDelay)
}
