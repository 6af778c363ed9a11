package linedb

import (
	"fmt"
	"time"
)

// Violation is a message to a database that breaks the protocol.
type Violation struct {
	At   time.Time
	Text string
}

// Violations returns the messages so far that break the protocol.
func (g *Group) Violations() []Violation {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Violation(nil), g.violations...)
}

// violation notes a message that breaks the protocol.
func (b *Database) violation(format string, arguments ...any) {
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	b.noteViolation(format, arguments...)
}

// noteViolation is violation for a caller that holds the lock.
func (b *Database) noteViolation(format string, arguments ...any) {
	const most = 300 // bytes
	text := b.id + ": " + fmt.Sprintf(format, arguments...)
	b.group.violations = append(b.group.violations, Violation{
		At:   time.Now(),
		Text: text[:min(len(text), most)],
	})
}
