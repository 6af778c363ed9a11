package mirror

import (
	"context"

	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/io/pause"
)

// watch lists once and then follows the changes, of the store or of a host that
// watches it.
func (m *Mirror) watch(ctx context.Context) {
	pause.Until(ctx, m.hurry, firstList)
	listed := false
	for ctx.Err() == nil {
		if !listed {
			listed = m.list(ctx)
			continue
		}
		from := m.source()
		if from.itself {
			listed = m.watchStore(ctx)
			continue
		}
		m.watches.Store(false)
		if from.host == "" {
			pause.For(ctx, lookAgain)
			continue
		}
		if err := m.follow(ctx, from.host); err != nil && ctx.Err() == nil {
			m.avoid(from.host, err)
		}
	}
}

func (m *Mirror) list(ctx context.Context) bool {
	if err := m.Refresh(ctx); err != nil {
		m.failed(ctx, err)
		return false
	}
	m.Log.Info("store listed", "revision", m.View().Revision, "databases", len(m.View().Upstreams))
	return true
}

// watchStore waits once on the store's own watch; false if all must be listed anew.
func (m *Mirror) watchStore(ctx context.Context) bool {
	events, revision, err := m.Store.Events(ctx, m.View().Revision, watchWait)
	reached := err == nil || errors.Is(err, coltsfootloft.ErrHistory)
	m.reached.Store(reached)
	if reached {
		m.retry = 0
	}
	m.watches.Store(reached)
	switch {
	case errors.Is(err, coltsfootloft.ErrHistory):
		m.Log.Info("history of the store is gone", "revision", m.View().Revision)
		return false
	case err != nil:
		m.failed(ctx, err)
	case len(events) > 0 || revision > m.View().Revision:
		m.applyAll(events, revision)
		m.breathe(ctx)
	}
	return true
}

// breathe lets changes gather, unless one is waited for.
func (m *Mirror) breathe(ctx context.Context) {
	pause.Until(ctx, m.hurry, gather)
}

func (m *Mirror) hasten() {
	select {
	case m.hurry <- struct{}{}:
	default:
	}
}

func (m *Mirror) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	m.retry = min(max(2*m.retry, retryPause), m.Spread(retryMost))
	m.alone = 0
	m.Log.Info("store not answering", "call", "watch", "reason", err.Error(), "revision", m.View().Revision, "again_in", m.retry.String())
	pause.Until(ctx, m.hurry, m.retry)
}
