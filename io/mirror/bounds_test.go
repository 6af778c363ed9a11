package mirror

import (
	"bytes"
	"compress/flate"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/io/mirror/mirrorpb"
)

// TestHistoryKeepsTheLatestSettingsOnly guards against a host that keeps hundreds of versions of
// large settings, each with its decoded form, when the operators change them often.
func TestHistoryKeepsTheLatestSettingsOnly(t *testing.T) {
	m := newMirror(t)
	m.replaceAll([]coltsfootloft.Event{settingsOf(1, 1, 1)}, coltsfootloft.RevisionAt(1, 1))
	const last = historyLength
	for i := uint64(2); i <= last; i++ {
		m.applyAll([]coltsfootloft.Event{settingsOf(i, 1, i)}, coltsfootloft.RevisionAt(1, i))
	}
	assert.Equal(t, len(m.history.changes), 1)
	for _, after := range []uint64{1, 2, last - 1} {
		events, snapshot := m.history.since(coltsfootloft.RevisionAt(1, after))
		assert.Assert(t, !snapshot)
		assert.Equal(t, len(events), 1)
		assert.Equal(t, events[0].Settings.Version, uint64(last))
	}
}

// TestAnswersToPollsAreNotAllKept guards against a host that keeps an answer for each revision
// that another host, or anybody else, says it has.
func TestAnswersToPollsAreNotAllKept(t *testing.T) {
	m := newMirror(t)
	m.RecentlyReached = func() bool { return true }
	m.watching.Store(true)
	m.Store = emptyStore{}
	var events []coltsfootloft.Event
	for i := range uint64(100) {
		events = append(events, registered(string(rune('a'+i%26))+string(rune('a'+i/26)), 1000+i))
	}
	m.applyAll(events, 2000)
	for i := range uint64(200) {
		body, err := proto.Marshal(&mirrorpb.Poll{
			After: 900 + i/2,
			Packs: true,
		})
		assert.NilError(t, err)
		_, err = m.handle(t.Context(), "other", body)
		assert.NilError(t, err)
	}
	assert.Assert(t, len(m.packed.byAfter) <= maxKept, "%d answers", len(m.packed.byAfter))
}

type emptyStore struct{ coltsfootloft.EventStore }

func (emptyStore) Era() uint64 { return 0 }

// TestCutOffPackIsRefused guards against a packed answer that is cut off between two changes and
// decoded as if it had the rest: the host would never learn of them.
func TestCutOffPackIsRefused(t *testing.T) {
	const size = 1 << 16 // of which maxUnpacked is a multiple
	var item []byte
	var err error
	for n := size; len(item) != size; n-- {
		item, err = proto.Marshal(&mirrorpb.Changes{Items: []*mirrorpb.Item{{Value: make([]byte, n)}}})
		assert.NilError(t, err)
	}
	all := bytes.Repeat(item, maxUnpacked/size+1)
	var to bytes.Buffer
	w, err := flate.NewWriter(&to, flate.BestSpeed)
	assert.NilError(t, err)
	_, err = w.Write(all)
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	b, err := proto.Marshal(&mirrorpb.Changes{Packed: to.Bytes()})
	assert.NilError(t, err)
	_, err = decodeChanges(b)
	assert.ErrorContains(t, err, "packed changes over")
}

// TestOddPollsAreAnswered guards against times that overflow.
func TestOddPollsAreAnswered(t *testing.T) {
	m := newMirror(t)
	m.RecentlyReached = func() bool { return false }
	m.Store = emptyStore{}
	for _, wait := range []int64{-1 << 63, -1, 0, 1<<63 - 1} {
		body, err := proto.Marshal(&mirrorpb.Poll{WaitMs: wait})
		assert.NilError(t, err)
		started := time.Now()
		_, err = m.handle(t.Context(), "other", body)
		assert.NilError(t, err)
		assert.Assert(t, time.Since(started) < time.Second)
	}
}

// TestErasThatDoNotExistAreIgnored guards against an era that no revision can hold, in a malformed message
// of another host: all rights of this host would end for good.
func TestErasThatDoNotExistAreIgnored(t *testing.T) {
	m := newMirror(t)
	m.RecentlyReached = func() bool { return false }
	m.Store = emptyStore{}
	for _, era := range []uint64{1 << 20, 1 << 60} {
		body, err := proto.Marshal(&mirrorpb.Poll{Era: era})
		assert.NilError(t, err)
		_, err = m.handle(t.Context(), "other", body)
		assert.NilError(t, err)
		assert.Equal(t, m.Era(), uint64(0))
	}
	m.ObserveEra(coltsfootloft.MaxEra)
	assert.Equal(t, m.Era(), uint64(coltsfootloft.MaxEra))
}

func FuzzDecodeChanges(f *testing.F) {
	plain, err := proto.Marshal(&mirrorpb.Changes{
		Watching: true,
		Items:    []*mirrorpb.Item{{Key: "op/config"}},
	})
	if err != nil {
		f.Fatal(err)
	}
	packed, err := pack(plain)
	if err != nil {
		f.Fatal(err)
	}
	b, err := proto.Marshal(&mirrorpb.Changes{Packed: packed})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte{0x12, 0})
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = decodeChanges(b) })
}

func FuzzHandle(f *testing.F) {
	f.Add([]byte{0x08, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		m := newMirror(t)
		m.RecentlyReached = func() bool { return false }
		m.Store = emptyStore{}
		_, _ = m.handle(t.Context(), "other", b)
		_, _ = m.handleRecall(t.Context(), "other", b)
	})
}
