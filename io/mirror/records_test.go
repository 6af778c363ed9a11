package mirror

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"coltsfootloft"
	"coltsfootloft/core/leader"
)

func record(number uint64, value string) coltsfootloft.Event {
	return coltsfootloft.Event{
		Kind:     coltsfootloft.EventProxyKey,
		Key:      GroupKey("notices"),
		Revision: coltsfootloft.RevisionAt(1, number),
		Created:  coltsfootloft.RevisionAt(1, 1),
		Value:    []byte(value),
		Deleted:  value == "",
	}
}

// TestLastGoodRecordStays guards against hosts without a primary, and a holder of changes of primary that writes
// at a version which the store refuses, after another writer has overwritten or removed a record.
func TestLastGoodRecordStays(t *testing.T) {
	good := leader.Record{
		Epoch:   3,
		Primary: "db-1",
		Era:     1,
	}
	for _, value := range []string{"", "{", "{}", `{"epoch":4}`, `{"epoch":4,"primary":"db-2","era":2}`} {
		for _, listed := range []bool{false, true} {
			m := newMirror(t)
			m.applyAll([]coltsfootloft.Event{record(5, string(good.Encode()))}, coltsfootloft.RevisionAt(1, 5))
			odd := []coltsfootloft.Event{record(7, value)}
			switch {
			case listed && value == "":
				m.replaceAll(nil, coltsfootloft.RevisionAt(1, 7))
			case listed:
				m.replaceAll(odd, coltsfootloft.RevisionAt(1, 7))
			default:
				m.applyAll(odd, coltsfootloft.RevisionAt(1, 7))
			}
			v := m.View()
			assert.Check(t, cmp.DeepEqual(v.Groups["notices"].Record, good), "%q, listed %t", value, listed)
			o, ok := v.OddRecords["notices"]
			assert.Assert(t, ok && (o.Version == 0) == (value == "") && o.Revision == coltsfootloft.RevisionAt(1, 7), "%q: %+v", value, o)
			m.applyAll([]coltsfootloft.Event{record(8, string(good.Encode()))}, coltsfootloft.RevisionAt(1, 8))
			assert.Equal(t, len(m.View().OddRecords), 0, "%q", value)
		}
	}
}

// TestRecordOfAnEarlierEraIsDropped guards against a primary that is used after a restore because its record is
// missing, or overwritten, in the store that came back.
func TestRecordOfAnEarlierEraIsDropped(t *testing.T) {
	for _, value := range []string{"", "{"} {
		m := newMirror(t)
		m.applyAll([]coltsfootloft.Event{record(5, `{"epoch":3,"primary":"db-1","era":1}`)}, coltsfootloft.RevisionAt(1, 5))
		var listing []coltsfootloft.Event
		if value != "" {
			e := record(0, value)
			e.Revision = coltsfootloft.RevisionAt(2, 3)
			listing = append(listing, e)
		}
		m.replaceAll(listing, coltsfootloft.RevisionAt(2, 4))
		v := m.View()
		assert.Equal(t, len(v.Groups), 0, "%q", value)
		assert.Equal(t, v.NewestRecords()["notices"].Epoch, uint64(3), "%q", value)
	}
}

// TestClosingRecordKeepsItsTime guards against answers of the old primary that are accepted after the next one was
// promoted, because the closing record was written again meanwhile.
func TestClosingRecordKeepsItsTime(t *testing.T) {
	m := newMirror(t)
	clock := m.Clock.(*manualClock) //nolint:forcetypeassert // set by newMirror
	const closing = `{"epoch":3,"primary":"db-1","closing":true,"era":1}`
	seen := clock.Elapsed()
	m.applyAll([]coltsfootloft.Event{record(5, closing)}, coltsfootloft.RevisionAt(1, 5))
	clock.now += time.Second
	m.applyAll([]coltsfootloft.Event{record(6, "{")}, coltsfootloft.RevisionAt(1, 6))
	m.applyAll([]coltsfootloft.Event{record(7, closing)}, coltsfootloft.RevisionAt(1, 7))
	g := m.View().Groups["notices"]
	assert.Equal(t, g.FirstSeen, seen)
	assert.Equal(t, g.Revision, coltsfootloft.RevisionAt(1, 7))
}
