package caller

// change is what one step of a batch does to the session's prepared statements.
// It is made when the caller's message comes, since later messages of the batch
// build on it, and taken back if the step is then not done.
type change struct {
	name   string
	before *statement
	after  *statement
	done   bool
}

// set changes the prepared statement of a name; nil stands for none.
func (s *Session) set(name string, after *statement) *change {
	c := &change{
		name:   name,
		before: s.prepared[name],
		after:  after,
	}
	s.assume(name, after)
	return c
}

func (s *Session) assume(name string, t *statement) {
	if t == nil {
		delete(s.prepared, name)
		return
	}
	s.prepared[name] = t
}

// finished notes that the step has been done.
func (c *change) finished() {
	if c != nil {
		c.done = true
	}
}

// failed notes that the step was refused by the database. A refused Parse has
// dropped the statement that had the name before.
func (c *change) failed() {
	if c != nil {
		c.before = nil
	}
}

// begin marks the changes of a batch as not done, for another attempt.
func (b *batch) begin() {
	for i := range b.steps {
		if c := b.steps[i].change; c != nil {
			c.done = false
		}
	}
}

// takeBack takes back the changes of a batch that were not done, the latest
// first.
func (s *Session) takeBack(b *batch) {
	for i := len(b.steps) - 1; i >= 0; i-- {
		c := b.steps[i].change
		if c != nil && !c.done && s.prepared[c.name] == c.after {
			s.assume(c.name, c.before)
		}
	}
}
