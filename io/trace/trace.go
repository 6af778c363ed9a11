// Package trace records where the time of a request goes, as OpenTelemetry spans.
//
// A traced request has a span for the caller's wait as a whole and one below it
// for each [Hop]: admission, the wait for a connection, the database, and the wait
// for the acknowledgement. A request is traced if the comment of its first
// statement names a sampled parent (see [Parent]), and then joins that trace, or
// else by chance, for a fraction of requests. The decision comes first: for a
// request that is not traced, [Tracer.Begin] returns nil, on which every method
// does nothing.
//
// Spans go to a file or by OTLP over HTTP, in batches from a bounded queue. A
// receiver that is slow or gone loses spans and never delays a request. Spans hold
// names, never SQL, values or keys.
package trace

import (
	"context"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

const (
	// scope names the spans' instrumentation.
	scope = "coltsfootloft"
	// filePrefix opens a target that is a file.
	filePrefix = "file:"
	// tracesPath is where OTLP receivers take spans.
	tracesPath = "/v1/traces"
	// fileMode is for a file of spans.
	fileMode = 0o600
	// exportTimeout bounds the delivery of one batch.
	exportTimeout = 5 * time.Second
)

// Tracer decides which requests are traced and delivers their spans. Its fields
// are set before Open. A nil Tracer traces nothing.
type Tracer struct {
	// Target is file:PATH or the base URL of an OTLP receiver; nothing is
	// traced if empty.
	Target string
	// Fraction is the part of requests that are traced without a caller's
	// asking, from 0 to 1.
	Fraction float64
	// Host is the name of this host.
	Host string
	// Version is the version of the program.
	Version string
	// Log takes events.
	Log logr.Logger

	provider *sdk.TracerProvider
	tracer   trace.Tracer
	file     *os.File
}

// Open begins the delivery of spans. It fails if the file can't be written. Only
// one Tracer of a process should be open, because the library tells of errors in
// delivery through one handler.
func (t *Tracer) Open(ctx context.Context) error {
	if t.Target == "" {
		return nil
	}
	e, err := t.exporter(ctx)
	if err != nil {
		return errors.Wrap(err, "trace")
	}
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) {
		t.Log.Info("spans lost", "error", err.Error())
	}))
	t.deliver(sdk.NewBatchSpanProcessor(e, sdk.WithExportTimeout(exportTimeout)))
	return nil
}

func (t *Tracer) exporter(ctx context.Context) (sdk.SpanExporter, error) {
	if name, ok := strings.CutPrefix(t.Target, filePrefix); ok {
		f, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
		if err != nil {
			return nil, err
		}
		t.file = f
		return stdouttrace.New(stdouttrace.WithWriter(f))
	}
	url := strings.TrimSuffix(t.Target, "/") + tracesPath
	return otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(url), otlptracehttp.WithTimeout(exportTimeout))
}

func (t *Tracer) deliver(p sdk.SpanProcessor) {
	r := resource.NewSchemaless(
		attribute.String("service.name", scope),
		attribute.String("service.version", t.Version),
		attribute.String("service.instance.id", t.Host),
	)
	t.provider = sdk.NewTracerProvider(
		sdk.WithSpanProcessor(p),
		sdk.WithResource(r),
		sdk.WithSampler(sdk.AlwaysSample()),
	)
	t.tracer = t.provider.Tracer(scope)
}

// Close delivers the spans that wait and ends the delivery. It returns when ctx
// ends at the latest.
func (t *Tracer) Close(ctx context.Context) error {
	if t == nil || t.provider == nil {
		return nil
	}
	err := t.provider.Shutdown(ctx)
	if t.file != nil {
		t.file.Close()
	}
	return errors.Wrap(err, "trace")
}

// Begin returns the trace of a request whose first statement is this, or nil if it
// is not traced. A caller's parent that is not sampled is respected.
func (t *Tracer) Begin(sql string) *Request {
	if t == nil || t.tracer == nil {
		return nil
	}
	parent, ok := Parent(sql)
	if ok && !parent.IsSampled() || !ok && !t.chosen() {
		return nil
	}
	ctx := context.Background()
	if ok {
		ctx = trace.ContextWithRemoteSpanContext(ctx, parent)
	}
	ctx, span := t.tracer.Start(ctx, Caller.String(), trace.WithSpanKind(trace.SpanKindServer))
	return &Request{
		tracer: t.tracer,
		ctx:    ctx,
		span:   span,
	}
}

func (t *Tracer) chosen() bool { return t.Fraction > 0 && rand.Float64() < t.Fraction }
