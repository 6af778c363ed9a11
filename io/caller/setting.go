package caller

import (
	"slices"
	"strings"

	"coltsfootloft/core/stmt"
)

// setting is the SQL of a SET that the session has executed.
type setting struct {
	name string
	sql  string
}

// settings holds the session's settings in the order in which they were made. They
// are applied to every connection that the session uses.
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

// key identifies the settings. A connection with the same key needs no reset.
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

// readOnlySQL is applied to connections to replicas: a replica that has just been
// promoted must not accept a write that was routed as a read.
const readOnlySQL = "SET " + readOnlySetting + " = on"

// connectionSettings returns the SQL of all settings that the session's connection
// needs on top of the server's defaults.
func (s *Session) connectionSettings() string {
	key := s.settings.key()
	switch {
	case s.onPrimary:
		return key
	case key == "":
		return readOnlySQL
	default:
		return readOnlySQL + ";" + key
	}
}

// apply returns the settings after the statement t.
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
