package stage

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file in which a script writes what happened, with the seconds since its start.
type Record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file, or empties it.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Seconds returns the seconds since the record began.
func (r *Record) Seconds() float64 { return time.Since(r.start).Seconds() }

// Printf writes one line.
func (r *Record) Printf(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// Close closes the file.
func (r *Record) Close() error { return r.file.Close() }
