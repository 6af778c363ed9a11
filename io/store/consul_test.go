package store

import (
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/stand/consul"
)

func start(t *testing.T, s *consul.Server) *Consul {
	t.Helper()
	s.Listen = "127.0.0.1:0"
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	c := &Consul{
		Addresses: []string{s.Addr()},
		Timeout:   time.Second,
		Prefix:    "p/",
	}
	t.Cleanup(func() {
		c.Close()
		stop()
		assert.NilError(t, <-done)
		goleak.VerifyNone(t)
	})
	return c
}

func TestApplyIsAllOrNothing(t *testing.T) {
	s := &consul.Server{}
	c, ctx := start(t, s), t.Context()
	v, err := c.Apply(ctx, []coltsfootloft.Change{
		coltsfootloft.Put("a", []byte("1"), 0),
		coltsfootloft.Put("b/ ü?", []byte("2"), 0),
	})
	assert.NilError(t, err)
	_, err = c.Apply(ctx, []coltsfootloft.Change{
		coltsfootloft.Put("a", []byte("x"), v),
		coltsfootloft.Remove("b/ ü?", v+1),
	})
	assert.ErrorIs(t, err, coltsfootloft.ErrConflict)
	entries, index, err := c.List(ctx, "")
	assert.NilError(t, err)
	assert.Equal(t, index, v)
	assert.Equal(t, len(entries), 2)
	assert.Equal(t, entries[0].Key(), "a")
	assert.Equal(t, string(entries[0].Value()), "1")
	assert.Equal(t, entries[1].Key(), "b/ ü?")

	removedAt, err := c.Apply(ctx, []coltsfootloft.Change{
		coltsfootloft.Require("a", v),
		coltsfootloft.Remove("b/ ü?", v),
		coltsfootloft.Require("c", 0),
	})
	assert.NilError(t, err)
	entries, index, err = c.List(ctx, "")
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 1)
	assert.Equal(t, index, removedAt)
	e, err := c.Read(ctx, "b/ ü?")
	assert.NilError(t, err)
	assert.Equal(t, e.Version(), uint64(0))
}

func TestLostAnswerIsUncertainAndTookEffect(t *testing.T) {
	s := &consul.Server{}
	c, ctx := start(t, s), t.Context()
	s.SetFaults(consul.Faults{LoseAnswers: 1})
	_, err := c.Apply(ctx, []coltsfootloft.Change{coltsfootloft.Put("a", []byte("1"), 0)})
	assert.ErrorIs(t, err, coltsfootloft.ErrOutcomeUnknown)
	e, err := c.Read(ctx, "a")
	assert.NilError(t, err)
	assert.Equal(t, string(e.Value()), "1")
}

func TestUnansweredChangeIsUncertain(t *testing.T) {
	s := &consul.Server{}
	c, ctx := start(t, s), t.Context()
	c.Timeout = 50 * time.Millisecond
	s.SetFaults(consul.Faults{Down: consul.Hold})
	_, err := c.Apply(ctx, []coltsfootloft.Change{coltsfootloft.Put("a", nil, 0)})
	assert.ErrorIs(t, err, coltsfootloft.ErrOutcomeUnknown)
	_, err = c.Read(ctx, "a")
	assert.ErrorIs(t, err, coltsfootloft.ErrStoreDown)
}

func TestRefusedConnectionWroteNothing(t *testing.T) {
	s := &consul.Server{}
	c, ctx := start(t, s), t.Context()
	_, err := c.Read(ctx, "a")
	assert.NilError(t, err)
	for range 20 {
		s.SetFaults(consul.Faults{Down: consul.Refuse})
		_, err = c.Apply(ctx, []coltsfootloft.Change{coltsfootloft.Put("a", nil, 0)})
		assert.Assert(t, err != nil)
		_, err = c.Apply(ctx, []coltsfootloft.Change{coltsfootloft.Put("a", nil, 0)})
		assert.ErrorIs(t, err, coltsfootloft.ErrStoreDown)
		s.SetFaults(consul.Faults{})
		e, err := c.Read(ctx, "a")
		assert.NilError(t, err)
		assert.Equal(t, e.Version(), uint64(0))
	}
}

