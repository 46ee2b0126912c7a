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

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

func newTracer(t *testing.T, s Settings, controller string) *Tracer {
	t.Helper()
	tracer, err := New(s, controller, clock.NewSteady(), quiet)
	if err != nil {
		t.Fatal(err)
	}
	return tracer
}

// writeAll writes what waits.
func (t *Tracer) writeAll() {
	for len(t.spans) > 0 {
		t.write(<-t.spans)
	}
}

func lines(t *testing.T, file string) (out []line) {
	t.Helper()
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for s := bufio.NewScanner(bytes.NewReader(raw)); s.Scan(); {
		var l line
		if err := json.Unmarshal(s.Bytes(), &l); err != nil {
			t.Fatalf("%q: %v", s.Text(), err)
		}
		out = append(out, l)
	}
	return out
}

// The spans of a job make one trace, whichever controllers wrote them, without a word between these.
func TestSpansOfAJobAreOneTrace(t *testing.T) {
	var all []line
	for _, controller := range []string{"c0", "c1"} {
		file := filepath.Join(t.TempDir(), "trace")
		tracer := newTracer(t, Settings{File: file, MaxBytes: 1 << 20, JobShare: 1, QueueSize: 16}, controller)
		tracer.Post(Span{Job: "j-000001", Task: "j-000001/3", Name: "run", Begin: clock.Second, End: 3 * clock.Second,
			Attributes: []Attribute{{"machine", "host-1"}}})
		tracer.Post(Span{Job: "j-000002", Name: "job", Begin: clock.Second, End: 2 * clock.Second})
		tracer.writeAll()
		all = append(all, lines(t, file)...)
	}
	if len(all) != 4 {
		t.Fatalf("%d lines", len(all))
	}
	first := all[0]
	if first.Trace != all[2].Trace || first.Parent != all[2].Parent || first.Span == all[2].Span || first.Controller != "c0" || all[2].Controller != "c1" {
		t.Errorf("%+v and %+v are not of one trace", first, all[2])
	}
	if first.Trace == all[1].Trace {
		t.Error("two jobs are in one trace")
	}
	if first.Name != "run" || first.TookS != 2 || first.Attributes["machine"] != "host-1" || first.Attributes["task"] != "j-000001/3" {
		t.Errorf("the span is %+v", first)
	}
	if age := time.Since(first.Begin); age < -2*time.Second || age > time.Minute {
		t.Errorf("it began at %v", first.Begin)
	}
}

// With a full queue spans are dropped and counted, and nobody waits; without a tracer nothing happens.
func TestPostNeverWaits(t *testing.T) {
	tracer := newTracer(t, Settings{File: filepath.Join(t.TempDir(), "trace"), MaxBytes: 1 << 20, JobShare: 1, QueueSize: 16}, "c0")
	for range 20 {
		tracer.Post(Span{Job: "j-000001", Name: "run"})
	}
	if n := tracer.dropped.Load(); n != 4 {
		t.Errorf("%d spans dropped, want 4", n)
	}
	var none *Tracer
	none.Post(Span{Job: "j-000001"})
}

// The file keeps its size; the one before stays beside it.
func TestFileIsBounded(t *testing.T) {
	file := filepath.Join(t.TempDir(), "trace")
	const maxBytes = 4000
	for range 2 { // also when a process begins again
		tracer := newTracer(t, Settings{File: file, MaxBytes: maxBytes, JobShare: 1, QueueSize: 1000}, "c0")
		for range 100 {
			tracer.Post(Span{Job: "j-000001", Name: "run"})
		}
		tracer.writeAll()
	}
	for _, name := range []string{file, file + ".1"} {
		info, err := os.Stat(name)
		if err != nil || info.Size() > maxBytes || info.Size() == 0 {
			t.Errorf("%s: %v, %v", name, info, err)
		}
		lines(t, name)
	}
}

// A share of the jobs is traced, the same ones everywhere.
func TestShareOfTheJobs(t *testing.T) {
	dir := t.TempDir()
	a := newTracer(t, Settings{File: filepath.Join(dir, "a"), MaxBytes: 1 << 20, JobShare: 0.25, QueueSize: 16}, "c0")
	b := newTracer(t, Settings{File: filepath.Join(dir, "b"), MaxBytes: 1 << 20, JobShare: 0.25, QueueSize: 16}, "c1")
	traced := 0
	for i := range 4000 {
		job := "j-" + strings.Repeat("0", 3) + string(rune('a'+i%26)) + string(rune(0x4e00+i))
		if a.isTraced(job) != b.isTraced(job) {
			t.Fatalf("%s is traced at one controller only", job)
		}
		if a.isTraced(job) {
			traced++
		}
	}
	if traced < 850 || traced > 1150 {
		t.Errorf("%d of 4000 jobs are traced", traced)
	}
}

// What cannot be written harms nothing but itself.
func TestBadFile(t *testing.T) {
	if _, err := New(Settings{File: filepath.Join(t.TempDir(), "nowhere", "trace"), QueueSize: 16}, "c0", clock.NewSteady(), quiet); err == nil {
		t.Error("a file in a directory that is not there is no error")
	}
	tracer := newTracer(t, Settings{File: filepath.Join(t.TempDir(), "trace"), MaxBytes: 1 << 20, JobShare: 1, QueueSize: 16}, "c0")
	e := &lineExporter{out: &rotatingFile{name: "gone", maxBytes: 1 << 20}, log: quiet}
	e.out.file, _ = os.Open(os.DevNull) // cannot be written
	if err := e.ExportSpans(t.Context(), nil); err != nil {
		t.Error(err)
	}
	tracer.Post(Span{Job: "j-000001"})
	tracer.writeAll()
}
