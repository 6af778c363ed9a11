package dbase_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/io/dbops"
	"coltsfootloft/stand/dbase"
)

// history runs random writes, partitions and promotions on a group and records the
// acknowledged writes.
type history struct {
	t            *testing.T
	random       *rand.Rand
	names        []string
	servers      map[string]*dbase.Server
	ops          map[string]*dbops.Database
	term         coltsfootloft.Term
	writes       int
	acknowledged []string
}

const historySeed = 20261204

// write commits at a database, and counts the write as acknowledged if a majority
// of the databases acknowledges its position.
func (h *history) write(name string) {
	ctx, cancel := context.WithTimeout(h.t.Context(), time.Second)
	defer cancel()
	c, err := pgx.Connect(ctx, url(h.servers[name], "caroni"))
	if err != nil {
		return
	}
	defer c.Close(context.Background())
	h.writes++
	title := fmt.Sprint("write ", h.writes)
	if _, err := c.Exec(ctx, "INSERT INTO notices (title) VALUES ($1)", title); err != nil {
		return
	}
	var text, offset string
	assert.NilError(h.t, c.QueryRow(ctx, dbops.CommitQuery).Scan(&text, &offset))
	p, err := dbops.ParseCommitPosition([]byte(text), []byte(offset))
	assert.NilError(h.t, err)
	if h.countHolders(p) >= 2 {
		h.acknowledged = append(h.acknowledged, title)
	}
}

// countHolders returns the number of databases that acknowledge a position. It
// waits at most 15 ms for each.
func (h *history) countHolders(p coltsfootloft.Position) int {
	count := 0
	for _, n := range h.names {
		ctx, cancel := context.WithTimeout(h.t.Context(), 15*time.Millisecond)
		r, err := h.ops[n].Status(ctx)
		for err == nil && !r.Acknowledges(p) && ctx.Err() == nil {
			r, err = h.ops[n].Await(ctx, r.Version())
		}
		if err == nil && r.Acknowledges(p) {
			count++
		}
		cancel()
	}
	return count
}

// promote raises the fence to a new term on a majority, or on all databases if
// everyone is set, and promotes the one with the newest record. The others follow
// it: all of them if everyone is set, else a random part.
func (h *history) promote(everyone bool) string {
	h.term = h.term.Next("host")
	majority := slices.Clone(h.names)
	h.random.Shuffle(len(majority), func(i, j int) { majority[i], majority[j] = majority[j], majority[i] })
	if !everyone {
		majority = majority[:2]
	}
	var best string
	var newest coltsfootloft.Position
	for _, n := range majority {
		r, err := h.ops[n].Fence(h.t.Context(), h.term)
		assert.NilError(h.t, err)
		if r.Received().Compare(newest) > 0 {
			best, newest = n, r.Received()
		}
	}
	_, err := h.ops[best].Promote(h.t.Context(), h.term)
	assert.NilError(h.t, err)
	for _, n := range h.names {
		if n != best && (everyone || h.random.IntN(3) > 0) {
			_, err := h.ops[n].Follow(h.t.Context(), h.term, best)
			assert.NilError(h.t, err)
		}
	}
	return best
}

func (h *history) step() {
	switch h.random.IntN(8) {
	case 0:
		h.promote(false)
	case 1:
		i := h.random.IntN(3)
		h.servers[h.names[i]].Cut(h.names[(i+1+h.random.IntN(2))%3])
	case 2:
		h.servers[h.names[h.random.IntN(3)]].Cut("")
	default:
		h.write(h.names[h.random.IntN(3)])
	}
}

// TestRandomHistoriesKeepAcknowledgedWrites runs random histories and then checks
// that all databases are equal and have every acknowledged write.
func TestRandomHistoriesKeepAcknowledgedWrites(t *testing.T) {
	t.Logf("seed %d", historySeed)
	servers := group(t, 2*time.Millisecond)
	h := &history{
		t:       t,
		random:  rand.New(rand.NewPCG(historySeed, 0)),
		names:   []string{"a", "b", "c"},
		servers: servers,
		ops:     operations(t, servers),
		term:    dbase.BootstrapTerm,
	}
	exec(t, connect(t, servers["a"], "caroni"), createNotices)
	for _, n := range h.names {
		awaitReading(t, h.ops[n], n, appliedUpTo(2))
	}
	for range 5 {
		for range 40 {
			h.step()
		}
		h.check()
	}
	assert.Assert(t, len(h.acknowledged) > 20, "only %d acknowledged", len(h.acknowledged))
	t.Logf("%d writes, %d acknowledged, last term %s", h.writes, len(h.acknowledged), h.term)
}

// check ends all partitions, promotes a primary and compares the databases.
func (h *history) check() {
	for _, n := range h.names {
		h.servers[n].Cut("")
	}
	best := h.promote(true)
	r, err := h.ops[best].Status(h.t.Context())
	assert.NilError(h.t, err)
	var first []string
	for _, n := range h.names {
		awaitReading(h.t, h.ops[n], n, func(s coltsfootloft.Reading) bool { return s.Applied() == r.Received() })
		rows, err := connect(h.t, h.servers[n], "caroni").Query(h.t.Context(), "SELECT title FROM notices ORDER BY title")
		assert.NilError(h.t, err)
		titles, err := pgx.CollectRows(rows, pgx.RowTo[string])
		assert.NilError(h.t, err)
		for _, a := range h.acknowledged {
			assert.Assert(h.t, slices.Contains(titles, a), "%s is missing on %s", a, n)
		}
		if first == nil {
			first = titles
		}
		assert.DeepEqual(h.t, titles, first)
	}
}
