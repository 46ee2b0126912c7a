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

// spanIDGenerator makes span ids. A span's trace id is always its parent's.
type spanIDGenerator struct{}

// NewIDs makes ids for a span without a parent, of which there are none.
func (g spanIDGenerator) NewIDs(ctx context.Context) (oteltrace.TraceID, oteltrace.SpanID) {
	return oteltrace.TraceID{}, g.NewSpanID(ctx, oteltrace.TraceID{})
}

// NewSpanID makes an id that is unlikely to be another's.
func (spanIDGenerator) NewSpanID(context.Context, oteltrace.TraceID) (id oteltrace.SpanID) {
	for i := range id {
		id[i] = byte(rand.Uint32())
	}
	return id
}

// instanceKey is the attribute that names the controller.
const instanceKey = "service.instance.id"

// line is a span as it is written.
type line struct {
	Trace      string            `json:"trace"`
	Span       string            `json:"span"`
	Parent     string            `json:"parent"`
	Controller string            `json:"node"`
	Name       string            `json:"name"`
	Begin      time.Time         `json:"begin"`
	TookS      float64           `json:"took_s"`
	Attributes map[string]string `json:"attributes"`
}

func newLine(span sdktrace.ReadOnlySpan) line {
	l := line{
		Trace:      span.SpanContext().TraceID().String(),
		Span:       span.SpanContext().SpanID().String(),
		Parent:     span.Parent().SpanID().String(),
		Name:       span.Name(),
		Begin:      span.StartTime().UTC(),
		TookS:      span.EndTime().Sub(span.StartTime()).Seconds(),
		Attributes: map[string]string{},
	}
	for _, attribute := range span.Attributes() {
		l.Attributes[string(attribute.Key)] = attribute.Value.AsString()
	}
	for _, attribute := range span.Resource().Attributes() {
		if attribute.Key == instanceKey {
			l.Controller = attribute.Value.AsString()
		}
	}
	return l
}

// lineExporter writes spans as lines of JSON. What cannot be written is left out; of a row of failures it logs
// the first.
type lineExporter struct {
	out       *rotatingFile
	log       *slog.Logger
	isFailing bool
}

// ExportSpans writes spans. It returns no error: the spans that it could not write are not to be sent again.
func (e *lineExporter) ExportSpans(_ context.Context, spans []sdktrace.ReadOnlySpan) error {
	err := e.writeLines(spans)
	if err != nil && !e.isFailing {
		e.log.Warn("spans are not written", "error", err)
	}
	e.isFailing = err != nil
	return nil
}

func (e *lineExporter) writeLines(spans []sdktrace.ReadOnlySpan) error {
	for _, span := range spans {
		record, err := json.Marshal(newLine(span))
		if err != nil {
			return fmt.Errorf("span: %w", err)
		}
		if err := e.out.write(append(record, '\n')); err != nil {
			return fmt.Errorf("span: %w", err)
		}
	}
	return nil
}

// Shutdown closes the file.
func (e *lineExporter) Shutdown(context.Context) error { return e.out.close() }
