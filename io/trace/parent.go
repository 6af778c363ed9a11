package trace

import (
	"context"
	"strings"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// parentField is the W3C trace context field, in SQL comments as in HTTP.
const parentField = "traceparent"

// blanks may stand around a statement.
const blanks = " \t\r\n;"

// Parent returns the span that a statement's comment names, as in
//
//	SELECT 1 /* traceparent='00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01' */
//
// The comment stands before the statement or after it and holds fields of the form
// name='value', separated by commas; the quotes may be left out. Comments inside
// the statement are not looked at, so that text in a string is never taken for
// one.
func Parent(sql string) (trace.SpanContext, bool) {
	s := strings.Trim(sql, blanks)
	if rest, ok := strings.CutPrefix(s, "/*"); ok {
		body, _, closed := strings.Cut(rest, "*/")
		if c, ok := parentIn(body); closed && ok {
			return c, true
		}
	}
	if rest, ok := strings.CutSuffix(s, "*/"); ok {
		if i := strings.LastIndex(rest, "/*"); i >= 0 {
			return parentIn(rest[i+len("/*"):])
		}
	}
	return trace.SpanContext{}, false
}

func parentIn(comment string) (trace.SpanContext, bool) {
	for part := range strings.SplitSeq(comment, ",") {
		name, value, _ := strings.Cut(part, "=")
		if strings.TrimSpace(name) != parentField {
			continue
		}
		carrier := propagation.MapCarrier{parentField: unquote(strings.TrimSpace(value))}
		ctx := propagation.TraceContext{}.Extract(context.Background(), carrier)
		c := trace.SpanContextFromContext(ctx)
		return c, c.IsValid()
	}
	return trace.SpanContext{}, false
}

func unquote(s string) string {
	if len(s) >= 2 && s[0] == '\'' && s[len(s)-1] == '\'' {
		return s[1 : len(s)-1]
	}
	return s
}
