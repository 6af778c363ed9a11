package trace

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"coltsfootloft"
)

const (
	traceID = "0af7651916cd43dd8448eb211c80319c"
	spanID  = "b7ad6b7169203331"
	sampled = "00-" + traceID + "-" + spanID + "-01"
	ignored = "00-" + traceID + "-" + spanID + "-00"
)

func TestParent(t *testing.T) {
	for _, c := range []struct {
		sql     string
		ok      bool
		sampled bool
	}{
		{"SELECT 1", false, false},
		{"", false, false},
		{"SELECT 1 /* traceparent='" + sampled + "' */", true, true},
		{"SELECT 1 /*traceparent='" + ignored + "'*/;\n", true, false},
		{"/* app='van', traceparent=" + sampled + " , x='y' */ SELECT 1", true, true},
		{"/* hint */ SELECT 1 /* traceparent='" + sampled + "' */ ; ", true, true},
		{"SELECT '/* traceparent=" + sampled + " */'", false, false},
		{"SELECT 1 /* traceparent='" + sampled + "' */ + 1", false, false},
		{"SELECT 1 /* traceparent='00-" + strings.Repeat("0", 32) + "-" + spanID + "-01' */", false, false},
		{"SELECT 1 /* traceparent='" + strings.ToUpper(sampled) + "' */", false, false},
		{"SELECT 1 /* traceparent='" + sampled, false, false},
		{"/* traceparent='" + sampled + "'", false, false},
		{"SELECT 1 */", false, false},
		{"/*/", false, false},
		{"/* traceparent */", false, false},
		{"SELECT 1 /* xtraceparent='" + sampled + "' */", false, false},
	} {
		got, ok := Parent(c.sql)
		assert.Equal(t, ok, c.ok, "%q", c.sql)
		assert.Equal(t, got.IsSampled(), c.sampled, "%q", c.sql)
		if ok {
			assert.Equal(t, got.TraceID().String(), traceID)
			assert.Equal(t, got.SpanID().String(), spanID)
		}
	}
}

var parentForm = regexp.MustCompile(`^00-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}$`)

// FuzzParent checks that a parent that is found is well-formed and occurs literally
// in the statement.
func FuzzParent(f *testing.F) {
	f.Add("SELECT 1 /* traceparent='" + sampled + "' */")
	f.Add("/* a='b',traceparent=" + ignored + "*/ SELECT 1;")
	f.Add("/*/")
	f.Add("/* traceparent='01-" + traceID + "-" + spanID + "-01-x' */")
	f.Fuzz(func(t *testing.T, sql string) {
		c, ok := Parent(sql)
		if !ok {
			return
		}
		assert.Assert(t, c.IsValid())
		assert.Assert(t, strings.Contains(sql, c.TraceID().String()+"-"+c.SpanID().String()))
		flags := "-00"
		if c.IsSampled() {
			flags = "-01"
		}
		assert.Assert(t, parentForm.MatchString("00-"+c.TraceID().String()+"-"+c.SpanID().String()+flags))
	})
}

// recorder stores ended spans in memory.
type recorder struct {
	sdk.SpanProcessor
	spans []sdk.ReadOnlySpan
}

func (r *recorder) OnStart(context.Context, sdk.ReadWriteSpan) {}
func (r *recorder) OnEnd(s sdk.ReadOnlySpan)                   { r.spans = append(r.spans, s) }
func (r *recorder) Shutdown(context.Context) error             { return nil }

func TestSpanForEachHopJoinsTheCallersTrace(t *testing.T) {
	r := &recorder{}
	tracer := &Tracer{Host: "e1"}
	tracer.startProvider(r)
	q := tracer.Begin("UPDATE x /* traceparent='" + sampled + "' */")
	assert.Equal(t, q.ID(), traceID)
	for _, h := range []Hop{AdmissionWait, PoolWait, Database, AckWait} {
		s := q.Start(h)
		s.Set("database", "orders-1")
		var err error
		if h == AckWait {
			err = errors.New("no majority")
		}
		s.End(err)
	}
	q.End(coltsfootloft.Unknown, "no majority")
	names := make([]string, 0, len(r.spans))
	root := r.spans[len(r.spans)-1]
	for _, s := range r.spans {
		names = append(names, s.Name()+" "+s.Status().Code.String())
		assert.Equal(t, s.SpanContext().TraceID().String(), traceID)
		if s != root {
			assert.Equal(t, s.Parent().SpanID(), root.SpanContext().SpanID())
		}
	}
	assert.Equal(t, root.Parent().SpanID().String(), spanID)
	assert.Assert(t, root.Parent().IsRemote())
	assert.Equal(t, root.SpanKind(), trace.SpanKindServer)
	assert.DeepEqual(t, names, []string{
		"admission Unset", "pool wait Unset", "database Unset", "acknowledgement wait Error", "caller Error",
	})
}

