package trace

import (
	"errors"
	"os"
)

// formerSuffix names the file before the current one.
const formerSuffix = ".1"

// rotatingFile is a file of bounded size. When it is full it takes the place of the one before, and a new one
// begins.
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

// open opens the file with one more flag, which says what becomes of its content.
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

// write appends a record; it never splits one between two files.
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

// rotate begins a new file. After an error it can be called again.
func (r *rotatingFile) rotate() error {
	// Each write has returned its own error; a file that is closed already has been in this place before.
	_ = r.file.Close()
	if err := os.Rename(r.name, r.name+formerSuffix); err != nil {
		return err
	}
	return r.open(os.O_TRUNC)
}

func (r *rotatingFile) close() error { return r.file.Close() }
