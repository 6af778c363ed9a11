package dbase

import (
	"context"
	"maps"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgtype"

	"coltsfootloft"
)

// call is an SQL function that the stand-in implements itself.
type call struct {
	columns []column
	// platform restricts the function to PlatformUser.
	platform bool
	// uncounted excludes the function from the executed statements.
	uncounted bool
	// blocking is set for functions that may wait. They end when the caller
	// disconnects.
	blocking bool
	// arguments is the minimum number of arguments.
	arguments int
	run       func(ctx context.Context, x *session, args []string) ([][]any, error)
}

// calls maps lower-case names to functions. It is filled by init because the
// functions refer to it.
var calls map[string]*call

func init() {
	calls = maps.Collect(func(yield func(string, *call) bool) {
		for _, set := range []map[string]*call{groupCalls(), faultCalls(), builtinCalls()} {
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

// callColumns returns the result columns of a call.
func (s *statement) callColumns() []column {
	name, _ := s.call(nil)
	return calls[name].columns
}

func (x *session) openCall(ctx context.Context, p *portal) error {
	name, args := p.statement.call(p.args)
	c := calls[name]
	if c.platform && !x.platform {
		return sqlErrorf(codePrivilege, "permission denied for function %s", name)
	}
	if len(args) < c.arguments {
		return sqlErrorf(codeUndefinedFunction, "function %s needs %d arguments", name, c.arguments)
	}
	if !c.uncounted {
		x.server.counts.add(p.statement)
	}
	p.columns = c.columns
	if c.blocking {
		watched, stop := x.conn.watch(ctx)
		defer stop()
		ctx = watched
	}
	var err error
	p.rows, err = c.run(ctx, x, args)
	return err
}

// groupCalls returns the platform's operations on a database of a group.
func groupCalls() map[string]*call {
	state := textColumns("role", "fence", "received_term", "received", "applied_term", "applied", "primary", "version")
	stateCall := func(arguments int, blocking bool, run func(ctx context.Context, x *session, args []string) (coltsfootloft.Reading, error)) *call {
		return &call{
			columns:   state,
			platform:  true,
			uncounted: true,
			blocking:  blocking,
			arguments: arguments,
			run: func(ctx context.Context, x *session, args []string) ([][]any, error) {
				r, err := run(ctx, x, args)
				return [][]any{readingRow(r)}, err
			},
		}
	}
	status := stateCall(0, false, func(_ context.Context, x *session, _ []string) (coltsfootloft.Reading, error) {
		return x.server.status(), nil
	})
	status.platform = false
	return map[string]*call{
		"platform_status": status,
		"platform_await":  stateCall(2, true, callAwait),
		"platform_fence": stateCall(1, false, func(_ context.Context, x *session, args []string) (coltsfootloft.Reading, error) {
			return x.withTerm(args[0], x.server.raiseFence)
		}),
		"platform_promote": stateCall(1, true, func(ctx context.Context, x *session, args []string) (coltsfootloft.Reading, error) {
			return x.withTerm(args[0], func(t coltsfootloft.Term) error { return x.server.promote(ctx, t) })
		}),
		"platform_follow": stateCall(2, false, func(_ context.Context, x *session, args []string) (coltsfootloft.Reading, error) {
			return x.withTerm(args[0], func(t coltsfootloft.Term) error { return x.server.follow(t, args[1]) })
		}),
		"platform_commit": {
			columns:   textColumns("term", "offset"),
			uncounted: true,
			run: func(_ context.Context, x *session, _ []string) ([][]any, error) {
				if x.lastCommit.IsZero() {
					return [][]any{{"", ""}}, nil
				}
				return [][]any{{x.lastCommit.Term().String(), offsetText(x.lastCommit)}}, nil
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
		return coltsfootloft.Reading{}, sqlErrorf(codeInvalidText, "%v", err)
	}
	if err := do(t); err != nil {
		return coltsfootloft.Reading{}, err
	}
	return x.server.status(), nil
}

func callAwait(ctx context.Context, x *session, args []string) (coltsfootloft.Reading, error) {
	version, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return coltsfootloft.Reading{}, sqlErrorf(codeInvalidText, "version %q", args[0])
	}
	ms, err := strconv.ParseUint(args[1], 10, 31)
	if err != nil {
		return coltsfootloft.Reading{}, sqlErrorf(codeInvalidText, "milliseconds %q", args[1])
	}
	return x.server.await(ctx, version, time.Duration(ms)*time.Millisecond)
}

// faultCalls returns the functions that inject faults and those that report on
// connections and executed statements.
func faultCalls() map[string]*call {
	faultCall := func(set func(s *Server, arg string) error) *call {
		return &call{
			columns:   textColumns("standin"),
			platform:  true,
			uncounted: true,
			arguments: 1,
			run: func(_ context.Context, x *session, args []string) ([][]any, error) {
				return [][]any{{"ok"}}, set(x.server, args[0])
			},
		}
	}
	return map[string]*call{
		"standin_lag": faultCall(func(s *Server, arg string) error {
			return s.setDuration(arg, func(d time.Duration) { s.lag = d })
		}),
		"standin_freeze": {
			columns:   textColumns("standin"),
			platform:  true,
			uncounted: true,
			arguments: 1,
			run: func(_ context.Context, x *session, args []string) ([][]any, error) {
				x.bypassFreeze = true
				s := x.server
				return [][]any{{"ok"}}, s.setDuration(args[0], func(d time.Duration) { s.frozenUntil = s.Clock.Now().Add(d) })
			},
		},
		"standin_cut": faultCall(func(s *Server, arg string) error {
			s.Cut(arg)
			return nil
		}),
		"standin_connections": {
			columns: []column{
				{name: "most", oid: pgtype.Int8OID},
			},
			platform:  true,
			uncounted: true,
			run: func(_ context.Context, x *session, _ []string) ([][]any, error) {
				return [][]any{{x.server.peakConnections()}}, nil
			},
		},
		"standin_executed": {
			columns: []column{
				{name: "kind", oid: pgtype.TextOID},
				{name: "statement", oid: pgtype.TextOID},
				{name: "count", oid: pgtype.Int8OID},
			},
			platform:  true,
			uncounted: true,
			run: func(_ context.Context, x *session, _ []string) ([][]any, error) {
				return x.server.counts.rows(), nil
			},
		},
	}
}

// peakConnections returns the greatest number of simultaneous connections, not
// counting the platform's.
func (s *Server) peakConnections() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.peakSessions)
}

func (s *Server) setDuration(text string, set func(time.Duration)) error {
	d, err := time.ParseDuration(text)
	if err != nil {
		return sqlErrorf(codeInvalidText, "%v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	set(d)
	s.notify()
	return nil
}

// Cut stops replication from a peer until it is called with an empty name, which
// ends all cuts.
func (s *Server) Cut(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if peer == "" {
		clear(s.blockedPeers)
	} else {
		s.blockedPeers[peer] = true
	}
	s.notify()
}

func (s *Server) isReplica() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.role == coltsfootloft.Replica
}
