package stmt

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestKinds(t *testing.T) {
	tests := map[string]Kind{
		"select 1": Read,
		"  -- note\n/* a /* nested */ */ SELECT 1":                         Read,
		"(select 1) union (select 2)":                                      Read,
		"with x as (select 1) select * from x":                             Read,
		"with x as (INSERT into t values (1) returning a) select * from x": Write,
		"with x as (select 1) delete from t":                               Write,
		"select pg_advisory_lock(1)":                                       Unsupported,
		"SELECT PG_Advisory_Lock(1)":                                       Unsupported,
		"create temp table t (a int)":                                      Unsupported,
		"create /* x */ local temporary table t()":                         Unsupported,
		"create table temp (a int)":                                        Write,
		"declare c cursor with hold for select 1":                          Unsupported,
		"declare c cursor for select 1 -- with hold":                       Write,
		"declare c cursor without hold for select 1":                       Write,
		"insert into t values (1)":                                         Write,
		"create table t (a int)":                                           Write,
		"begin":                                                            Begin,
		"BEGIN ISOLATION LEVEL SERIALIZABLE":                               Begin,
		"start transaction read only":                                      BeginReadOnly,
		"commit":                                                           Commit,
		"end":                                                              Commit,
		"rollback":                                                         Rollback,
		"rollback to savepoint a":                                          Savepoint,
		"rollback prepared 'x'":                                            Unsupported,
		"set local a = 1":                                                  SetLocal,
		"set a = 1":                                                        Set,
		"copy t from stdin":                                                Copy,
		"listen x":                                                         Unsupported,
		"discard all":                                                      Discard,
	}
	for sql, want := range tests {
		s, ok := Parse(sql).Single()
		assert.Assert(t, ok, sql)
		assert.Equal(t, s.Kind(), want, sql)
	}
}

func TestSplit(t *testing.T) {
	sql := `select ';'; select e'\';' ; select $$;$$; select $a$;$$;$a$;; select "a;b" /* ; */ -- ;
; insert into t values ($1)`
	s := Parse(sql)
	assert.Equal(t, s.Len(), 6)
	assert.Assert(t, !s.IsRead())
	assert.Equal(t, s.Statements()[5].Text(), "insert into t values ($1)")
}

// TestCommentEndsWhereTheDatabaseEndsIt guards against a statement that the host takes for a part of
// a comment though the database runs it: a database ends a comment of one line at a carriage
// return, too.
func TestCommentEndsWhereTheDatabaseEndsIt(t *testing.T) {
	for _, end := range []string{"\n", "\r", "\r\n"} {
		s := Parse("select 1 -- note" + end + "; set a = 1")
		assert.Equal(t, s.Len(), 2, "%q", end)
		assert.Equal(t, s.Statements()[1].Kind(), Set)
		s = Parse("-- note" + end + "delete from t")
		assert.Equal(t, s.Len(), 1, "%q", end)
		assert.Equal(t, s.Statements()[0].Kind(), Write)
	}
}

// TestQuotesBeginWhereTheDatabaseBeginsThem guards against a statement that the host takes for a part
// of a string though the database runs it: only a word E begins a string with escapes, and a dollar
// sign within a word is a part of the word.
func TestQuotesBeginWhereTheDatabaseBeginsThem(t *testing.T) {
	for _, sql := range []string{
		`select date'\'; set a = 1`,
		`select e'\''; set a = 1`,
		`select E'\';', 1; set a = 1`,
		`select a$$ from t; set a = 1 --$$`,
		`select a$b$ from t; set a = 1 --$b$`,
		`select $1; set a = 1`,
		`select $$;$$; set a = 1`,
		`select 1::e$$ from t; set a = 1 --$$`,
	} {
		s := Parse(sql)
		assert.Equal(t, s.Len(), 2, "%s", sql)
		assert.Equal(t, s.Statements()[1].Kind(), Set, "%s", sql)
	}
}

// TestTextEndsBeforeItsComments guards against a statement that hides what the host appends to it in
// a comment: the settings of a session are joined to one script, and READ ONLY is added to BEGIN.
func TestTextEndsBeforeItsComments(t *testing.T) {
	for sql, want := range map[string]string{
		"SET a = 1 -- note":                   "SET a = 1",
		"SET a = 1 -- note\n /* b */ -- c\r;": "SET a = 1",
		"/* x */ BEGIN/* y /* z */ */":        "BEGIN",
		"SET a = '--' -- '":                   "SET a = '--'",
		"SET a /* b */ = /* c */ 1":           "SET a /* b */ = /* c */ 1",
		"SELECT 1 - -1 - - 1":                 "SELECT 1 - -1 - - 1",
		"SET a = b\u0085":                     "SET a = b\u0085",
		"SET a = b\v\f":                       "SET a = b",
	} {
		s, ok := Parse(sql).Single()
		assert.Assert(t, ok, sql)
		assert.Equal(t, s.Text(), want)
	}
	assert.Equal(t, Parse("-- note\n; /* x */ ;;").Len(), 0)
}

func TestAssignments(t *testing.T) {
	tests := []struct{ sql, name, value string }{
		{"SET coltsfootloft.token = 'news=1@a:3'", "coltsfootloft.token", "news=1@a:3"},
		{"set session Coltsfootloft.Request_ID to 'it''s'", "coltsfootloft.request_id", "it's"},
		{"set search_path=a", "search_path", "a"},
	}
	for _, tt := range tests {
		s, _ := Parse(tt.sql).Single()
		assert.Equal(t, s.Name(), tt.name)
		assert.Equal(t, s.Value(), tt.value)
		assert.Equal(t, s.IsProxy(), strings.HasPrefix(tt.name, SettingPrefix))
	}
}

func FuzzParse(f *testing.F) {
	f.Add("select $1; insert into t values ('a;b')")
	f.Add("/* $$ e'\\")
	f.Add("set a to 'b'")
	f.Fuzz(func(t *testing.T, sql string) {
		for _, s := range Parse(sql).Statements() {
			assert.Assert(t, s.Text() != "")
			assert.Assert(t, strings.Contains(sql, s.Text()))
		}
	})
}

func BenchmarkParse(b *testing.B) {
	for b.Loop() {
		Parse("SELECT body, filed_at FROM notices WHERE branch = $1 ORDER BY filed_at DESC LIMIT 10")
	}
}
