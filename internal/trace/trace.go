// Package trace records the events of jobs as OpenTelemetry spans in a file, one per line. A job's trace ID is a hash
// of its reference, so the spans of all controllers form one trace although their messages carry no trace context. A
// controller of a version without tracing only leaves its spans out of the trace.
//
// A Tracer is an actor that owns the queue of spans and the file. Posting a span never blocks; when the queue is full,
// the span is dropped and counted. The package never reads spans back, and none of its failures affects a caller of
// Post.
package trace

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"

	"swiftledge/internal/clock"
)

// instrumentationName is the name of the service and of the instrumentation scope in spans.
const instrumentationName = "swiftledge"

// Attribute is a key-value pair of a span.
type Attribute struct{ Key, Value string }

// Span is an operation on a job or on one of its tasks. Begin and End are points on this process's steady clock.
type Span struct {
	Job        string
	Task       string // "" for the job as a whole
	Name       string
	Begin, End clock.Micros
	Attributes []Attribute
}

// Settings says which jobs are traced and where their spans are written.
type Settings struct {
	File      string
	MaxBytes  int64   // maximum size of the file; the previous file is kept as well
	JobShare  float64 // share of the jobs that is traced
	QueueSize int     // maximum number of spans that wait to be written
}

// Tracer is the actor that writes spans. A nil Tracer writes nothing.
type Tracer struct {
	jobShare   float64
	spans      chan Span
	dropped    atomic.Int64
	wallOffset clock.Micros // the time of day at which the steady clock was zero
	log        *slog.Logger
	provider   *sdktrace.TracerProvider
	tracer     oteltrace.Tracer
}

// New opens the span file of a controller and returns a Tracer, whose Run writes to the file. steady is the process's
// clock.
func New(settings Settings, controller string, steady clock.Steady, log *slog.Logger) (*Tracer, error) {
	file, err := openRotatingFile(settings.File, settings.MaxBytes)
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	process := resource.NewSchemaless(
		attribute.String("service.name", instrumentationName),
		attribute.String(instanceIDKey, controller),
	)
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithSyncer(&fileExporter{file: file, log: log}), // exports on the goroutine of Run
		sdktrace.WithIDGenerator(spanIDGenerator{}),
		sdktrace.WithResource(process),
	)
	return &Tracer{
		jobShare:   settings.JobShare,
		spans:      make(chan Span, settings.QueueSize),
		wallOffset: clock.Wall() - steady.Now(),
		log:        log,
		provider:   provider,
		tracer:     provider.Tracer(instrumentationName),
	}, nil
}

// Post queues a span for writing. It never blocks: if the queue is full, the span is dropped and counted.
func (t *Tracer) Post(span Span) {
	if t == nil || !t.isTraced(span.Job) {
		return
	}
	select {
	case t.spans <- span:
	default:
		t.dropped.Add(1)
	}
}

// isTraced reports whether a job belongs to the share that is traced. All controllers decide the same for a job.
func (t *Tracer) isTraced(job string) bool {
	id := traceID(job)
	const maxPrefix = 1 << 32
	return float64(binary.BigEndian.Uint32(id[:])) < t.jobShare*maxPrefix
}

// dropReportInterval is the interval at which dropped spans are logged.
const dropReportInterval = time.Minute

// Run writes spans until ctx ends, and then closes the file. Spans that are still queued then are lost.
func (t *Tracer) Run(ctx context.Context) {
	defer t.close()
	dropReport := time.NewTicker(dropReportInterval)
	defer dropReport.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case span := <-t.spans:
			t.write(span)
		case <-dropReport.C:
			if n := t.dropped.Swap(0); n > 0 {
				t.log.Warn("spans were dropped", "count", n)
			}
		}
	}
}

func (t *Tracer) close() {
	if err := t.provider.Shutdown(context.Background()); err != nil {
		t.log.Warn("cannot close the trace file", "error", err)
	}
}

func (t *Tracer) write(span Span) {
	parent := oteltrace.NewSpanContext(oteltrace.SpanContextConfig{
		TraceID:    traceID(span.Job),
		SpanID:     rootSpanID(span.Job),
		TraceFlags: oteltrace.FlagsSampled,
		Remote:     true,
	})
	attributes := []attribute.KeyValue{attribute.String("job", span.Job)}
	if span.Task != "" {
		attributes = append(attributes, attribute.String("task", span.Task))
	}
	for _, a := range span.Attributes {
		attributes = append(attributes, attribute.String(a.Key, a.Value))
	}
	ctx := oteltrace.ContextWithRemoteSpanContext(context.Background(), parent)
	begin := oteltrace.WithTimestamp(t.wallTime(span.Begin))
	_, otelSpan := t.tracer.Start(ctx, span.Name, begin, oteltrace.WithAttributes(attributes...))
	otelSpan.End(oteltrace.WithTimestamp(t.wallTime(span.End)))
}

func (t *Tracer) wallTime(steadyTime clock.Micros) time.Time {
	return time.UnixMicro(int64(steadyTime + t.wallOffset))
}

// traceID returns the ID of a job's trace, which is the same at every controller.
func traceID(job string) (id oteltrace.TraceID) {
	sum := sha256.Sum256([]byte(job))
	copy(id[:], sum[:])
	return id
}

// rootSpanID returns the ID of the parent of all spans of a job. The parent itself is never written, because it begins
// and ends at different controllers.
func rootSpanID(job string) (id oteltrace.SpanID) {
	sum := sha256.Sum256([]byte(job))
	copy(id[:], sum[len(sum)-len(id):])
	return id
}
