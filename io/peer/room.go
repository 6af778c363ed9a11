package peer

import "sync/atomic"

// room counts the bytes of messages that are held, up to a limit.
type room struct {
	limit int64
	used  atomic.Int64
}

// take takes n bytes and reports whether they were left.
func (r *room) take(n int) bool {
	if r.used.Add(int64(n)) <= r.limit {
		return true
	}
	r.give(n)
	return false
}

// begin takes n bytes unless the room was used up before, and reports whether it did. So the largest
// message fits a small room too.
func (r *room) begin(n int) bool {
	if r.used.Add(int64(n))-int64(n) <= r.limit {
		return true
	}
	r.give(n)
	return false
}

// force takes n bytes that are held already.
func (r *room) force(n int) { r.used.Add(int64(n)) }

// give gives n bytes back.
func (r *room) give(n int) { r.used.Add(-int64(n)) }
