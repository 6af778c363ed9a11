package trace

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"coltsfootloft"
)

// Request is the trace of one request. A nil Request does nothing. Its methods may
// be called from several goroutines.
type Request struct {
	tracer trace.Tracer
	ctx    context.Context
	span   trace.Span
}

// ID returns the trace id in hexadecimal, or the empty string for a nil Request.
func (r *Request) ID() string {
	if r == nil {
		return ""
	}
	return r.span.SpanContext().TraceID().String()
}

// Set adds an attribute to the span of the whole request, such as account, route or
// group.
func (r *Request) Set(name, value string) {
	if r != nil {
		r.span.SetAttributes(attribute.String(name, value))
	}
}

// Start begins the span of one phase of the request. The caller must end it.
func (r *Request) Start(h Hop) Span {
	if r == nil {
		return Span{}
	}
	_, s := r.tracer.Start(r.ctx, h.String(), trace.WithSpanKind(h.kind()))
	return Span{span: s}
}

// End ends the request and records its outcome. For an outcome other than Done,
// reason is the description of the error.
func (r *Request) End(o coltsfootloft.Outcome, reason string) {
	if r == nil {
		return
	}
	r.span.SetAttributes(attribute.String("outcome", o.String()))
	if o != coltsfootloft.Done {
		r.span.SetStatus(codes.Error, reason)
	}
	r.span.End()
}

// Span is the time that a request spends in one phase. The zero Span does nothing.
type Span struct{ span trace.Span }

// Set adds an attribute to the span, such as the database.
func (s Span) Set(name, value string) {
	if s.span != nil {
		s.span.SetAttributes(attribute.String(name, value))
	}
}

// End ends the span and marks it as failed if err is not nil.
func (s Span) End(err error) {
	if s.span == nil {
		return
	}
	if err != nil {
		s.span.SetStatus(codes.Error, err.Error())
	}
	s.span.End()
}

// Hop is a phase of a request, which has a span of its own.
type Hop uint8

// The phases of a request.
const (
	// Caller is the whole request, for as long as the caller waits.
	Caller Hop = iota
	// AdmissionWait is the wait for the client account's rate and burst.
	AdmissionWait
	// PoolWait is the wait for a connection to a database.
	PoolWait
	// FreshnessWait is the wait for a database that has caught up with the position the
	// request requires.
	FreshnessWait
	// Database is the time from sending a statement to a database until its answer.
	Database
	// AckWait is the wait until a majority of the group has received a write.
	AckWait
)

// kind returns the span kind: client for calls to a database, internal for waits
// inside the host.
func (h Hop) kind() trace.SpanKind {
	if h == Database {
		return trace.SpanKindClient
	}
	return trace.SpanKindInternal
}

// String returns the name of the phase's span.
func (h Hop) String() string {
	switch h {
	case Caller:
		return "caller"
	case AdmissionWait:
		return "admission"
	case PoolWait:
		return "pool wait"
	case FreshnessWait:
		return "freshness wait"
	case Database:
		return "database"
	case AckWait:
		return "acknowledgement wait"
	}
	return "invalid hop"
}
