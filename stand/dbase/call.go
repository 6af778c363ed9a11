package dbase

import (
	"context"
	"maps"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgtype"

	"coltsfootloft"
)

// call is one of the stand-in's own functions.
type call struct {
	columns []column
	// platform restricts the function to the platform's user.
	platform bool
	// quiet functions are not counted as executed.
	quiet bool
	// waits is set for functions that may take long; they end with the caller.
	waits bool
	// arguments is the number that the function needs.
	arguments int
	run       func(ctx context.Context, x *session, args []string) ([][]any, error)
}

// calls holds the functions by their names. It is filled at start because the
// functions refer to it.
var calls map[string]*call

func init() {
	calls = maps.Collect(func(yield func(string, *call) bool) {
		for _, set := range []map[string]*call{groupCalls(), faultCalls(), helperCalls()} {
			for k, v := range set {
				if !yield(k, v) {
					return
				}
			}
		}
	})
}

func textColumns(names ...string) []column {
	out := make([]column, len(names))
	for i, n := range names {
		out[i] = column{
			name: n,
			oid:  pgtype.TextOID,
		}
	}
	return out
}

// callColumns are the columns of a call's answer.
func (s *statement) callColumns() []column {
	name, _ := s.call(nil)
	return calls[name].columns
}

func (x *session) openCall(ctx context.Context, p *portal) error {
	name, args := p.statement.call(p.args)
	c := calls[name]
	if c.platform && !x.platform {
		return failure(codePrivilege, "permission denied for function %s", name)
	}
	if len(args) < c.arguments {
		return failure(codeUndefinedFunction, "function %s needs %d arguments", name, c.arguments)
	}
	if !c.quiet {
		x.server.counts.add(p.statement)
	}
	p.columns = c.columns
	if c.waits {
		watched, stop := x.conn.watch(ctx)
		defer stop()
		ctx = watched
	}
	var err error
	p.rows, err = c.run(ctx, x, args)
	return err
}

// groupCalls are the platform's operations on a database.
func groupCalls() map[string]*call {
	state := textColumns("role", "fence", "received_term", "received", "applied_term", "applied", "primary", "version")
	of := func(arguments int, waits bool, run func(ctx context.Context, x *session, args []string) (coltsfootloft.Reading, error)) *call {
		return &call{
			columns:   state,
			platform:  true,
			quiet:     true,
			waits:     waits,
			arguments: arguments,
			run: func(ctx context.Context, x *session, args []string) ([][]any, error) {
				r, err := run(ctx, x, args)
				return [][]any{readingRow(r)}, err
			},
		}
	}
	status := of(0, false, func(_ context.Context, x *session, _ []string) (coltsfootloft.Reading, error) {
		return x.server.status(), nil
	})
	status.platform = false
	return map[string]*call{
		"platform_status": status,
		"platform_await":  of(2, true, callAwait),
		"platform_fence": of(1, false, func(_ context.Context, x *session, args []string) (coltsfootloft.Reading, error) {
			return x.withTerm(args[0], x.server.raise)
		}),
		"platform_promote": of(1, true, func(ctx context.Context, x *session, args []string) (coltsfootloft.Reading, error) {
			return x.withTerm(args[0], func(t coltsfootloft.Term) error { return x.server.promote(ctx, t) })
		}),
		"platform_follow": of(2, false, func(_ context.Context, x *session, args []string) (coltsfootloft.Reading, error) {
			return x.withTerm(args[0], func(t coltsfootloft.Term) error { return x.server.follow(t, args[1]) })
		}),
		"platform_commit": {
			columns: textColumns("term", "offset"),
			quiet:   true,
			run: func(_ context.Context, x *session, _ []string) ([][]any, error) {
				if x.last.IsZero() {
					return [][]any{{"", ""}}, nil
				}
				return [][]any{{x.last.Term().String(), offsetText(x.last)}}, nil
			},
		},
	}
}

func offsetText(p coltsfootloft.Position) string { return strconv.FormatUint(p.Offset(), 10) }

func readingRow(r coltsfootloft.Reading) []any {
	return []any{
		r.Role().String(),
		r.Fence().String(),
		r.Received().Term().String(),
		offsetText(r.Received()),
		r.Applied().Term().String(),
		offsetText(r.Applied()),
		r.Primary(),
		strconv.FormatUint(r.Version(), 10),
	}
}

func (x *session) withTerm(text string, do func(coltsfootloft.Term) error) (coltsfootloft.Reading, error) {
	t, err := coltsfootloft.ParseTerm(text)
	if err != nil {
		return coltsfootloft.Reading{}, failure(codeBadText, "%v", err)
	}
	if err := do(t); err != nil {
		return coltsfootloft.Reading{}, err
	}
	return x.server.status(), nil
}

func callAwait(ctx context.Context, x *session, args []string) (coltsfootloft.Reading, error) {
	seen, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return coltsfootloft.Reading{}, failure(codeBadText, "version %q", args[0])
	}
	ms, err := strconv.ParseUint(args[1], 10, 31)
	if err != nil {
		return coltsfootloft.Reading{}, failure(codeBadText, "milliseconds %q", args[1])
	}
	return x.server.await(ctx, seen, time.Duration(ms)*time.Millisecond)
}

// faultCalls switch faults on and off.
func faultCalls() map[string]*call {
	of := func(set func(s *Server, arg string) error) *call {
		return &call{
			columns:   textColumns("standin"),
			platform:  true,
			quiet:     true,
			arguments: 1,
			run: func(_ context.Context, x *session, args []string) ([][]any, error) {
				return [][]any{{"ok"}}, set(x.server, args[0])
			},
		}
	}
	return map[string]*call{
		"standin_lag": of(func(s *Server, arg string) error {
			return s.setDuration(arg, func(d time.Duration) { s.lag = d })
		}),
		"standin_freeze": {
			columns:   textColumns("standin"),
			platform:  true,
			quiet:     true,
			arguments: 1,
			run: func(_ context.Context, x *session, args []string) ([][]any, error) {
				x.quick = true
				s := x.server
				return [][]any{{"ok"}}, s.setDuration(args[0], func(d time.Duration) { s.frozen = s.Clock.Now().Add(d) })
			},
		},
		"standin_cut": of(func(s *Server, arg string) error {
			s.Cut(arg)
			return nil
		}),
		"standin_connections": {
			columns: []column{
				{name: "most", oid: pgtype.Int8OID},
			},
			platform: true,
			quiet:    true,
			run: func(_ context.Context, x *session, _ []string) ([][]any, error) {
				return [][]any{{x.server.mostConnections()}}, nil
			},
		},
		"standin_executed": {
			columns: []column{
				{name: "kind", oid: pgtype.TextOID},
				{name: "statement", oid: pgtype.TextOID},
				{name: "count", oid: pgtype.Int8OID},
			},
			platform: true,
			quiet:    true,
			run: func(_ context.Context, x *session, _ []string) ([][]any, error) {
				return x.server.counts.rows(), nil
			},
		},
	}
}

// mostConnections is the greatest number of connections, without the platform's,
// that there were at once.
func (s *Server) mostConnections() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.most)
}

func (s *Server) setDuration(text string, set func(time.Duration)) error {
	d, err := time.ParseDuration(text)
	if err != nil {
		return failure(codeBadText, "%v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	set(d)
	s.notify()
	return nil
}

// Cut makes the database take no replication from a peer; an empty name ends all
// cuts.
func (s *Server) Cut(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if peer == "" {
		clear(s.cuts)
	} else {
		s.cuts[peer] = true
	}
	s.notify()
}

func (s *Server) isReplica() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.role == coltsfootloft.Replica
}
