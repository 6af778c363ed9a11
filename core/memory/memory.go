// Package memory accounts for the bytes that other processes make a host hold: lines of
// callers, answers of databases, session values.
//
// Sessions and connections are bounded in number, but each can hold a message of 1 MiB. What
// is larger than the fixed buffers of a connection is therefore taken out of one budget for
// all, before it is allocated, and what does not fit is refused.
//
// A holder may take only while it holds no more than half of what is free. Few large holders
// thus never use up the budget, and the fuller it is, the smaller are the messages that still
// fit: usual ones are refused last.
package memory

import "sync/atomic"

// Budget is a number of bytes that its holders share. It is safe for concurrent use. The zero
// value grants nothing.
type Budget struct {
	limit   int64
	used    atomic.Int64
	refused atomic.Uint64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// freeShare is how many times a holder's bytes must be free for it to take them.
const freeShare = 2

// Take takes n bytes for a holder that already holds held bytes of the budget. It reports
// false, and takes nothing, if the holder would have more than its share of what is free.
func (b *Budget) Take(held, n int) bool {
	for {
		used := b.used.Load()
		if freeShare*int64(held+n) > b.limit-used {
			b.refused.Add(1)
			return false
		}
		if b.used.CompareAndSwap(used, used+int64(n)) {
			return true
		}
	}
}

// Give gives n bytes back. It panics if more is given back than was taken.
func (b *Budget) Give(n int) {
	if b.used.Add(-int64(n)) < 0 {
		panic("more memory given back than was taken")
	}
}

// Used is the number of bytes that are taken.
func (b *Budget) Used() int64 { return b.used.Load() }

// Limit is the size of the budget in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Refused is how often Take was refused.
func (b *Budget) Refused() uint64 { return b.refused.Load() }
