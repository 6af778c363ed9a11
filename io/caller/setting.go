package caller

import (
	"slices"
	"strings"

	"coltsfootloft/core/stmt"
)

// setting is one SET that the session has made, kept as SQL.
type setting struct {
	name string
	sql  string
}

// settings are what the session has set, in order. They are applied to every
// connection it borrows.
type settings []setting

func (s settings) with(name, sql string) settings {
	r := s.without(name)
	return append(r, setting{
		name: name,
		sql:  sql,
	})
}

func (s settings) without(name string) settings {
	return slices.DeleteFunc(slices.Clone(s), func(o setting) bool { return o.name == name })
}

// key identifies the settings; connections with the same key need no change.
func (s settings) key() string {
	if len(s) == 0 {
		return ""
	}
	parts := make([]string, 0, len(s))
	for _, o := range s {
		parts = append(parts, o.sql)
	}
	return strings.Join(parts, ";")
}

// readOnly is in force on connections to replicas: a replica that has just been
// promoted must not take a write that was routed as a read.
const readOnly = "SET " + readOnlySetting + " = on"

// connectionSettings is the script of what must be in force on the session's
// connection, on top of the server's defaults.
func (s *Session) connectionSettings() string {
	key := s.settings.key()
	switch {
	case s.onPrimary:
		return key
	case key == "":
		return readOnly
	default:
		return readOnly + ";" + key
	}
}

// apply returns the settings after a statement that changed them.
func (s settings) apply(t stmt.Statement) settings {
	switch t.Kind() {
	case stmt.Set:
		return s.with(t.Name(), t.Text())
	case stmt.Reset:
		if t.Name() == "all" {
			return nil
		}
		return s.without(t.Name())
	case stmt.Discard:
		return nil
	default:
		return s
	}
}

// quote returns s as an SQL string literal.
func quote(s string) string {
	return "'" + strings.ReplaceAll(s, "'", "''") + "'"
}
