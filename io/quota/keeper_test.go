package quota

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/io/duty"
	"coltsfootloft/io/lease"
	"coltsfootloft/io/mirror"
	"coltsfootloft/io/quota/quotapb"
)

// storeInEra is a store that answers no calls; only its era is known.
type storeInEra struct {
	coltsfootloft.EventStore
	era uint64
}

func (s storeInEra) Era() uint64 { return s.era }

// TestReportCarriesEraAndSettings guards against a keeper that goes on in an earlier era of the store, or
// confirms settings older than those that the store lost, though the hosts that report to it know better.
func TestReportCarriesEraAndSettings(t *testing.T) {
	clock := &fixedClock{now: time.Hour}
	m := &mirror.Mirror{
		Store: storeInEra{era: 2},
		Clock: clock,
		Log:   logr.Discard(),
	}
	l := &Limiter{
		Mirror: m,
		Clock:  clock,
		Duty: &duty.Duty{
			Mirror: m,
			Lease: &lease.Lease{
				Mirror: m,
				Clock:  clock,
			},
		},
		StoreAge: func() time.Duration { return 0 },
	}
	body, err := proto.Marshal(&quotapb.Report{
		StoreEra:         3,
		SettingsEra:      2,
		SettingsRevision: 36,
		SettingsVersion:  12,
	})
	assert.NilError(t, err)
	_, err = l.handle(t.Context(), "other", body)
	assert.NilError(t, err)
	assert.Equal(t, m.Era(), uint64(3))
	assert.Equal(t, m.LatestVersion(), uint64(12))
}
