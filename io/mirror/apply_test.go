package mirror

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"coltsfootloft"
)

// newMirror returns a mirror that is fed by hand.
func newMirror(t *testing.T) *Mirror {
	t.Helper()
	m := &Mirror{
		Clock: &manualClock{now: time.Hour},
		Log:   logr.Discard(),
	}
	m.lazyInit()
	return m
}

func registered(host string, revision uint64) coltsfootloft.Event {
	return coltsfootloft.Event{
		Kind:     coltsfootloft.EventProxyKey,
		Key:      HostKey(host),
		StoreKey: HostKey(host),
		Revision: revision,
		Value:    []byte(`{"domain":"a"}`),
	}
}

// TestEventsBeforeListingAreIgnored guards against a host that is gone and stays in the view: the
// answer of a watch arrives after a later listing, and the watch goes on from that listing.
func TestEventsBeforeListingAreIgnored(t *testing.T) {
	m := newMirror(t)
	m.replaceAll([]coltsfootloft.Event{registered("new", 9)}, 10)
	m.applyAll([]coltsfootloft.Event{registered("gone", 8)}, 8)
	assert.DeepEqual(t, m.View().HostNames(), []string{"new"})
	m.applyAll([]coltsfootloft.Event{registered("next", 11)}, 11)
	assert.DeepEqual(t, m.View().HostNames(), []string{"new", "next"})
}
