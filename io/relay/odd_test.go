package relay

import (
	"context"
	"math"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/io/boot"
	"coltsfootloft/io/dbpool"
	"coltsfootloft/io/groups"
	"coltsfootloft/io/lease"
	"coltsfootloft/io/mirror"
	"coltsfootloft/io/relay/relaypb"
	"coltsfootloft/platform"
)

// oneDatabase is a store with one database.
type oneDatabase struct{ coltsfootloft.EventStore }

func (oneDatabase) Era() uint64 { return 0 }

func (oneDatabase) Snapshot(context.Context) ([]coltsfootloft.Event, uint64, error) {
	return []coltsfootloft.Event{{
		Kind:     coltsfootloft.EventUpstream,
		Key:      "db-1",
		StoreKey: "db-1",
		Revision: 1,
		Announcement: coltsfootloft.Announcement{
			Upstream: coltsfootloft.NewUpstream("db-1", "a", "127.0.0.1:1"),
			Group:    "notices",
			Slots:    2,
		},
	}}, 1, nil
}

// answering is a database that answers every request until the deadline has passed.
type answering struct {
	coltsfootloft.Session
	database *answeringDatabase
	replies  []coltsfootloft.Reply // to the requests that were sent
	state    coltsfootloft.TxState
}

// answeringDatabase opens sessions.
type answeringDatabase struct {
	requests atomic.Int32 // of all sessions, with marks
	stray    atomic.Bool  // an answer that nobody asked for has arrived
	open     atomic.Int32
}

func (d *answeringDatabase) Open(context.Context, string, string, string, string) (coltsfootloft.Session, coltsfootloft.Position, error) {
	d.open.Add(1)
	return &answering{database: d}, coltsfootloft.Position{}, nil
}

func (a *answering) Queue(coltsfootloft.Command) { a.answer("-") }
func (*answering) Flush(time.Time) error         { return nil }
func (a *answering) Idle() bool                  { return !a.database.stray.Load() }
func (a *answering) Close()                      { a.database.open.Add(-1) }

func (a *answering) Forward(s coltsfootloft.Statement, _ string, _ coltsfootloft.Position) {
	switch s.Verb() {
	case coltsfootloft.VerbBegin, coltsfootloft.VerbBeginRead:
		a.state = coltsfootloft.TxOpen
		a.answer("-")
	default:
		a.answer("d" + strconv.Itoa(int(a.database.requests.Load())))
	}
}

func (a *answering) answer(digest string) {
	a.database.requests.Add(1)
	a.replies = append(a.replies, coltsfootloft.Reply{
		Digest: digest,
		State:  a.state,
	})
}

func (a *answering) Receive(deadline time.Time) (coltsfootloft.Reply, error) {
	if !time.Now().Before(deadline) {
		return coltsfootloft.Reply{}, errors.New("deadline")
	}
	if len(a.replies) == 0 {
		return coltsfootloft.Reply{Digest: "stray"}, nil
	}
	r := a.replies[0]
	a.replies = a.replies[1:]
	return r, nil
}

// answeringPeers answers every call with the same bytes.
type answeringPeers struct {
	coltsfootloft.Peers
	answer []byte
}

func (answeringPeers) Register(string, coltsfootloft.Handler) {}

func (p answeringPeers) Call(context.Context, string, string, []byte) ([]byte, error) {
	return p.answer, nil
}

func newRelay(t *testing.T) *Relay {
	t.Helper()
	m := &mirror.Mirror{
		Store: oneDatabase{},
		Peers: answeringPeers{},
		Clock: boot.Clock{},
		Log:   logr.Discard(),
	}
	m.Register()
	assert.NilError(t, m.Refresh(t.Context()))
	r := &Relay{
		Self:   "h",
		Peers:  answeringPeers{},
		Clock:  boot.Clock{},
		Log:    logr.Discard(),
		Owners: &Owners{Mirror: m},
		Pools: &dbpool.Pools{
			Opener:        &answeringDatabase{},
			RefusalReason: func(error) (coltsfootloft.Reason, bool) { return coltsfootloft.ReasonNone, false },
			Clock:         boot.Clock{},
			Limit:         func(dbpool.Target) int { return 1 },
			Outstanding:   func(dbpool.Target) int { return 1 },
			Log:           logr.Discard(),
			Metrics:       metrics.NewSet(),
		},
		Groups: &groups.Groups{
			Mirror: m,
			Lease: &lease.Lease{
				Mirror: m,
				Clock:  boot.Clock{},
			},
			Clock: boot.Clock{},
		},
		HoldTimeout:    func() time.Duration { return time.Millisecond },
		CheckStatement: platform.CheckStatement,
		CheckCommand:   platform.CheckCommand,
	}
	r.Register()
	return r
}

