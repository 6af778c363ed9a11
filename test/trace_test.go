package test

import (
	"bufio"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// span is the span of one phase of a request, as a host writes it to the file.
type span struct {
	Name        string
	StartTime   time.Time
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ TraceID, SpanID string }
}

// TestTrace traces one write through its host: the file contains a span for each phase, in
// order and in the caller's trace, and the host's recorded decisions have the trace's id.
func TestTrace(t *testing.T) {
	t.Parallel()
	file := filepath.Join(t.TempDir(), "spans")
	f := newFleet(t, layout{
		domains: 1,
		hosts:   1,
		groups:  1,
		lag:     10 * time.Millisecond,
		hostArgs: func(string) []string {
			return []string{"-trace", "file:" + file, "-trace-fraction", "0"}
		},
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	mustExec(t, f.connect(f.hosts[0]), "CREATE TABLE notices (id int4 PRIMARY KEY)")

	const id, parent = "0af7651916cd43dd8448eb211c80319c", "b7ad6b7169203331"
	c := f.connect(f.hosts[0])
	_, err := c.Exec(ctx, "INSERT INTO notices VALUES (1) /* traceparent='00-"+id+"-"+parent+"-01' */")
	assert.NilError(t, err)
	mustExec(t, c, "INSERT INTO notices VALUES (2)")

	out, exit := f.tool("explain", "-json", "-trace", id, "-admin", f.hosts[0].admin)
	assert.Equal(t, exit, 0, out)
	assert.Assert(t, strings.Contains(out, id), out)
	assert.Assert(t, strings.Contains(out, "routed"), out)

	f.hosts[0].process.signal(os.Interrupt)
	<-f.hosts[0].process.done
	spans := readSpans(t, file)
	var names []string
	root := spans[0]
	for _, s := range spans {
		names = append(names, s.Name)
		assert.Equal(t, s.SpanContext.TraceID, id)
		if s.Name != root.Name {
			assert.Equal(t, s.Parent.SpanID, root.SpanContext.SpanID, s.Name)
		}
	}
	assert.Equal(t, root.Parent.SpanID, parent)
	assert.DeepEqual(t, names, []string{
		"caller", "admission", "freshness wait", "pool wait", "database", "acknowledgement wait",
	})
}

// readSpans returns the spans of a file, sorted by start time.
func readSpans(t *testing.T, file string) []span {
	t.Helper()
	o, err := os.Open(file)
	assert.NilError(t, err)
	defer o.Close()
	var all []span
	for lines := bufio.NewScanner(o); lines.Scan(); {
		var s span
		assert.NilError(t, json.Unmarshal(lines.Bytes(), &s))
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b span) int { return a.StartTime.Compare(b.StartTime) })
	assert.Assert(t, len(all) > 0)
	return all
}
