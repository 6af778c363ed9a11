// Package trace records how a request spends its time, as OpenTelemetry spans.
//
// A traced request has a root span for the whole time that the caller waits, and a
// child span for each phase ([Hop]): admission, the waits for a connection and for a
// fresh database, the database itself, and the wait for the acknowledgement. If a
// comment of the first statement gives a parent span (see [Parent]), the request is
// traced as part of that trace if the parent is sampled, and not traced otherwise.
// Requests without a parent are sampled at random, for a fraction that is set. The
// decision is made at the start: for a request that is not traced, [Tracer.Begin]
// returns a nil [Request], whose methods do nothing.
//
// Spans are exported to a file or by OTLP over HTTP, in batches from a bounded queue.
// If the receiver is slow or unreachable, spans are lost, but requests are never
// delayed. Spans hold names, never SQL, values or keys.
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
	// scope is the name of the instrumentation scope and of the service.
	scope = "coltsfootloft"
	// filePrefix marks a target that is a file.
	filePrefix = "file:"
	// tracesPath is the path at which OTLP receivers accept spans.
	tracesPath = "/v1/traces"
	// fileMode is the permissions of a new file of spans.
	fileMode = 0o600
	// exportTimeout bounds the export of one batch of spans.
	exportTimeout = 5 * time.Second
)

// Tracer decides which requests are traced and exports their spans. Its fields must
// be set before Open. A nil Tracer traces nothing, and neither does one that is not
// open.
type Tracer struct {
	// Target is file:PATH or the base URL of an OTLP receiver. If it is empty,
	// nothing is traced.
	Target string
	// Fraction is the fraction of requests without a parent span that are traced,
	// from 0 to 1.
	Fraction float64
	// Host is the name of this host.
	Host string
	// Version is the version of the program.
	Version string
	// Log receives log events.
	Log logr.Logger

	provider *sdk.TracerProvider
	tracer   trace.Tracer
	file     *os.File
}

// Open starts the export of spans. It returns an error if the file can't be opened
// for writing. Only one Tracer of a process should be open, because the OpenTelemetry
// library reports export errors through one global handler.
func (t *Tracer) Open(ctx context.Context) error {
	if t.Target == "" {
		return nil
	}
	e, err := t.newExporter(ctx)
	if err != nil {
		return errors.Wrap(err, "trace")
	}
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) {
		t.Log.Info("spans lost", "error", err.Error())
	}))
	t.startProvider(sdk.NewBatchSpanProcessor(e, sdk.WithExportTimeout(exportTimeout)))
	return nil
}

func (t *Tracer) newExporter(ctx context.Context) (sdk.SpanExporter, error) {
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

func (t *Tracer) startProvider(p sdk.SpanProcessor) {
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

// Close exports the queued spans and stops the export. It gives up when ctx ends.
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

// Begin starts the trace of the request whose first statement is sql. It returns nil
// if the request is not traced, also because its parent span is not sampled.
func (t *Tracer) Begin(sql string) *Request {
	if t == nil || t.tracer == nil {
		return nil
	}
	parent, ok := Parent(sql)
	if ok && !parent.IsSampled() || !ok && !t.isSampled() {
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

// isSampled decides at random whether a request without a parent is traced.
func (t *Tracer) isSampled() bool { return t.Fraction > 0 && rand.Float64() < t.Fraction }
