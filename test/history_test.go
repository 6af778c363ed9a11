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

// history is what callers were told of their writes.
type history struct {
	mu      sync.Mutex
	acked   map[string]time.Time
	notRun  map[string]bool
	unknown map[string]bool
	errors  map[string]int
	gap     time.Duration
	last    time.Time
}

func newHistory() *history {
	return &history{
		acked:   make(map[string]time.Time),
		notRun:  make(map[string]bool),
		unknown: make(map[string]bool),
		errors:  make(map[string]int),
	}
}

// note takes the outcome of a write.
func (h *history) note(id string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case err == nil:
		now := time.Now()
		if !h.last.IsZero() {
			h.gap = max(h.gap, now.Sub(h.last))
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

// stop counts a stall that has lasted to the end as a gap too.
func (h *history) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.last.IsZero() {
		h.gap = max(h.gap, time.Since(h.last))
	}
}

func (h *history) counts() (acked, notRun, unknown int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.acked), len(h.notRun), len(h.unknown)
}

// write inserts rows through the host until ctx ends, reconnecting when the
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
		h.note(id, err)
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

// check compares what the callers were told with what the group holds.
func (h *history) check(t testing.TB, f *fleet, e *entry) {
	t.Helper()
	c := f.connect(e)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	rows, err := c.Query(ctx, "SELECT id FROM history")
	assert.NilError(t, err)
	ids, err := pgx.CollectRows(rows, pgx.RowTo[string])
	assert.NilError(t, err)
	h.mu.Lock()
	defer h.mu.Unlock()
	held := make(map[string]int)
	for _, id := range ids {
		held[id]++
		assert.Equal(t, held[id], 1, "%s is there twice", id)
		assert.Assert(t, !h.notRun[id], "%s was refused as not run, and ran", id)
	}
	var lost []string
	for id := range h.acked {
		if held[id] == 0 {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost)
	assert.Equal(t, len(lost), 0, "acknowledged writes lost: %v", lost)
}
