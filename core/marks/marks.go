// Package marks turns answers of a primary into proof of how fresh a read is.
//
// An answer of the primary carries the position that it had applied. A request
// that was sent at moment t was answered with a position that covers every write
// acknowledged before t. A read that may be d old and began at moment r is
// therefore fresh enough on any database that has applied the position of a mark
// sent at r - d or later; the oldest such mark asks least of a replica.
package marks

import (
	"sync"
	"time"

	"coltsfootloft"
)

// capacity bounds the marks of one group: with a mark each [spacing] they reach
// back 3.2 s, more than the greatest age that the users' routes allow (2.5 s).
const (
	capacity = 64
	spacing  = 50 * time.Millisecond
)

// Marks holds recent marks of one group. The zero value is ready to use. It is
// safe for concurrent use.
type Marks struct {
	mu    sync.Mutex
	epoch uint64
	marks []mark
}

type mark struct {
	sent     time.Duration
	position coltsfootloft.Position
}

// Add records an answer of the primary of this epoch to a request sent at a
// moment. The caller vouches that the primary was in office throughout.
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

// Oldest returns the position of the oldest mark of this epoch sent at a moment
// or later; ok is false if there is none.
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
