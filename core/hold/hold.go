// Package hold counts what one session holds of a memory budget.
package hold

import "coltsfootloft"

// Hold is the part of a budget that one holder has taken. It is not safe for concurrent use. The zero
// value is not bounded.
type Hold struct {
	// Memory is the budget; nil if there is none.
	Memory coltsfootloft.Memory
	// Free is the number of bytes that Fit does not count.
	Free int

	bytes int
}

// Grow takes n further bytes, and reports whether it may have them.
func (h *Hold) Grow(n int) bool {
	if h.Memory == nil || n <= 0 {
		return true
	}
	if !h.Memory.Take(h.bytes, n) {
		return false
	}
	h.bytes += n
	return true
}

// Swap gives before bytes back and takes after bytes in their place. It reports whether it may have
// them; if not, it has given the others back all the same.
func (h *Hold) Swap(before, after int) bool {
	h.shrink(before)
	return h.Grow(after)
}

// Fit makes the hold as large as n bytes need. It reports false, and leaves the hold as it is, if it
// may not have them.
func (h *Hold) Fit(n int) bool {
	n = max(0, n-h.Free)
	if n > h.bytes {
		return h.Grow(n - h.bytes)
	}
	h.shrink(h.bytes - n)
	return true
}

// Release gives all bytes back.
func (h *Hold) Release() { h.shrink(h.bytes) }

func (h *Hold) shrink(n int) {
	if h.Memory == nil || n <= 0 {
		return
	}
	h.bytes -= n
	h.Memory.Give(n)
}
