package seat

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/stand/opset"
)

// odd are values that another writer may leave under a key of the seats.
func odd() []string {
	return append([]string{
		`{"seats":200000,"domains":1}`, `{"seats":-5}`, `{"seats":1,"domains":1,"changed":true}`,
		`{"host":"h1","run":"9","settle_ms":9223372036854775807}`, `{"settle_ms":-9223372036854775807,"wait_ms":-1}`,
		`{"tokens":{"arima":-1e300,"siparia":1e300}}`, `{"host":"h2","run":"7"}`,
	}, opset.OddValues...)
}

// heldTable returns a table whose host holds one seat, as listed by the store at index 3.
func heldTable(now time.Time) (t *Table, list []coltsfootloft.Entry) {
	t = &Table{
		Host:   "h1",
		Run:    "1",
		Domain: "d1",
		Prefix: prefix,
		Layout: Layout{
			Seats:   1,
			Domains: 1,
		},
	}
	layout := coltsfootloft.NewEntry(prefix+"layout", encodeLayout(t.Layout), 1, "")
	t.SessionOpened("s1", now)
	t.Observe(now, []coltsfootloft.Entry{layout})
	steps := t.Decide(now, []string{"h1"})
	t.StepApplied(now, steps[0], 3)
	return t, []coltsfootloft.Entry{
		layout,
		coltsfootloft.NewEntry(prefix+"1", steps[0].Changes()[1].Value(), 3, ""),
		coltsfootloft.NewEntry(prefix+"1/lock", []byte("h1"), 3, "s1"),
	}
}

// TestOverwrittenSeatIsTakenAgain guards against a seat that nobody uses while its holder lives, after another
// writer has overwritten or removed its record: the lock stays its holder's.
func TestOverwrittenSeatIsTakenAgain(t *testing.T) {
	for _, value := range odd() {
		table, list := heldTable(epoch)
		list[1] = coltsfootloft.NewEntry(prefix+"1", []byte(value), 4, "")
		table.Observe(epoch, list)
		numbers, _ := table.Held(epoch)
		assert.Equal(t, len(numbers), 0, "%.40q", value)
		steps := table.Decide(epoch, []string{"h1", "h2"})
		assert.Equal(t, len(steps), 1, "%.40q", value)
		assert.Equal(t, steps[0].Kind(), Take)
		assert.Equal(t, steps[0].Changes()[1].Version(), uint64(4))
		assert.Assert(t, !steps[0].IsFirstTake() && len(steps[0].Tokens()) == 0, "%.40q", value)
		table.StepApplied(epoch, steps[0], 5)
		now := epoch
		for ; now.Before(epoch.Add(TakeoverWait + TickEvery)); now = now.Add(TickEvery) {
			table.Tick(now)
			numbers, _ = table.Held(now)
			assert.Assert(t, len(numbers) == 0 || now.Sub(epoch) >= TakeoverWait, "%.40q: used after %s", value, now.Sub(epoch))
		}
		table.Tick(now)
		numbers, _ = table.Held(now)
		assert.Equal(t, len(numbers), 1, "%.40q", value)
	}
}

// TestRemovedSeatIsTakenAgain guards against a seat that nobody can take or hand back any more, after another
// writer has removed its record: hosts go on with its last version, which the store refuses.
func TestRemovedSeatIsTakenAgain(t *testing.T) {
	for _, locked := range []bool{true, false} {
		table, list := heldTable(epoch)
		table.Observe(epoch, list)
		gone := []coltsfootloft.Entry{list[0]}
		if locked {
			gone = append(gone, list[2])
		}
		table.Observe(epoch, gone)
		table.Observe(epoch.Add(TakeoverWait), gone)
		steps := table.Decide(epoch.Add(TakeoverWait), []string{"h1"})
		assert.Equal(t, len(steps), 1)
		assert.Equal(t, steps[0].Kind(), Take)
		assert.Equal(t, steps[0].Changes()[1].Version(), uint64(0))
		assert.Assert(t, !steps[0].IsFirstTake())
		assert.Equal(t, steps[0].takeoverWait, TakeoverWait)
	}
}

// TestOddRecordOfFreeSeatIsBounded guards against a seat that its next holder waits for without an end or takes with
// a debt, and against one that is used at once though another host may use it.
func TestOddRecordOfFreeSeatIsBounded(t *testing.T) {
	for _, value := range odd() {
		r := decode([]byte(value))
		assert.Assert(t, r.Wait() >= 0 && r.Wait() <= maxWait, "%.40q: %s", value, r.Wait())
		assert.Assert(t, r.TakeoverWait() >= 0 && r.TakeoverWait() <= maxWait, "%.40q: %s", value, r.TakeoverWait())
		for account, n := range r.Tokens() {
			assert.Assert(t, n >= 0 && n <= maxTokens, "%.40q: %s has %v", value, account, n)
		}
	}
}

// TestOddLayoutIsReplaced guards against a host whose memory ends because a layout names very many seats, and
// against a layout that stays.
func TestOddLayoutIsReplaced(t *testing.T) {
	for _, value := range odd() {
		table, list := heldTable(epoch)
		list[0] = coltsfootloft.NewEntry(prefix+"layout", []byte(value), 4, "")
		table.Observe(epoch, list)
		assert.Assert(t, len(table.seats) <= MaxSeats, "%.40q: %d seats", value, len(table.seats))
		list = list[:1] // the seat was handed back
		table.SeatReleased(epoch, 1)
		table.Observe(epoch, append(list, coltsfootloft.NewEntry(prefix+"1", encode(Record{}), 5, "")))
		if table.layout == table.targetLayout() {
			continue
		}
		steps := table.Decide(epoch, []string{"h1"})
		assert.Equal(t, len(steps), 1, "%.40q", value)
		assert.Equal(t, steps[0].Kind(), ChangeLayout, "%.40q", value)
		assert.Equal(t, steps[0].Changes()[0].Version(), uint64(4), strconv.Itoa(len(steps)))
	}
}
