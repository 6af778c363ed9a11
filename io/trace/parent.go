package trace

import (
	"context"
	"strings"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// parentField is the name of the W3C trace context field. SQL comments use the same
// name as HTTP headers.
const parentField = "traceparent"

// blanks are the characters that are trimmed from both ends of a statement.
const blanks = " \t\r\n;"

// Parent returns the parent span given in a comment of the statement, as in
//
//	SELECT 1 /* traceparent='00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01' */
//
// The comment must precede or follow the statement. It holds fields of the form
// name='value', separated by commas; the quotes are optional. Comments inside the
// statement are ignored, so that text in a string literal is never mistaken for a
// comment. Parent returns false if no comment holds a valid parent.
func Parent(sql string) (trace.SpanContext, bool) {
	s := strings.Trim(sql, blanks)
	if rest, ok := strings.CutPrefix(s, "/*"); ok {
		body, _, closed := strings.Cut(rest, "*/")
		if c, ok := parentFromComment(body); closed && ok {
			return c, true
		}
	}
	if rest, ok := strings.CutSuffix(s, "*/"); ok {
		if i := strings.LastIndex(rest, "/*"); i >= 0 {
			return parentFromComment(rest[i+len("/*"):])
		}
	}
	return trace.SpanContext{}, false
}

// parentFromComment returns the parent span in the text of a comment; ok is false if
// there is none or it is invalid.
func parentFromComment(comment string) (trace.SpanContext, bool) {
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
