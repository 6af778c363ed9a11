package dbase

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgtype"
)

// builtinCalls returns the PostgreSQL functions that client programs call by
// themselves, for example when they connect.
func builtinCalls() map[string]*call {
	valueCall := func(name string, oid uint32, value func(x *session) any) *call {
		return &call{
			columns: []column{{
				name: name,
				oid:  oid,
			}},
			run: func(_ context.Context, x *session, _ []string) ([][]any, error) {
				return [][]any{{value(x)}}, nil
			},
		}
	}
	return map[string]*call{
		"pg_backend_pid": valueCall("pg_backend_pid", pgtype.Int4OID, func(x *session) any { return int64(x.pid) }),
		"version":        valueCall("version", pgtype.TextOID, func(*session) any { return "PostgreSQL 16.4 (stand-in)" }),
		"current_database": valueCall("current_database", pgtype.TextOID, func(x *session) any {
			return x.database
		}),
		"pg_is_in_recovery": valueCall("pg_is_in_recovery", pgtype.BoolOID, func(x *session) any {
			if x.server.isReplica() {
				return int64(1)
			}
			return int64(0)
		}),
		"pg_sleep": {
			columns:   textColumns("pg_sleep"),
			blocking:  true,
			arguments: 1,
			run:       callSleep,
		},
		"current_setting": {
			columns:   textColumns("current_setting"),
			arguments: 1,
			run: func(_ context.Context, x *session, args []string) ([][]any, error) {
				v, ok := x.settings[strings.ToLower(args[0])]
				if !ok {
					return nil, sqlErrorf("42704", "unrecognized configuration parameter %q", args[0])
				}
				return [][]any{{v}}, nil
			},
		},
	}
}

func callSleep(ctx context.Context, x *session, args []string) ([][]any, error) {
	seconds, err := strconv.ParseFloat(args[0], 64)
	if err != nil {
		return nil, sqlErrorf(codeInvalidText, "seconds %q", args[0])
	}
	if x.server.sleep(ctx, time.Duration(seconds*float64(time.Second))) != nil {
		return nil, sqlErrorf(codeCancelled, "canceling statement due to user request")
	}
	return [][]any{{""}}, nil
}

// maxCounted is the maximum number of statements counted by text. Further
// statements are counted by kind only.
const maxCounted = 20_000

// counter counts executed statements by kind and text.
type counter struct {
	mu   sync.Mutex
	runs map[countKey]int64
}

type countKey struct {
	kind string
	text string
}

func (c *counter) add(s *statement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs == nil {
		c.runs = make(map[countKey]int64)
	}
	k := countKey{
		kind: strings.ToLower(s.tag),
		text: s.source,
	}
	if _, ok := c.runs[k]; !ok && len(c.runs) >= maxCounted {
		k.text = ""
	}
	c.runs[k]++
}

func (c *counter) rows() [][]any {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([][]any, 0, len(c.runs))
	for k, n := range c.runs {
		out = append(out, []any{k.kind, k.text, n})
	}
	return out
}
