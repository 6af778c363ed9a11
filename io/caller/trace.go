package caller

import (
	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/io/trace"
)

// beginTrace starts the trace of a batch if it is sampled.
func (s *Session) beginTrace(b *batch) {
	s.failure = nil
	if b.cost == 0 {
		return
	}
	s.trace = s.Env.Trace.Begin(b.sql)
	if s.trace == nil {
		return
	}
	s.trace.Set("host", s.Host)
	s.trace.Set("account", s.Account)
	s.trace.Set("route", s.Route.Name())
	s.trace.Set("group", s.Route.Group())
}

// endTrace ends the trace with the outcome of the batch.
func (s *Session) endTrace() {
	if s.trace == nil {
		return
	}
	outcome, reason := coltsfootloft.Done, ""
	if s.failure != nil {
		outcome, reason = coltsfootloft.Unknown, "connection lost"
	}
	var r *coltsfootloft.RefusalError
	if errors.As(s.failure, &r) {
		outcome, reason = r.Outcome(), r.Code()
	}
	s.trace.End(outcome, reason)
	s.trace = nil
}

// startSpan starts the span of a phase that concerns a database.
func (s *Session) startSpan(h trace.Hop, database string) trace.Span {
	p := s.trace.Start(h)
	p.Set("database", database)
	return p
}
