package events_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"coltsfootloft/core/events"
	_ "coltsfootloft/stand/seed"
)

func Example() {
	j := &events.Journal{Clock: clockwork.NewFakeClockAt(time.Unix(0, 0).UTC())}
	j.Record(events.NewEvent(events.Promoted, "no progress of orders-1 for 900ms").Group("orders").Database("orders-2"))
	j.Record(events.NewEvent(events.Routed, "replica covers the token").Session(7).Group("orders").Database("orders-3"))
	for _, e := range j.Find(events.Query{
		Group: "orders",
		Kind:  "promoted",
	}) {
		fmt.Println(e.Kind, e.Database, e.Reason)
	}
	// Output: promoted orders-2 no progress of orders-1 for 900ms
}

// TestFindMatchesUnboundedJournal compares a bounded journal with one that keeps every
// event: queries must return the same events, limited to the newest of each kind.
func TestFindMatchesUnboundedJournal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 5).Draw(t, "size")
		j := &events.Journal{
			Size:  size,
			Clock: clockwork.NewFakeClock(),
		}
		all := &events.Journal{
			Size:  1000,
			Clock: j.Clock,
		}
		for range rapid.IntRange(0, 40).Draw(t, "events") {
			e := events.NewEvent(events.Kind(rapid.IntRange(0, 6).Draw(t, "kind")), "why").
				Session(uint64(rapid.IntRange(0, 2).Draw(t, "session"))).
				Group(rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "group")).
				Trace(rapid.SampledFrom([]string{"", "t"}).Draw(t, "trace"))
			j.Record(e)
			all.Record(e)
		}
		q := events.Query{
			Session: uint64(rapid.IntRange(0, 2).Draw(t, "asked session")),
			Group:   rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "asked group"),
			Limit:   rapid.IntRange(0, 9).Draw(t, "limit"),
		}
		newest := make(map[uint64]bool)
		for _, k := range events.KindNames() {
			for _, e := range all.Find(events.Query{
				Kind:  k,
				Limit: size,
			}) {
				newest[e.Sequence] = true
			}
		}
		var want []events.View
		for _, e := range all.Find(events.Query{}) {
			if newest[e.Sequence] && (q.Session == 0 || q.Session == e.Session) && (q.Group == "" || q.Group == e.Group) {
				want = append(want, e)
			}
		}
		if q.Limit > 0 && len(want) > q.Limit {
			want = want[len(want)-q.Limit:]
		}
		assert.DeepEqual(t, j.Find(q), want)
	})
}

func TestNilJournalDrops(t *testing.T) {
	var j *events.Journal
	j.Record(events.NewEvent(events.Held, "x"))
	assert.Equal(t, len(j.Find(events.Query{})), 0)
}

func BenchmarkNote(b *testing.B) {
	j := &events.Journal{}
	e := events.NewEvent(events.Routed, "replica covers the token").Session(7).Group("orders").Database("orders-3")
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			j.Record(e)
		}
	})
}
