package trace

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
)

// spanIDGenerator generates span IDs. The trace ID of a span is always that of its parent.
type spanIDGenerator struct{}

// NewIDs returns IDs for a span without a parent. The tracer starts no such spans.
func (g spanIDGenerator) NewIDs(ctx context.Context) (oteltrace.TraceID, oteltrace.SpanID) {
	return oteltrace.TraceID{}, g.NewSpanID(ctx, oteltrace.TraceID{})
}

// NewSpanID returns a random ID, which is unlikely to collide with another.
func (spanIDGenerator) NewSpanID(context.Context, oteltrace.TraceID) (id oteltrace.SpanID) {
	for i := range id {
		id[i] = byte(rand.Uint32())
	}
	return id
}

// instanceIDKey is the key of the resource attribute that names the controller.
const instanceIDKey = "service.instance.id"

// spanRecord is a span as written to the file, one JSON object per line.
type spanRecord struct {
	TraceID      string            `json:"trace"`
	SpanID       string            `json:"span"`
	ParentSpanID string            `json:"parent"`
	Controller   string            `json:"node"`
	Name         string            `json:"name"`
	StartedAt    time.Time         `json:"begin"`
	DurationS    float64           `json:"took_s"`
	Attributes   map[string]string `json:"attributes"`
}

func newSpanRecord(span sdktrace.ReadOnlySpan) spanRecord {
	record := spanRecord{
		TraceID:      span.SpanContext().TraceID().String(),
		SpanID:       span.SpanContext().SpanID().String(),
		ParentSpanID: span.Parent().SpanID().String(),
		Name:         span.Name(),
		StartedAt:    span.StartTime().UTC(),
		DurationS:    span.EndTime().Sub(span.StartTime()).Seconds(),
		Attributes:   map[string]string{},
	}
	for _, attribute := range span.Attributes() {
		record.Attributes[string(attribute.Key)] = attribute.Value.AsString()
	}
	for _, attribute := range span.Resource().Attributes() {
		if attribute.Key == instanceIDKey {
			record.Controller = attribute.Value.AsString()
		}
	}
	return record
}

// fileExporter writes spans to a file as lines of JSON. It skips spans that it cannot write, and logs only the first
// of consecutive failures.
type fileExporter struct {
	file      *rotatingFile
	log       *slog.Logger
	isFailing bool
}

// ExportSpans writes spans. It always returns nil, so that the SDK does not retry the spans that were not written.
func (e *fileExporter) ExportSpans(_ context.Context, spans []sdktrace.ReadOnlySpan) error {
	err := e.writeSpans(spans)
	if err != nil && !e.isFailing {
		e.log.Warn("cannot write spans", "error", err)
	}
	e.isFailing = err != nil
	return nil
}

func (e *fileExporter) writeSpans(spans []sdktrace.ReadOnlySpan) error {
	for _, span := range spans {
		encoded, err := json.Marshal(newSpanRecord(span))
		if err != nil {
			return fmt.Errorf("encode span: %w", err)
		}
		if err := e.file.write(append(encoded, '\n')); err != nil {
			return fmt.Errorf("write span: %w", err)
		}
	}
	return nil
}

// Shutdown closes the file.
func (e *fileExporter) Shutdown(context.Context) error { return e.file.close() }
