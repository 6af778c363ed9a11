package caller

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"coltsfootloft"
	"coltsfootloft/core/hold"
	"coltsfootloft/core/stmt"
)

// What a session keeps is counted in bytes, with these sizes for what surrounds the text. They are
// rounded up, for the slices and maps that grow ahead.
const (
	// uncountedBytes is what a session may keep without asking, so that usual sessions never do.
	uncountedBytes = 16 << 10
	// stepBytes is the size of a step of a batch.
	stepBytes = 512
	// parsedBytes is the size of one statement of a script.
	parsedBytes = 160
	// statementBytes is the size of a prepared statement.
	statementBytes = 512
	// portalBytes is the size of a portal's entry.
	portalBytes = 128
)

// startMemory sets up what the session holds of the budgets.
func (s *Session) startMemory() {
	if s.Working == nil {
		s.Working = &hold.Hold{Memory: s.Env.Messages}
	}
	s.Working.Free = uncountedBytes
	s.values = hold.Hold{
		Memory: s.Env.Values,
		Free:   uncountedBytes,
	}
}

// releaseMemory gives back all that the session holds.
func (s *Session) releaseMemory() {
	s.Working.Release()
	s.values.Release()
}

// fitMemory counts what the session keeps after a message. It returns a refusal if there is no memory
// for it; the session ends then, since the message has been handled.
func (s *Session) fitMemory() error {
	if large, ok := s.Conn.(interface{ TakeLarge() bool }); ok && large.TakeLarge() {
		// The buffers of the old one are as large as the message.
		s.Backend = pgproto3.NewBackend(s.Conn, s.Conn)
		s.Backend.SetMaxBodyLen(s.Env.Fleet().Defaults().MessageLimit())
	}
	kept := s.batch.size() + s.portalBytes
	if !s.Working.Fit(kept) {
		return coltsfootloft.NoMemory(kept)
	}
	if kept := s.preparedBytes + s.settings.size() + s.savedSettings.size(); !s.values.Fit(kept) {
		return coltsfootloft.NoMemory(kept)
	}
	return nil
}

// growForParse takes memory for the parts of a script before they are made: a script of 1 MiB may have
// 500,000 statements. What is left of it is fitted when the message has been handled.
func (s *Session) growForParse(sql string) bool {
	n := parsedBytes * strings.Count(sql, ";")
	return n <= uncountedBytes || s.Working.Grow(n)
}

// growForSettings takes memory for the settings that a batch may make, before it runs.
func (s *Session) growForSettings(b *batch) error {
	n := 0
	for _, t := range b.steps {
		for _, u := range t.script.Statements() {
			if u.Kind() == stmt.Set {
				n += len(u.Text())
			}
		}
	}
	if n <= uncountedBytes || s.values.Grow(n) {
		return nil
	}
	return coltsfootloft.NoMemory(n)
}

// size returns the size of the steps.
func (b *batch) size() int {
	for ; b.counted < len(b.steps); b.counted++ {
		b.bytes += stepBytes + len(b.steps[b.counted].message)
	}
	return b.bytes
}

// size returns the size of a prepared statement.
func (s *statement) size() int {
	return statementBytes + len(s.sql) + 4*len(s.oids) + parsedBytes*s.script.Len()
}

// size returns the size of the settings.
func (s settings) size() int {
	n := 0
	for _, o := range s {
		n += len(o.name) + len(o.sql) + portalBytes
	}
	return n
}
