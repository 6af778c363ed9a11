package test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"
)

// history records the outcomes of writes that were reported to callers.
type history struct {
	mu         sync.Mutex
	acked      map[string]time.Time
	notRun     map[string]bool
	unknown    map[string]bool
	errors     map[string]int
	longestGap time.Duration
	last       time.Time
}

func newHistory() *history {
	return &history{
		acked:   make(map[string]time.Time),
		notRun:  make(map[string]bool),
		unknown: make(map[string]bool),
		errors:  make(map[string]int),
	}
}

// record records the outcome of a write.
func (h *history) record(id string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case err == nil:
		now := time.Now()
		if !h.last.IsZero() {
			h.longestGap = max(h.longestGap, now.Sub(h.last))
		}
		h.last = now
		h.acked[id] = now
	case detail(err) == "not run":
		h.notRun[id] = true
	default:
		h.unknown[id] = true
	}
	if err != nil {
		h.errors[code(err)+" "+detail(err)]++
	}
}

// finish also counts the time since the last acknowledged write as a gap, in case
// writes stalled until the end.
func (h *history) finish() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.last.IsZero() {
		h.longestGap = max(h.longestGap, time.Since(h.last))
	}
}

func (h *history) counts() (acked, notRun, unknown int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.acked), len(h.notRun), len(h.unknown)
}

// write inserts rows through the host until ctx ends, and reconnects if the
// connection is lost.
func (h *history) write(ctx context.Context, f *fleet, e *entry, writer string, pause time.Duration) {
	var c *pgx.Conn
	defer func() {
		if c != nil {
			c.Close(context.Background())
		}
	}()
	for i := 0; ctx.Err() == nil; i++ {
		if c == nil || c.IsClosed() {
			c = tryConnect(ctx, f, e)
			if c == nil {
				time.Sleep(10 * time.Millisecond)
				continue
			}
		}
		id := fmt.Sprint(writer, "-", i)
		_, err := c.Exec(context.Background(), "INSERT INTO history (id) VALUES ('"+id+"')")
		h.record(id, err)
		time.Sleep(pause)
	}
}

func tryConnect(ctx context.Context, f *fleet, e *entry) *pgx.Conn {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	c, err := pgx.Connect(ctx, f.dsn(e, "alpha.app", "g1"))
	if err != nil {
		return nil
	}
	return c
}

// check compares the reported outcomes with the rows in the database group.
func (h *history) check(t testing.TB, f *fleet, e *entry) {
	t.Helper()
	c := f.connect(e)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	result, err := c.Query(ctx, "SELECT id FROM history")
	assert.NilError(t, err)
	ids, err := pgx.CollectRows(result, pgx.RowTo[string])
	assert.NilError(t, err)
	h.mu.Lock()
	defer h.mu.Unlock()
	rows := make(map[string]int)
	for _, id := range ids {
		rows[id]++
		assert.Equal(t, rows[id], 1, "%s is stored twice", id)
		assert.Assert(t, !h.notRun[id], "%s was refused as not run, but has run", id)
	}
	var lost []string
	for id := range h.acked {
		if rows[id] == 0 {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost)
	assert.Equal(t, len(lost), 0, "acknowledged writes lost: %v", lost)
}
