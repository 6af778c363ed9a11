// Package marks derives, from answers of a primary, the position that a replica
// must have applied so that a read there is within its maximum age.
//
// Each answer of the primary carries the position that the primary had applied.
// The answer to a request sent at moment t carries a position that covers every
// write acknowledged before t; the two together are a mark. A read that begins at
// moment r and may be d old is therefore fresh enough on any database that has
// applied the position of a mark sent at r - d or later. The oldest such mark has
// the lowest position and so admits the most replicas.
package marks

import (
	"sync"
	"time"

	"coltsfootloft"
)

// capacity bounds the marks of one group. With one mark per [spacing] they reach
// back 3.2 s, which is more than the greatest maximum age of the users' routes
// (2.5 s).
const (
	capacity = 64
	spacing  = 50 * time.Millisecond
)

// Marks holds the recent marks of one group. The zero value is ready to use. It
// is safe for concurrent use.
type Marks struct {
	mu    sync.Mutex
	epoch uint64
	marks []mark
}

type mark struct {
	sent     time.Duration
	position coltsfootloft.Position
}

// Add records an answer of the primary of the epoch to a request sent at the
// given moment. The caller guarantees that the database was the primary for the
// whole time.
func (m *Marks) Add(epoch uint64, sent time.Duration, p coltsfootloft.Position) {
	if p.IsZero() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if epoch < m.epoch {
		return
	}
	if epoch > m.epoch {
		m.epoch = epoch
		m.marks = m.marks[:0]
	}
	n := len(m.marks)
	if n > 0 && sent-m.marks[n-1].sent < spacing {
		return
	}
	if n == capacity {
		copy(m.marks, m.marks[1:])
		m.marks = m.marks[:n-1]
	}
	m.marks = append(m.marks, mark{
		sent:     sent,
		position: p,
	})
}

// Oldest returns the position of the oldest mark of the epoch that was sent at
// since or later; ok is false if there is none.
func (m *Marks) Oldest(epoch uint64, since time.Duration) (p coltsfootloft.Position, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if epoch != m.epoch {
		return p, false
	}
	for _, k := range m.marks {
		if k.sent >= since {
			return k.position, true
		}
	}
	return p, false
}
