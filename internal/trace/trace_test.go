package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"swiftledge/internal/clock"
)

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

func newTracer(t *testing.T, settings Settings, controller string) *Tracer {
	t.Helper()
	tracer, err := New(settings, controller, clock.NewSteady(), discardLog)
	if err != nil {
		t.Fatal(err)
	}
	return tracer
}

// writeQueued writes the queued spans.
func (t *Tracer) writeQueued() {
	for len(t.spans) > 0 {
		t.write(<-t.spans)
	}
}

func readSpanRecords(t *testing.T, file string) (records []spanRecord) {
	t.Helper()
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for scanner := bufio.NewScanner(bytes.NewReader(raw)); scanner.Scan(); {
		var record spanRecord
		if err := json.Unmarshal(scanner.Bytes(), &record); err != nil {
			t.Fatalf("decode %q: %v", scanner.Text(), err)
		}
		records = append(records, record)
	}
	return records
}

// The spans of a job form one trace whichever controllers write them, although these exchange no trace context.
func TestSpansOfAJobShareOneTrace(t *testing.T) {
	var all []spanRecord
	for _, controller := range []string{"c0", "c1"} {
		file := filepath.Join(t.TempDir(), "trace")
		tracer := newTracer(t, Settings{File: file, MaxBytes: 1 << 20, JobShare: 1, QueueSize: 16}, controller)
		tracer.Post(Span{Job: "j-000001", Task: "j-000001/3", Name: "run", Begin: clock.Second, End: 3 * clock.Second,
			Attributes: []Attribute{{"machine", "host-1"}}})
		tracer.Post(Span{Job: "j-000002", Name: "job", Begin: clock.Second, End: 2 * clock.Second})
		tracer.writeQueued()
		all = append(all, readSpanRecords(t, file)...)
	}
	if len(all) != 4 {
		t.Fatalf("read %d span records, want 4", len(all))
	}
	first := all[0]
	if first.TraceID != all[2].TraceID || first.ParentSpanID != all[2].ParentSpanID || first.SpanID == all[2].SpanID ||
		first.Controller != "c0" || all[2].Controller != "c1" {
		t.Errorf("%+v and %+v do not belong to one trace, or do not differ in span and controller", first, all[2])
	}
	if first.TraceID == all[1].TraceID {
		t.Error("spans of two jobs have the same trace ID")
	}
	if first.Name != "run" || first.DurationS != 2 || first.Attributes["machine"] != "host-1" || first.Attributes["task"] != "j-000001/3" {
		t.Errorf("first span record is %+v, want task j-000001/3 run for 2 s on host-1", first)
	}
	if age := time.Since(first.StartedAt); age < -2*time.Second || age > time.Minute {
		t.Errorf("span started at %v, want a time within the last minute", first.StartedAt)
	}
}

// Post drops and counts spans when the queue is full instead of blocking. Post on a nil Tracer does nothing.
func TestPostNeverBlocks(t *testing.T) {
	tracer := newTracer(t, Settings{File: filepath.Join(t.TempDir(), "trace"), MaxBytes: 1 << 20, JobShare: 1, QueueSize: 16}, "c0")
	for range 20 {
		tracer.Post(Span{Job: "j-000001", Name: "run"})
	}
	if n := tracer.dropped.Load(); n != 4 {
		t.Errorf("%d spans dropped, want 4", n)
	}
	var nilTracer *Tracer
	nilTracer.Post(Span{Job: "j-000001"})
}

// Neither the current nor the previous file exceeds the maximum size.
func TestTraceFileSizeIsBounded(t *testing.T) {
	file := filepath.Join(t.TempDir(), "trace")
	const maxBytes = 4000
	for range 2 { // the second time as after a restart of the process
		tracer := newTracer(t, Settings{File: file, MaxBytes: maxBytes, JobShare: 1, QueueSize: 1000}, "c0")
		for range 100 {
			tracer.Post(Span{Job: "j-000001", Name: "run"})
		}
		tracer.writeQueued()
	}
	for _, name := range []string{file, file + ".1"} {
		info, err := os.Stat(name)
		if err != nil || info.Size() > maxBytes || info.Size() == 0 {
			t.Errorf("%s: file info %v, error %v, want a file that is neither empty nor too large", name, info, err)
		}
		readSpanRecords(t, name)
	}
}

// All controllers trace the same jobs, and these are the configured share.
func TestControllersTraceTheSameJobs(t *testing.T) {
	dir := t.TempDir()
	a := newTracer(t, Settings{File: filepath.Join(dir, "a"), MaxBytes: 1 << 20, JobShare: 0.25, QueueSize: 16}, "c0")
	b := newTracer(t, Settings{File: filepath.Join(dir, "b"), MaxBytes: 1 << 20, JobShare: 0.25, QueueSize: 16}, "c1")
	traced := 0
	for i := range 4000 {
		job := "j-" + strings.Repeat("0", 3) + string(rune('a'+i%26)) + string(rune(0x4e00+i))
		if a.isTraced(job) != b.isTraced(job) {
			t.Fatalf("job %s is traced by only one of two controllers", job)
		}
		if a.isTraced(job) {
			traced++
		}
	}
	if traced < 850 || traced > 1150 {
		t.Errorf("%d of 4000 jobs are traced, want about 1000", traced)
	}
}

// New returns an error if it cannot open the file. ExportSpans returns none for a file that cannot be written.
func TestFileErrorsDoNotSpread(t *testing.T) {
	if _, err := New(Settings{File: filepath.Join(t.TempDir(), "nowhere", "trace"), QueueSize: 16}, "c0", clock.NewSteady(), discardLog); err == nil {
		t.Error("New returned no error for a file in a missing directory")
	}
	tracer := newTracer(t, Settings{File: filepath.Join(t.TempDir(), "trace"), MaxBytes: 1 << 20, JobShare: 1, QueueSize: 16}, "c0")
	exporter := &fileExporter{file: &rotatingFile{name: "gone", maxBytes: 1 << 20}, log: discardLog}
	exporter.file.file, _ = os.Open(os.DevNull) // opened read-only, so writes fail
	if err := exporter.ExportSpans(t.Context(), nil); err != nil {
		t.Error(err)
	}
	tracer.Post(Span{Job: "j-000001"})
	tracer.writeQueued()
}
