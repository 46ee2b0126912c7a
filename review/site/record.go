// Package site runs the project's own controllers as separate processes on loopback addresses, with stand-ins for the
// state service, the cloud, the workers and the users. The cases of the review use it. Everything that crosses between
// controllers and stand-ins and matters to a case is written to the record of the run.
package site

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the chronological record of a run. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the record's file, or empties it.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Elapsed returns the time since the record was created.
func (r *Record) Elapsed() time.Duration { return time.Since(r.start) }

// Logf adds a line to the record.
func (r *Record) Logf(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// Close closes the record's file.
func (r *Record) Close() error { return r.file.Close() }
