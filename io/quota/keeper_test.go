package quota

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/io/boot"
	"coltsfootloft/io/duty"
	"coltsfootloft/io/lease"
	"coltsfootloft/io/mirror"
	"coltsfootloft/io/quota/quotapb"
)

// storeInEra is a store of which only a listing and the era are known.
type storeInEra struct {
	coltsfootloft.EventStore
	era uint64
}

func (s storeInEra) Era() uint64 { return s.era }

// Snapshot lists version 12 of the settings, and a keeper.
func (s storeInEra) Snapshot(context.Context) ([]coltsfootloft.Event, uint64, error) {
	revision := coltsfootloft.RevisionAt(s.era, 36)
	return []coltsfootloft.Event{
		{
			Kind:     coltsfootloft.EventSettings,
			Key:      "settings",
			StoreKey: "settings",
			Revision: revision,
			Settings: &coltsfootloft.Settings{
				Version:  12,
				Revision: revision,
				Accounts: map[string]coltsfootloft.Account{"arima": coltsfootloft.NewAccount("arima", 100, 100)},
			},
		},
		{
			Kind:     coltsfootloft.EventProxyKey,
			Key:      mirror.DutyKey("quota-0"),
			StoreKey: mirror.DutyKey("quota-0"),
			Revision: revision,
			Value:    []byte("keeper"),
		},
	}, revision, nil
}

// recordedCalls keeps the body of the latest call to another host, which does not answer.
type recordedCalls struct {
	coltsfootloft.Peers
	body []byte
}

func (*recordedCalls) Register(string, coltsfootloft.Handler) {}

func (r *recordedCalls) Call(_ context.Context, _, _ string, body []byte) ([]byte, error) {
	r.body = body
	return nil, errors.New("no answer")
}

// TestReportStatesEraAndSettings guards against a keeper that can't learn of a new era of the store, or of
// later settings, because the reports of hosts do not state them.
func TestReportStatesEraAndSettings(t *testing.T) {
	clock := &fixedClock{now: time.Hour}
	peers := &recordedCalls{}
	m := &mirror.Mirror{
		Store: storeInEra{era: 2},
		Peers: peers,
		Clock: clock,
		Log:   logr.Discard(),
	}
	m.Register()
	assert.NilError(t, m.Refresh(t.Context()))
	l := &Limiter{
		Mirror: m,
		Clock:  clock,
		Peers:  peers,
		Log:    logr.Discard(),
		Duty: &duty.Duty{
			Name:   "quota-0",
			Mirror: m,
		},
	}
	l.lazyInit()
	l.report(t.Context(), false)
	var r quotapb.Report
	assert.NilError(t, proto.Unmarshal(peers.body, &r))
	assert.Equal(t, r.GetStoreEra(), uint64(2))
	assert.Equal(t, coltsfootloft.RevisionAt(2, r.GetStoreRevision()), m.View().Revision)
	assert.Equal(t, r.GetSettingsEra(), uint64(2))
	assert.Equal(t, r.GetSettingsRevision(), uint64(36))
	assert.Equal(t, r.GetSettingsVersion(), uint64(12))
}

// TestReportCarriesEraAndSettings guards against a keeper that goes on in an earlier era of the store, or
// confirms settings older than those that the store lost, though hosts report later ones.
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

// changedStore has changed since it was listed.
type changedStore struct{ storeInEra }

func (s changedStore) Snapshot(ctx context.Context) ([]coltsfootloft.Event, uint64, error) {
	events, revision, err := s.storeInEra.Snapshot(ctx)
	return events, revision + 1, err
}

// TestKeeperListsWhatAReportIsAheadOf guards against a keeper, and all hosts that ask it, without a revision of the store
// that only another host has seen.
func TestKeeperListsWhatAReportIsAheadOf(t *testing.T) {
	l, _ := newKeeper(t)
	l.Mirror.Store = changedStore{storeInEra{era: 1}}
	ahead := coltsfootloft.RevisionAt(1, 37)
	assert.Assert(t, l.Mirror.View().Revision < ahead)
	body, err := proto.Marshal(&quotapb.Report{
		StoreEra:      1,
		StoreRevision: coltsfootloft.NumberOf(ahead),
	})
	assert.NilError(t, err)
	_, err = l.handle(t.Context(), "other", body)
	assert.NilError(t, err)
	for deadline := time.Now().Add(3 * time.Second); l.Mirror.View().Revision < ahead; {
		assert.Assert(t, time.Now().Before(deadline), "not listed")
		time.Sleep(10 * time.Millisecond)
	}
}

// TestLateReportChangesNothing guards against a keeper that takes a report which was held up for the
// latest one, and grants to others what the host still uses.
func TestLateReportChangesNothing(t *testing.T) {
	clock := &fixedClock{now: time.Hour}
	m := &mirror.Mirror{
		Store: storeInEra{era: 1},
		Peers: &recordedCalls{},
		Clock: clock,
		Log:   logr.Discard(),
	}
	m.Register()
	assert.NilError(t, m.Refresh(t.Context()))
	l := &Limiter{
		Mirror: m,
		Clock:  clock,
		Log:    logr.Discard(),
		Duty:   &duty.Duty{Mirror: m},
	}
	report := func(host string, run, number uint64, demand float64) float64 {
		g := l.grants(host, &quotapb.Report{
			Run:    run,
			Number: number,
			Lines: []*quotapb.Line{{
				Account: "arima",
				Demand:  demand,
			}},
		})
		if len(g) == 0 {
			return 0
		}
		return g[0].GetRate()
	}
	limit := report("a", 7, 2, 100)
	assert.Assert(t, limit > 0)
	report("a", 7, 1, 0)
	assert.Equal(t, report("b", 8, 1, 100), 0.0, "all of it is in use at a")
	// A new process of a holds nothing, and a report of the one before it is late.
	again := report("a", 9, 1, 100)
	assert.Assert(t, again > 0)
	report("a", 7, 3, 0)
	assert.Equal(t, report("b", 8, 2, 100), limit-again, "the rest is in use at the new process of a")
}

// TestAwaitKeeperEndsWithFirstAnswer guards against a host that has just started and refuses operations
// as over their rate before any keeper has answered it, and against one that waits for a keeper again later.
func TestAwaitKeeperEndsWithFirstAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &Limiter{
			Mirror: &mirror.Mirror{Clock: boot.Clock{}},
			Clock:  &fixedClock{now: time.Hour},
			Log:    logr.Discard(),
		}
		l.lazyInit()
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		defer cancel()
		l.AwaitKeeper(ctx)
		assert.ErrorIs(t, ctx.Err(), context.DeadlineExceeded)
		const answerAfter = 200 * time.Millisecond
		go func() {
			time.Sleep(answerAfter)
			l.applyGrants(time.Hour, &quotapb.Grants{Keeper: true})
		}()
		for _, expected := range []time.Duration{answerAfter, 0} {
			started := time.Now()
			l.AwaitKeeper(t.Context())
			assert.Equal(t, time.Since(started), expected)
		}
	})
}