func TestChangeFailsOverFromDeadAddress(t *testing.T) {
	c := start(t, &consul.Server{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	dead := l.Addr().String()
	l.Close()
	c.Addresses = append([]string{dead}, c.Addresses...)
	_, err = c.Apply(t.Context(), []coltsfootloft.Change{coltsfootloft.Put("a", nil, 0)})
	assert.NilError(t, err)
}

func TestRateLimitedChangeWroteNothing(t *testing.T) {
	c := start(t, &consul.Server{WritesPerSecond: 1})
	_, err := c.Apply(t.Context(), []coltsfootloft.Change{coltsfootloft.Put("a", nil, 0)})
	assert.NilError(t, err)
	_, err = c.Apply(t.Context(), []coltsfootloft.Change{coltsfootloft.Put("b", nil, 0)})
	assert.ErrorIs(t, err, coltsfootloft.ErrStoreDown)
}

func TestExpiredSessionReleasesItsLocks(t *testing.T) {
	c, ctx := start(t, &consul.Server{}), t.Context()
	one, err := c.OpenSession(ctx, "one", 200*time.Millisecond)
	assert.NilError(t, err)
	two, err := c.OpenSession(ctx, "two", time.Minute)
	assert.NilError(t, err)
	v, err := c.Apply(ctx, []coltsfootloft.Change{coltsfootloft.Put("seat", []byte("one"), 0).WithLock(one)})
	assert.NilError(t, err)
	_, err = c.Apply(ctx, []coltsfootloft.Change{coltsfootloft.Put("seat", []byte("two"), v).WithLock(two)})
	assert.ErrorIs(t, err, coltsfootloft.ErrConflict)
	assert.NilError(t, c.RenewSession(ctx, one))

	entries, index, err := c.Watch(ctx, "seat", v, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, entries[0].Session(), "")
	assert.ErrorIs(t, c.RenewSession(ctx, one), coltsfootloft.ErrNoSession)
	_, err = c.Apply(ctx, []coltsfootloft.Change{coltsfootloft.Put("seat", []byte("one"), index).WithLock(one)})
	assert.ErrorIs(t, err, coltsfootloft.ErrNoSession)
	_, err = c.Apply(ctx, []coltsfootloft.Change{coltsfootloft.Put("seat", []byte("two"), index).WithLock(two)})
	assert.NilError(t, err)
	assert.NilError(t, c.CloseSession(ctx, two))
	e, err := c.Read(ctx, "seat")
	assert.NilError(t, err)
	assert.Equal(t, e.Session(), "")
}

func TestWatchWaitsForChange(t *testing.T) {
	s := &consul.Server{}
	c, ctx := start(t, s), t.Context()
	v, err := c.Apply(ctx, []coltsfootloft.Change{coltsfootloft.Put("a", nil, 0)})
	assert.NilError(t, err)
	_, index, err := c.Watch(ctx, "", v, 20*time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, index, v)
	go func() {
		time.Sleep(20 * time.Millisecond)
		_, _ = c.Apply(ctx, []coltsfootloft.Change{coltsfootloft.Remove("a", v)})
	}()
	entries, index, err := c.Watch(ctx, "", v, 5*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 0)
	assert.Assert(t, index > v)
	assert.Equal(t, s.Counts().Watches, uint64(2))
}

func TestStaleReads(t *testing.T) {
	s := &consul.Server{}
	c, ctx := start(t, s), t.Context()
	v, err := c.Apply(ctx, []coltsfootloft.Change{coltsfootloft.Put("a", []byte("1"), 0)})
	assert.NilError(t, err)
	time.Sleep(30 * time.Millisecond)
	_, err = c.Apply(ctx, []coltsfootloft.Change{coltsfootloft.Put("a", []byte("2"), v)})
	assert.NilError(t, err)
	s.SetFaults(consul.Faults{ReadLag: 20 * time.Millisecond})
	e, err := c.Read(ctx, "a")
	assert.NilError(t, err)
	assert.Equal(t, string(e.Value()), "1")
	assert.Equal(t, e.Version(), v)
}

func TestHostListLags(t *testing.T) {
	s := &consul.Server{}
	c := start(t, s)
	h := coltsfootloft.NewHost("h1", "d1", "127.0.0.1:7001")
	u := coltsfootloft.NewHost("u1", "d2", "127.0.0.1:7002").AsUpstream()
	s.Register(h)
	s.Register(u)
	time.Sleep(60 * time.Millisecond)
	s.SetFaults(consul.Faults{ListLag: 50 * time.Millisecond})
	s.Register(u.AsLeaving())
	got, err := c.Hosts(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, names(got), []string{h.Name(), u.Name()})
	assert.Assert(t, !got[1].Leaving())
	s.SetFaults(consul.Faults{})
	got, err = c.Hosts(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, got[0], h)
	assert.Equal(t, got[1], u.AsLeaving())

	_, index, err := c.WatchHosts(t.Context(), 0, 0)
	assert.NilError(t, err)
	_, same, err := c.WatchHosts(t.Context(), index, 20*time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, same, index)
	go s.Deregister("u1")
	got, _, err = c.WatchHosts(t.Context(), index, 5*time.Second)
	assert.NilError(t, err)
	assert.DeepEqual(t, names(got), []string{h.Name()})
}

func names(hosts []coltsfootloft.HostRecord) []string {
	var n []string
	for _, h := range hosts {
		n = append(n, h.Name())
	}
	return n
}
