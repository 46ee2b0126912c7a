package trace

import (
	"errors"
	"os"
)

// previousFileSuffix is appended to the name of a full file when a new one replaces it.
const previousFileSuffix = ".1"

// rotatingFile is a file of bounded size. A full file is renamed, replacing the previous full file, and a new file is
// created.
type rotatingFile struct {
	name     string
	maxBytes int64
	file     *os.File
	size     int64
}

func openRotatingFile(name string, maxBytes int64) (*rotatingFile, error) {
	r := &rotatingFile{name: name, maxBytes: maxBytes}
	return r, r.open(os.O_APPEND)
}

// open opens the file for writing. contentFlag is os.O_APPEND to keep its content or os.O_TRUNC to discard it.
func (r *rotatingFile) open(contentFlag int) error {
	file, err := os.OpenFile(r.name, os.O_CREATE|os.O_WRONLY|contentFlag, 0o600)
	if err != nil {
		return err
	}
	info, err := file.Stat()
	if err != nil {
		return errors.Join(err, file.Close())
	}
	r.file, r.size = file, info.Size()
	return nil
}

// write appends a record. It never splits a record between two files.
func (r *rotatingFile) write(record []byte) error {
	if r.size > 0 && r.size+int64(len(record)) > r.maxBytes {
		if err := r.rotate(); err != nil {
			return err
		}
	}
	n, err := r.file.Write(record)
	r.size += int64(n)
	return err
}

// rotate replaces the previous file with the current one and creates a new file. After an error, rotate can be
// called again.
func (r *rotatingFile) rotate() error {
	// The error is ignored: every write has returned its own, and the file may be closed already if an earlier call
	// failed.
	_ = r.file.Close()
	if err := os.Rename(r.name, r.name+previousFileSuffix); err != nil {
		return err
	}
	return r.open(os.O_TRUNC)
}

func (r *rotatingFile) close() error { return r.file.Close() }