func TestUntracedRequestRecordsNothing(t *testing.T) {
	r := &recorder{}
	tracer := &Tracer{}
	tracer.startProvider(r)
	var none *Tracer
	for _, q := range []*Request{
		tracer.Begin("SELECT 1"),
		tracer.Begin("SELECT 1 /* traceparent='" + ignored + "' */"),
		none.Begin("SELECT 1"),
		(&Tracer{Fraction: 1}).Begin("SELECT 1"),
	} {
		assert.Assert(t, q == nil)
		q.Set("a", "b")
		s := q.Start(Database)
		s.Set("a", "b")
		s.End(errors.New("x"))
		q.End(coltsfootloft.Done, "")
		assert.Equal(t, q.ID(), "")
	}
	assert.Equal(t, len(r.spans), 0)
	tracer.Fraction = 1
	tracer.Begin("SELECT 1").End(coltsfootloft.Done, "")
	assert.Equal(t, len(r.spans), 1)
}

func TestFileHoldsOneSpanPerLine(t *testing.T) {
	name := filepath.Join(t.TempDir(), "spans")
	tracer := &Tracer{
		Target:   "file:" + name,
		Fraction: 1,
	}
	assert.NilError(t, tracer.Open(context.Background()))
	q := tracer.Begin("SELECT 1")
	q.Start(Database).End(nil)
	q.End(coltsfootloft.Done, "")
	assert.NilError(t, tracer.Close(context.Background()))
	f, err := os.Open(name)
	assert.NilError(t, err)
	defer f.Close()
	lines := 0
	for s := bufio.NewScanner(f); s.Scan(); lines++ {
		var span struct{ Name string }
		assert.NilError(t, json.Unmarshal(s.Bytes(), &span))
		assert.Equal(t, span.Name, []string{"database", "caller"}[lines])
	}
	assert.Equal(t, lines, 2)
	err = (&Tracer{Target: "file:" + t.TempDir()}).Open(context.Background())
	assert.ErrorContains(t, err, "is a directory")
}

func TestOTLPReceiverGetsSpans(t *testing.T) {
	got := make(chan *collector.ExportTraceServiceRequest, 1)
	h := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		m := &collector.ExportTraceServiceRequest{}
		if r.URL.Path == "/v1/traces" && proto.Unmarshal(body, m) == nil {
			got <- m
		}
	}))
	defer h.Close()
	tracer := &Tracer{
		Target:   h.URL,
		Fraction: 1,
		Host:     "e1",
	}
	assert.NilError(t, tracer.Open(context.Background()))
	tracer.Begin("SELECT 1").End(coltsfootloft.Done, "")
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	assert.NilError(t, tracer.Close(ctx))
	m := <-got
	assert.Equal(t, m.ResourceSpans[0].ScopeSpans[0].Spans[0].Name, "caller")
}

// TestUnreachableReceiverDelaysNoRequest guards against spans that block requests, or
// the shutdown, when the receiver can't be reached: such spans are dropped.
func TestUnreachableReceiverDelaysNoRequest(t *testing.T) {
	tracer := &Tracer{
		Target:   "http://127.0.0.1:1",
		Fraction: 1,
	}
	assert.NilError(t, tracer.Open(context.Background()))
	start := time.Now()
	for range 10_000 {
		tracer.Begin("SELECT 1").End(coltsfootloft.Done, "")
	}
	assert.Assert(t, time.Since(start) < 2*time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	start = time.Now()
	_ = tracer.Close(ctx)
	assert.Assert(t, time.Since(start) < time.Second)
}

func BenchmarkUntraced(b *testing.B) {
	tracer := &Tracer{Fraction: 0.0000001}
	tracer.startProvider(&recorder{})
	b.ReportAllocs()
	for b.Loop() {
		q := tracer.Begin("SELECT * FROM orders WHERE van = $1 AND day = $2")
		q.Start(Database).End(nil)
		q.End(coltsfootloft.Done, "")
	}
}
