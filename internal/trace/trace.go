// Package trace writes what happens to jobs as OpenTelemetry spans to a file, a line each. The id of a job's
// trace is a hash of its reference, so that the spans of all controllers make one trace although their messages
// carry no trace context; a version that traces nothing only leaves a gap.
//
// A Tracer is an actor: it owns the queue of spans and the file. Spans are posted without waiting, and are
// dropped and counted when the queue is full. Nothing is ever read back, and no failure here reaches those who
// post.
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

// instrumentationName is what the program calls itself in spans.
const instrumentationName = "swiftledge"

// Attribute is one fact about a span.
type Attribute struct{ Key, Value string }

// Span is something that happened to a job or to one of its tasks, in the steady time of this process.
type Span struct {
	Job        string
	Task       string // "" for the job as a whole
	Name       string
	Begin, End clock.Micros
	Attributes []Attribute
}

// Settings say what is traced, and where to.
type Settings struct {
	File      string
	MaxBytes  int64   // of the file; what was written before is kept in a second one
	JobShare  float64 // the part of the jobs that is traced
	QueueSize int     // spans that may wait to be written
}

// Tracer is the actor that writes spans. A nil one writes nothing.
type Tracer struct {
	jobShare  float64
	spans     chan Span
	dropped   atomic.Int64
	wallClock clock.Micros // the time of day when steady time began
	log       *slog.Logger
	provider  *sdktrace.TracerProvider
	tracer    oteltrace.Tracer
}

// New opens the file of a controller; Run writes to it. steady is the process's clock.
func New(settings Settings, controller string, steady clock.Steady, log *slog.Logger) (*Tracer, error) {
	out, err := openRotatingFile(settings.File, settings.MaxBytes)
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	process := resource.NewSchemaless(
		attribute.String("service.name", instrumentationName),
		attribute.String(instanceKey, controller),
	)
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithSyncer(&lineExporter{out: out, log: log}), // on the tracer's own goroutine
		sdktrace.WithIDGenerator(spanIDGenerator{}),
		sdktrace.WithResource(process),
	)
	return &Tracer{
		jobShare:  settings.JobShare,
		spans:     make(chan Span, settings.QueueSize),
		wallClock: clock.Wall() - steady.Now(),
		log:       log,
		provider:  provider,
		tracer:    provider.Tracer(instrumentationName),
	}, nil
}

// Post hands a span over. It never waits: with a full queue the span is dropped, and counted.
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

// isTraced reports whether a job is among the share that is traced; all controllers agree on that.
func (t *Tracer) isTraced(job string) bool {
	id := traceID(job)
	const maxPrefix = 1 << 32
	return float64(binary.BigEndian.Uint32(id[:])) < t.jobShare*maxPrefix
}

// dropReportInterval is how often dropped spans are logged.
const dropReportInterval = time.Minute

// Run writes spans until ctx ends, and closes the file. Spans that wait then are lost.
func (t *Tracer) Run(ctx context.Context) {
	defer t.close()
	report := time.NewTicker(dropReportInterval)
	defer report.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case span := <-t.spans:
			t.write(span)
		case <-report.C:
			if n := t.dropped.Swap(0); n > 0 {
				t.log.Warn("spans were dropped", "count", n)
			}
		}
	}
}

func (t *Tracer) close() {
	if err := t.provider.Shutdown(context.Background()); err != nil {
		t.log.Warn("trace file is not closed", "error", err)
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
	begin := oteltrace.WithTimestamp(t.timeOfDay(span.Begin))
	_, started := t.tracer.Start(ctx, span.Name, begin, oteltrace.WithAttributes(attributes...))
	started.End(oteltrace.WithTimestamp(t.timeOfDay(span.End)))
}

func (t *Tracer) timeOfDay(at clock.Micros) time.Time { return time.UnixMicro(int64(at + t.wallClock)) }

// traceID names the trace of a job, the same at every controller.
func traceID(job string) (id oteltrace.TraceID) {
	sum := sha256.Sum256([]byte(job))
	copy(id[:], sum[:])
	return id
}

// rootSpanID names the span that is the parent of all others of a job. That span itself is never written: its
// begin and end are at different controllers.
func rootSpanID(job string) (id oteltrace.SpanID) {
	sum := sha256.Sum256([]byte(job))
	copy(id[:], sum[len(sum)-len(id):])
	return id
}
