package caller

// change is the effect of one step of a batch on the session's prepared statements.
// It is applied when the caller's message arrives, because later messages of the
// batch depend on it, and reverted if the step is not executed.
type change struct {
	name   string
	before *statement
	after  *statement
	done   bool
}

// setStatement sets the prepared statement of that name; nil removes it.
func (s *Session) setStatement(name string, after *statement) *change {
	c := &change{
		name:   name,
		before: s.prepared[name],
		after:  after,
	}
	s.putStatement(name, after)
	return c
}

func (s *Session) putStatement(name string, t *statement) {
	if old, ok := s.prepared[name]; ok {
		s.preparedBytes -= old.size()
	}
	if t == nil {
		delete(s.prepared, name)
		return
	}
	s.preparedBytes += t.size()
	s.prepared[name] = t
}

// markDone records that the step was executed.
func (c *change) markDone() {
	if c != nil {
		c.done = true
	}
}

// markFailed records that the database returned an error for the step. A Parse that
// fails has already dropped the previous statement of that name.
func (c *change) markFailed() {
	if c != nil {
		c.before = nil
	}
}

// resetChanges marks all changes of the batch as not executed, before another
// attempt.
func (b *batch) resetChanges() {
	for i := range b.steps {
		if c := b.steps[i].change; c != nil {
			c.done = false
		}
	}
}

// revertChanges reverts the changes of the batch that were not executed, the latest
// first.
func (s *Session) revertChanges(b *batch) {
	for i := len(b.steps) - 1; i >= 0; i-- {
		c := b.steps[i].change
		if c != nil && !c.done && s.prepared[c.name] == c.after {
			s.putStatement(c.name, c.before)
		}
	}
}