// TestOddTimesOfOtherHosts guards against times in ms that overflow when they are converted, so that
// a statement gets a deadline in the past, or holds a connection for years.
func TestOddTimesOfOtherHosts(t *testing.T) {
	r := newRelay(t)
	for ms, want := range map[int64]relaypb.Outcome{
		math.MaxInt64:               relaypb.Outcome_OUTCOME_ANSWERED,
		math.MaxInt64/1_000_000 + 1: relaypb.Outcome_OUTCOME_ANSWERED,
		math.MinInt64:               relaypb.Outcome_OUTCOME_LOST,
		0:                           relaypb.Outcome_OUTCOME_LOST,
	} {
		a, _ := r.exchange("other", &relaypb.Exchange{
			Database: "db-1",
			Id:       []byte("a1"),
			Text:     []byte("READ x"),
			Verb:     uint32(coltsfootloft.VerbRead),
			Name:     []byte("x"),
			WaitMs:   max(ms, 1000),
			AnswerMs: ms,
		})
		assert.Equal(t, a.GetOutcome(), want, "%d ms: %s", ms, a.GetText())
		q, _ := r.request(&relaypb.Exchange{AnswerMs: ms}, time.Now())
		assert.Assert(t, time.Until(q.Deadline) <= maxSpan)
	}
}

// TestUnknownReasonsReachNoCaller guards against a reason or state of a later version of this program,
// for which callers got an answer without a word, or that of another reason.
func TestUnknownReasonsReachNoCaller(t *testing.T) {
	for _, a := range []*relaypb.Response{
		{Reason: uint32(coltsfootloft.ReasonInDoubt) + 1},
		{Reason: 256},
		{State: uint32(coltsfootloft.TxFailed) + 1},
		{State: 256},
		{Outcome: 99},
	} {
		if a.GetOutcome() == 0 {
			a.Outcome = relaypb.Outcome_OUTCOME_ANSWERED
		}
		b, err := proto.Marshal(a)
		assert.NilError(t, err)
		r := newRelay(t)
		r.Peers = answeringPeers{answer: b}
		n := &Conn{
			relay:  r,
			target: dbpool.Target{ID: "db-1"},
			owner:  "other",
		}
		_, err = n.Exchange(dbpool.Request{Deadline: time.Now().Add(time.Second)}, time.Now().Add(time.Second), false)
		assert.ErrorContains(t, err, "answer of the keeper")
		assert.Assert(t, !errors.Is(err, dbpool.ErrBusy) && !errors.Is(err, dbpool.ErrDown), "the statement may have run")
	}
}

// FuzzHandle passes arbitrary bytes to the owner of connections as statements of other hosts.
func FuzzHandle(f *testing.F) {
	for _, q := range []*relaypb.Request{
		{Exchange: &relaypb.Exchange{
			Database: "db-1",
			Verb:     99,
			Align:    true,
			Values:   []*relaypb.Value{{}},
			Shape:    &relaypb.Shape{},
			Keep:     true,
			Epoch:    1,
		}},
		{Exchange: &relaypb.Exchange{
			Database: "db-1",
			Id:       []byte("a1"),
			Text:     []byte("BEGIN"),
			Verb:     uint32(coltsfootloft.VerbBegin),
			WaitMs:   9,
			AnswerMs: 9,
			Keep:     true,
		}},
		{Exchange: &relaypb.Exchange{
			Handle:   7,
			AnswerMs: 9,
			Priority: math.MaxUint32,
		}},
		{Drop: &relaypb.Drop{Handle: 7}},
	} {
		b, err := proto.Marshal(q)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		r := newRelay(t)
		_, _ = r.handle(t.Context(), "other", b)
		r.Peers = answeringPeers{answer: b}
		n := &Conn{
			relay: r,
			owner: "other",
		}
		_, _ = n.Exchange(dbpool.Request{Deadline: time.Now().Add(time.Second)}, time.Now().Add(time.Second), false)
	})
}
