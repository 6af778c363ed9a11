package mirror

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"coltsfootloft"
)

// compactedStore has no history after the revision of its listings.
type compactedStore struct {
	coltsfootloft.EventStore
	listings atomic.Int64
}

func (s *compactedStore) Era() uint64 { return 1 }

func (s *compactedStore) Snapshot(context.Context) ([]coltsfootloft.Event, uint64, error) {
	s.listings.Add(1)
	return nil, coltsfootloft.RevisionAt(1, 36), nil
}

func (s *compactedStore) Events(context.Context, uint64, time.Duration) ([]coltsfootloft.Event, uint64, error) {
	return nil, 0, coltsfootloft.ErrCompacted
}

// TestFutileListingsAreNotRepeatedAtOnce guards against a loop of listings and watches without a
// pause: the store does not have the revision that its own listing names.
func TestFutileListingsAreNotRepeatedAtOnce(t *testing.T) {
	s := &compactedStore{}
	m := &Mirror{
		RecentlyReached: func() bool { return true },
		Store:           s,
		Clock:           &manualClock{now: time.Hour},
		Log:             logr.Discard(),
	}
	m.lazyInit()
	m.wakeWatch()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	m.watch(ctx)
	const most = 8 // the first, one at once, and those after 150, 300, 600 ms and so on
	assert.Assert(t, s.listings.Load() <= most, "%d listings in 2 s", s.listings.Load())
}

// TestReportedRevisionIsListed guards against hosts that learn of a new primary seconds late: their watches receive
// nothing, and the only host that knows of it is not the quota keeper, but reports to it.
func TestReportedRevisionIsListed(t *testing.T) {
	s := &compactedStore{}
	m := newMirror(t)
	m.Store = s
	m.replaceAll(nil, coltsfootloft.RevisionAt(1, 35))
	m.ObserveReport(Freshness{Revision: coltsfootloft.RevisionAt(1, 35)})
	time.Sleep(2 * lagTolerance)
	assert.Equal(t, s.listings.Load(), int64(0))
	for range 3 {
		m.ObserveReport(Freshness{Revision: coltsfootloft.RevisionAt(1, 36)})
	}
	time.Sleep(2 * lagTolerance)
	assert.Equal(t, s.listings.Load(), int64(1))
	assert.Equal(t, m.View().Revision, coltsfootloft.RevisionAt(1, 36))
}
